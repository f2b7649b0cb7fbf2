// Package event defines the inputs of a node's reducer, one struct per event.
//
// # Usage
//
// The edges translate input into events and post them to the control loop, which adds the time and a random number:
//
//	loop.Post(event.RequestArrived{Request: request})
//
// The reducer has no other source of time or randomness than the event:
//
//	state, effects := state.Reduce(event.Event{At: now, Random: random, Body: body})
package event

import "time"

// Event is one input of the reducer.
type Event struct {
	// At is the time of the event by the node's clock. It never decreases within one process.
	At time.Time
	// Random is a uniformly distributed random number, drawn anew for each event.
	Random uint64
	Body   Body
}

// Body is one of the event structs of this package.
type Body interface{ isBody() }

// Tick is posted by the control loop every 100 ms.
type Tick struct{}

// RequestTimerFired is posted at the time returned by node.State.Due.
type RequestTimerFired struct{}

// ShutdownRequested is posted when the process is asked to stop.
type ShutdownRequested struct{}

// CallersDrained is posted after effect.DrainCallers, when the listener is closed and the last response is written.
type CallersDrained struct{}

func (CallersDrained) isBody()    {}
func (Tick) isBody()              {}
func (RequestTimerFired) isBody() {}
func (ShutdownRequested) isBody() {}
