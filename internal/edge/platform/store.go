package platform

import (
	"context"
	"errors"
	"time"

	"jayfold.dev/jayfold/internal/core/fleet"
)

// Store is a set of functions that call one object API. For every API the Client decides which calls to make, when to retry
// them and what a response means. Errors are of type CallError. Results and errors have the epoch of the platform's data at the
// response; it is 0 if the API doesn't tell or there was no response.
type Store struct {
	// Get reads an object. One that does not exist has version 0.
	Get func(ctx context.Context, key string) (Object, error)
	// Watch waits until an object differs from the given position, which comes from an earlier read of the same key. If
	// nothing changes within the wait it returns the object without its value, but with the version for the next watch. From
	// version 0 it reads the object. It never reads a copy that may lag.
	Watch func(ctx context.Context, key string, from fleet.Position, wait time.Duration) (Object, error)
	// List reads all objects whose keys begin with a prefix.
	List func(ctx context.Context, prefix string) (List, error)
	// Put writes an object and Delete deletes it if the condition holds; otherwise the CallError wraps ErrConflict. Deleting
	// an object that does not exist is not an error.
	Put    func(ctx context.Context, key string, value []byte, c Condition) (fleet.Epoch, error)
	Delete func(ctx context.Context, key string, c Condition) (fleet.Epoch, error)
}

// Object is an object of the platform. Version 0 is that of an object that does not exist.
type Object struct {
	Key     string
	Epoch   fleet.Epoch
	Version uint64
	Value   []byte
	// Err is the reason why an object of a list could not be read. Its other fields may then be missing.
	Err error
}

// position returns the position of the object for the next watch.
func (o Object) position() fleet.Position { return fleet.Position{Epoch: o.Epoch, Version: o.Version} }

// List is the result of Store.List.
type List struct {
	Epoch   fleet.Epoch
	Objects []Object
}

// Condition is the precondition of a write. The zero value always holds.
type Condition struct {
	// Set is true if there is a condition: the object must have Version, or must not exist if Version is 0.
	Set     bool
	Version uint64
	// Epoch is that of Version. The condition doesn't hold in another epoch, in which the platform may have given the version out again.
	Epoch fleet.Epoch
}

// ifAbsent is the condition that an object does not exist.
var ifAbsent = Condition{Set: true}

// IfUnchanged returns the condition that an object has the version with which it was read, or still does not exist.
func IfUnchanged(o Object) Condition {
	if o.Version == 0 {
		return ifAbsent
	}
	return Condition{Set: true, Version: o.Version, Epoch: o.Epoch}
}

// ErrConflict is the cause of a CallError when the condition of a write did not hold.
var ErrConflict = errors.New("the object has changed")

// CallError is the error of a failed call to the platform.
type CallError struct {
	// Call names the call by its method and its key, prefix or path.
	Call string
	// OutcomeUnknown is true if the call was a write that may have taken effect.
	OutcomeUnknown bool
	// Epoch is that of the response, if there was one.
	Epoch fleet.Epoch
	Err   error
}

// Error implements error.
func (e CallError) Error() string { return "platform: " + e.Call + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e CallError) Unwrap() error { return e.Err }

const (
	// callTimeout bounds every call except watches. A healthy platform responds within milliseconds.
	callTimeout = 5 * time.Second
	// watchTimeoutMargin is added to the wait of a watch to get the timeout of its call, which detects a dead connection.
	watchTimeoutMargin = 1500 * time.Millisecond
)

// withTimeouts returns the store with a timeout on every call.
func withTimeouts(s Store) Store {
	return Store{
		Get: func(ctx context.Context, key string) (Object, error) {
			ctx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			return s.Get(ctx, key)
		},
		Watch: func(ctx context.Context, key string, from fleet.Position, wait time.Duration) (Object, error) {
			timeout := wait + watchTimeoutMargin
			if from.Version > 0 {
				// A watch with a short wait has as much time as any other call on a slow platform.
				timeout = max(timeout, callTimeout)
			}
			ctx, cancel := context.WithTimeout(ctx, timeout)
			defer cancel()
			return s.Watch(ctx, key, from, wait)
		},
		List: func(ctx context.Context, prefix string) (List, error) {
			ctx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			return s.List(ctx, prefix)
		},
		Put: func(ctx context.Context, key string, value []byte, c Condition) (fleet.Epoch, error) {
			ctx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			return s.Put(ctx, key, value, c)
		},
		Delete: func(ctx context.Context, key string, c Condition) (fleet.Epoch, error) {
			ctx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			return s.Delete(ctx, key, c)
		},
	}
}
