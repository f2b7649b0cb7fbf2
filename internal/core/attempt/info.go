package attempt

import (
	"time"

	"jayfold.dev/jayfold/internal/core/fleet"
)

// RequestInfo holds the properties of a request in flight that its metrics need.
type RequestInfo struct {
	Pool    fleet.PoolName
	Class   fleet.Class
	Caller  fleet.Caller
	Arrived time.Time
}

// NodeOf returns the node to which an attempt in flight was sent.
func (s State) NodeOf(id fleet.AttemptID) (fleet.NodeID, bool) {
	req, ok := s.requests.Get(id.Request())
	if !ok {
		return "", false
	}
	a, ok := req.findAttempt(id)
	return a.node, ok
}

// RequestInfo returns the properties of a request in flight.
func (s State) RequestInfo(id fleet.RequestID) (RequestInfo, bool) {
	req, ok := s.requests.Get(id)
	if !ok {
		return RequestInfo{}, false
	}
	t := &req.template
	return RequestInfo{Pool: t.Pool, Class: t.Class, Caller: t.Caller, Arrived: req.received}, true
}
