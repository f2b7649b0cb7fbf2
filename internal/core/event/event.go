// Package event holds everything that can happen to a node, one struct per event.
//
// # Usage
//
// Edges translate what they see into an event and post it to the control loop, which stamps it:
//
//	loop.Post(event.RequestArrived{Request: request})
//
// The reducer gets the time and the randomness with the event and has no other source of either:
//
//	state, effects := state.Reduce(event.Event{At: now, Random: random, Body: body})
package event

import "time"

// Event is one input of the reducer.
type Event struct {
	// At is the node's time of the event. It never goes back within one process.
	At time.Time
	// Random is a uniformly drawn number, fresh for each event.
	Random uint64
	Body   Body
}

// Body is one of the event structs of this package.
type Body interface{ isBody() }

// Tick says that time has passed. The control loop posts one every 100 ms.
type Tick struct{}

// RequestTimerFired says that the time of node.State.Due has come.
type RequestTimerFired struct{}

// ShutdownRequested says that the process was asked to stop.
type ShutdownRequested struct{}

// CallersDrained answers effect.CloseCallers: the listener is closed and the last answer is written.
type CallersDrained struct{}

func (CallersDrained) isBody()    {}
func (Tick) isBody()              {}
func (RequestTimerFired) isBody() {}
func (ShutdownRequested) isBody() {}
