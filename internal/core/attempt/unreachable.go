package attempt

import (
	"time"

	"jayfold.dev/jayfold/internal/core/fleet"
)

const (
	// firstNodeBackoff is how long a node is avoided after an attempt failed to reach it. Each further failure doubles the
	// time up to maxNodeBackoff.
	firstNodeBackoff = 250 * time.Millisecond
	maxNodeBackoff   = 30 * time.Second
	// orderTestDelay is how long after the backoff an order may test a node. Idempotent requests, which cost less if the node is still
	// unreachable, go first, but a service may have none.
	orderTestDelay = time.Second
	// maxBackoffDoublings is the number of doublings after which the backoff reaches maxNodeBackoff.
	maxBackoffDoublings = 7
	// nodeFailureLifetime is how long a failure is remembered after its backoff has ended.
	nodeFailureLifetime = 5 * time.Minute
)

// nodeFailures records the recent failures to reach one node.
type nodeFailures struct {
	failures     int
	avoidedUntil time.Time
	// testInFlight is true while one attempt tests whether the node is reachable again.
	testInFlight bool
}

// backoff returns how long to avoid the node. Up to a fifth of jitter keeps several ingresses from testing the node at the same
// time.
func (n nodeFailures) backoff(random uint64) time.Duration {
	wait := min(firstNodeBackoff<<min(n.failures-1, maxBackoffDoublings), maxNodeBackoff)
	return wait + time.Duration(random%uint64(wait/5))
}

// unreachableNodes holds the nodes that could not be reached recently.
type unreachableNodes struct {
	nodes fleet.Map[fleet.NodeID, nodeFailures]
	// cursor is the node at which the next pruning starts.
	cursor fleet.NodeID
}

// withFailure returns the nodes after an attempt failed to reach one. Several failures within one backoff count once.
func (u unreachableNodes) withFailure(ctx Context, node fleet.NodeID) unreachableNodes {
	n, _ := u.nodes.Get(node)
	if ctx.Now.Before(n.avoidedUntil) && !n.testInFlight {
		return u
	}
	n.failures++
	n.testInFlight = false
	n.avoidedUntil = ctx.Now.Add(n.backoff(ctx.Random))
	u.nodes = u.nodes.With(node, n)
	return u
}

// withAttempt returns the nodes after an attempt was sent to one. An unreachable node gets no other attempt until this one ends
// or another backoff has passed.
func (u unreachableNodes) withAttempt(ctx Context, node fleet.NodeID) unreachableNodes {
	n, ok := u.nodes.Get(node)
	if !ok {
		return u
	}
	n.testInFlight = true
	n.avoidedUntil = ctx.Now.Add(n.backoff(ctx.Random))
	u.nodes = u.nodes.With(node, n)
	return u
}

// withResponse returns the nodes without the failures of one that has responded.
func (u unreachableNodes) withResponse(node fleet.NodeID) unreachableNodes {
	if _, ok := u.nodes.Get(node); ok {
		u.nodes = u.nodes.Without(node)
	}
	return u
}

// avoids reports whether a node should get no request of the given kind. An order that tests a node is sent only on a connection on
// which the node has responded, so that it has not run if the node is unreachable.
func (u unreachableNodes) avoids(now time.Time, node fleet.NodeID, idempotent bool) bool {
	if u.nodes.Len() == 0 {
		return false
	}
	n, ok := u.nodes.Get(node)
	until := n.avoidedUntil
	if !idempotent {
		until = until.Add(orderTestDelay)
	}
	return ok && now.Before(until)
}

// AllNodesReachable reports whether no attempt has recently failed to reach a node.
func (s State) AllNodesReachable() bool { return s.unreachable.nodes.Len() == 0 }

// AvoidedUntil returns the time until which an unreachable node is avoided; zero if the node is not recorded as unreachable.
func (s State) AvoidedUntil(node fleet.NodeID) time.Time {
	n, _ := s.unreachable.nodes.Get(node)
	return n.avoidedUntil
}

// pruned removes expired failures. It checks at most pruneBatch nodes per call.
func (u unreachableNodes) pruned(now time.Time) unreachableNodes {
	visited := 0
	next := fleet.NodeID("")
	for node, n := range u.nodes.From(u.cursor) {
		if visited++; visited > pruneBatch {
			next = node
			break
		}
		if now.Sub(n.avoidedUntil) > nodeFailureLifetime {
			u.nodes = u.nodes.Without(node)
		}
	}
	u.cursor = next
	return u
}
