package fleet

import (
	"strconv"
	"strings"
)

// NodeID identifies a node of the fleet. It is unique and survives restarts.
type NodeID string

// TargetID identifies a target. It consists of the node's id, a slash and the target's name on that node.
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

// AvailabilityZone is the name of an availability zone.
type AvailabilityZone string

// Caller is the name of a client account.
type Caller string

// PoolName is the name of a pool in the pools table.
type PoolName string

// RequestID identifies one request of a caller. The ingress generates it at random.
type RequestID string

// AttemptID identifies one attempt at a request.
type AttemptID string

// NewAttemptID returns the id of the attempt with the given number. Attempts are numbered from 1.
func NewAttemptID(request RequestID, number int) AttemptID {
	return AttemptID(string(request) + "." + strconv.Itoa(number))
}

// Request returns the request that the attempt belongs to.
func (id AttemptID) Request() RequestID {
	dot := strings.LastIndexByte(string(id), '.')
	return RequestID(id[:max(dot, 0)])
}

// Incarnation orders the successive processes of a node. It is the start time of the process in Unix milliseconds, or higher if
// an earlier process had a higher incarnation because the clock has since been set back.
type Incarnation uint64

// Revision is the version number of the tables. The first accepted revision is 1.
type Revision uint64

// Fingerprint is a hash of a request's method, host, path, query and body.
type Fingerprint uint64

// IdempotencyKey identifies an order that its caller may send more than once. It is empty if the caller gave none.
type IdempotencyKey string
