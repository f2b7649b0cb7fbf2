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

// PlacementInfo describes how the target of an attempt in flight was chosen by cost.
type PlacementInfo struct {
	// Mode is probing, waiting, briefly or forced.
	Mode      string
	CrossZone bool
	// Expected is the expected time of the attempt; 0 if unknown.
	Expected time.Duration
}

// PlacementInfo returns how the target of an attempt in flight was chosen, if targets are placed by cost.
func (s State) PlacementInfo(id fleet.AttemptID) (PlacementInfo, bool) {
	if !s.byCost {
		return PlacementInfo{}, false
	}
	req, ok := s.requests.Get(id.Request())
	if !ok {
		return PlacementInfo{}, false
	}
	a, ok := req.findAttempt(id)
	if !ok {
		return PlacementInfo{}, false
	}
	info := PlacementInfo{Mode: modeNames[a.mode], CrossZone: !a.ownZone}
	if a.expected.run > 0 {
		info.Expected = a.expected.wait + a.expected.run
	}
	return info, true
}
