package attempt

import (
	"time"

	"jayfold.dev/jayfold/internal/core/fleet"
)

// Observation is what is measured of a request in flight.
type Observation struct {
	Pool    fleet.PoolName
	Class   fleet.Class
	Caller  fleet.Caller
	Arrived time.Time
}

// NodeOf returns the node to which an attempt in flight was sent.
func (s State) NodeOf(id fleet.AttemptID) (fleet.NodeID, bool) {
	f, ok := s.flights.Get(id.Request())
	if !ok {
		return "", false
	}
	t, ok := f.find(id)
	return t.node, ok
}

// Observed returns what is measured of a request in flight.
func (s State) Observed(id fleet.RequestID) (Observation, bool) {
	f, ok := s.flights.Get(id)
	if !ok {
		return Observation{}, false
	}
	t := &f.template
	return Observation{Pool: t.Pool, Class: t.Class, Caller: t.Caller, Arrived: f.received}, true
}
