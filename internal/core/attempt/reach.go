package attempt

import (
	"time"

	"jayfold.dev/jayfold/internal/core/fleet"
)

const (
	// firstAvoidance is how long a node is avoided after a request failed to reach it; each further failure doubles it.
	firstAvoidance = 250 * time.Millisecond
	maxAvoidance   = 30 * time.Second
	// avoidanceDoublings is where doubling reaches the maximum.
	avoidanceDoublings = 7
	// reachLifetime is how long a failure is remembered after its avoidance has ended.
	reachLifetime = 5 * time.Minute
)

// reach is a node that could not be reached lately.
type reach struct {
	failures int
	until    time.Time
	// probing means that one request is on its way to find out whether the node is back.
	probing bool
}

// avoidance returns how long to avoid the node, with a fifth of jitter so that ingresses do not return together.
func (r reach) avoidance(random uint64) time.Duration {
	wait := min(firstAvoidance<<min(r.failures-1, avoidanceDoublings), maxAvoidance)
	return wait + time.Duration(random%uint64(wait/5))
}

// reaches holds the nodes that could not be reached lately.
type reaches struct {
	nodes fleet.Map[fleet.NodeID, reach]
	// cursor is the node at which the next pruning starts.
	cursor fleet.NodeID
}

// failed returns the nodes after a request failed to reach one. Requests that fail together count once.
func (rs reaches) failed(ctx Context, node fleet.NodeID) reaches {
	r, _ := rs.nodes.Get(node)
	if ctx.Now.Before(r.until) && !r.probing {
		return rs
	}
	r.failures++
	r.probing = false
	r.until = ctx.Now.Add(r.avoidance(ctx.Random))
	rs.nodes = rs.nodes.With(node, r)
	return rs
}

// tried returns the nodes after a request was sent to one. Until it ends no other follows to a node that failed.
func (rs reaches) tried(ctx Context, node fleet.NodeID) reaches {
	r, ok := rs.nodes.Get(node)
	if !ok {
		return rs
	}
	r.probing = true
	r.until = ctx.Now.Add(r.avoidance(ctx.Random))
	rs.nodes = rs.nodes.With(node, r)
	return rs
}

// answered returns the nodes after one answered.
func (rs reaches) answered(node fleet.NodeID) reaches {
	if _, ok := rs.nodes.Get(node); ok {
		rs.nodes = rs.nodes.Without(node)
	}
	return rs
}

// avoids reports whether a request should go to another node. Only idempotent requests find out whether a node is back.
func (rs reaches) avoids(now time.Time, node fleet.NodeID, idempotent bool) bool {
	if rs.nodes.Len() == 0 {
		return false
	}
	r, ok := rs.nodes.Get(node)
	return ok && (!idempotent || now.Before(r.until))
}

// AllNodesReachable reports whether no node failed to be reached lately.
func (s State) AllNodesReachable() bool { return s.reaches.nodes.Len() == 0 }

// AvoidedUntil returns until when a node that could not be reached is avoided; zero means that it is not.
func (s State) AvoidedUntil(node fleet.NodeID) time.Time {
	r, _ := s.reaches.nodes.Get(node)
	return r.until
}

// pruned forgets some of the failures that are long past.
func (rs reaches) pruned(now time.Time) reaches {
	looked := 0
	next := fleet.NodeID("")
	for node, r := range rs.nodes.From(rs.cursor) {
		if looked++; looked > pruneStep {
			next = node
			break
		}
		if now.Sub(r.until) > reachLifetime {
			rs.nodes = rs.nodes.Without(node)
		}
	}
	rs.cursor = next
	return rs
}
