package fleet

import (
	"strconv"
	"strings"
)

// NodeID names a jayfold process. It is unique in the fleet and stable over restarts.
type NodeID string

// TargetID names a target. It is the node's id, a slash and the target's name on that node.
type TargetID string

// NewTargetID returns the id of the target called name on the node's host.
func NewTargetID(node NodeID, name string) TargetID {
	return TargetID(string(node) + "/" + name)
}

// Node returns the id of the node on the target's host.
func (id TargetID) Node() NodeID {
	node, _, _ := strings.Cut(string(id), "/")
	return NodeID(node)
}

// Name returns the target's name on its node.
func (id TargetID) Name() string {
	_, name, _ := strings.Cut(string(id), "/")
	return name
}

// AvailabilityZone names an availability zone.
type AvailabilityZone string

// Caller names a client account.
type Caller string

// PoolName names a pool of the pools table.
type PoolName string

// RequestID names one request of one caller. The ingress draws it at random.
type RequestID string

// AttemptID names one attempt at a request.
type AttemptID string

// NewAttemptID returns the id of the attempt with the given number, counted from 1.
func NewAttemptID(request RequestID, number int) AttemptID {
	return AttemptID(string(request) + "." + strconv.Itoa(number))
}

// Request returns the request that the attempt belongs to.
func (id AttemptID) Request() RequestID {
	dot := strings.LastIndexByte(string(id), '.')
	return RequestID(id[:max(dot, 0)])
}

// Incarnation orders the processes of one node: a process takes its start time in milliseconds since 1970.
type Incarnation uint64

// Revision orders the versions of the tables. The first accepted revision is 1.
type Revision uint64

// Fingerprint identifies requests with the same method, host, path with its query, and body.
type Fingerprint uint64

// IdempotencyKey names an order across the times its caller sends it. Empty means that the caller gave none.
type IdempotencyKey string
