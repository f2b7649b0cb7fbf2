package attempt

import (
	"time"

	"jayfold.dev/jayfold/internal/core/fleet"
)

// RequestInfo is what is measured of a request in flight.
type RequestInfo struct {
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

// RequestInfo returns what is measured of a request in flight.
func (s State) RequestInfo(id fleet.RequestID) (RequestInfo, bool) {
	f, ok := s.flights.Get(id)
	if !ok {
		return RequestInfo{}, false
	}
	t := &f.template
	return RequestInfo{Pool: t.Pool, Class: t.Class, Caller: t.Caller, Arrived: f.received}, true
}
