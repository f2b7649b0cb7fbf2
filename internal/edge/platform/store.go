package platform

import (
	"context"
	"errors"
	"time"
)

// Store are the calls on an object store, as one encoding of them makes them. What to call, when to call again and what
// an answer means is decided by the Client, whatever the encoding. Errors are Failure.
type Store struct {
	// Get reads an object. One that does not exist has version 0.
	Get func(ctx context.Context, key string) (Object, error)
	// Watch waits until the object has changed since a version, which is that of an earlier read of the same key. Without a
	// change it returns the object without its value, with the version to watch from next.
	Watch func(ctx context.Context, key string, version uint64, hold WatchOptions) (Object, error)
	// List reads all objects whose keys begin with a prefix.
	List func(ctx context.Context, prefix string) ([]Object, error)
	// Put writes an object and Remove deletes it, if the condition holds; else the error is ErrConflict. An object that
	// is to be removed and is gone already is no error.
	Put    func(ctx context.Context, key string, value []byte, c Condition) error
	Delete func(ctx context.Context, key string, c Condition) error
}

// Object is one object of the platform. Version 0 means that there is none.
type Object struct {
	Key     string
	Version uint64
	Value   []byte
}

// WatchOptions says how the platform may answer a watch.
type WatchOptions struct {
	// Wait is how long it may wait for a change.
	Wait time.Duration
	// MayBeStale allows an answer from a copy that may be seconds old.
	MayBeStale bool
}

// Condition is what must hold for a write to take effect. The zero value always holds.
type Condition struct {
	// Set means that the object must have Version; 0 means that it must not exist.
	Set     bool
	Version uint64
}

// ifVersion asks that the object still has the given version; 0 means that it must not exist.
func ifVersion(version uint64) Condition { return Condition{Set: true, Version: version} }

// ErrConflict says that the condition of a write did not hold.
var ErrConflict = errors.New("the object has changed")

// CallError is a call on the platform that did not succeed.
type CallError struct {
	// Call is the method and the key.
	Call string
	// OutcomeUnknown means that the call was a write that may have taken effect.
	OutcomeUnknown bool
	Err            error
}

// Error implements error.
func (f CallError) Error() string { return "platform: " + f.Call + ": " + f.Err.Error() }

// Unwrap returns the cause.
func (f CallError) Unwrap() error { return f.Err }

const (
	// callTimeout bounds every call but a watch. The platform answers in milliseconds when it is well.
	callTimeout = 5 * time.Second
	// watchSlack is how long after the end of its wait a watch is given up, so that a silent connection is noticed.
	watchSlack = 1500 * time.Millisecond
)

// withTimeouts returns the store with a deadline on every call.
func withTimeouts(s Store) Store {
	return Store{
		Get: func(ctx context.Context, key string) (Object, error) {
			ctx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			return s.Get(ctx, key)
		},
		Watch: func(ctx context.Context, key string, version uint64, hold WatchOptions) (Object, error) {
			ctx, cancel := context.WithTimeout(ctx, hold.Wait+watchSlack)
			defer cancel()
			return s.Watch(ctx, key, version, hold)
		},
		List: func(ctx context.Context, prefix string) ([]Object, error) {
			ctx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			return s.List(ctx, prefix)
		},
		Put: func(ctx context.Context, key string, value []byte, c Condition) error {
			ctx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			return s.Put(ctx, key, value, c)
		},
		Delete: func(ctx context.Context, key string, c Condition) error {
			ctx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			return s.Delete(ctx, key, c)
		},
	}
}
