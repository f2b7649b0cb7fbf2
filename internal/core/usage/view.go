package usage

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"jayfold.dev/jayfold/internal/core/fleet"
)

// view holds the allocators as this node sees them.
type view struct {
	built time.Time
	// members is the number of nodes among which each rate limit is divided. Dead nodes count, because they may only be
	// unreachable; nodes that have left do not.
	members int
	// upstream holds, for each shard, the node to which this node leases its shares: the allocator of its zone, or, if it is that
	// itself, the allocator of the fleet. It is empty if this node is the allocator of the fleet. The upstream of a node always has
	// a higher rank than the node, so that requests never go round in circles, even if nodes see different members.
	upstream [shardCount]upstream
}

// presence is what this node has seen of the process of another one.
type presence struct {
	incarnation fleet.Incarnation
	since       time.Time
	// gone is true if the node is leaving, dead or has left, and left if it has left in an orderly way.
	gone, left bool
}

type upstream struct {
	node    fleet.NodeID
	address string
	rank    uint64
}

// rank returns the rank of a node as allocator of a shard, given the hash of the node's id.
func rank(hash uint64, shard int) uint64 {
	hash += (uint64(shard) + 1) * 0x9e3779b97f4a7c15
	hash = (hash ^ hash>>30) * 0xbf58476d1ce4e5b9
	hash = (hash ^ hash>>27) * 0x94d049bb133111eb
	return hash ^ hash>>31
}

// shardOf returns the shard of an account.
func shardOf(name fleet.AccountName) int { return int(xxhash.Sum64String(string(name)) % shardCount) }

// withView returns the state with the allocators determined from the current members.
func (s State) withView(ctx Context) State {
	v := view{built: ctx.Now}
	var ofZone, ofFleet [shardCount]upstream
	for id, m := range ctx.Members {
		s = s.withPresence(ctx.Now, m)
		if m.Status == fleet.Leaving || m.Status == fleet.Dead && s.hasLeft(id) {
			continue
		}
		v.members++
		if m.Status != fleet.Alive || s.isAvoided(ctx.Now, id) || !s.isEligible(ctx.Now, id) {
			continue
		}
		hash := xxhash.Sum64String(string(id))
		for i := range shardCount {
			up := upstream{node: id, address: m.PeerAddress, rank: rank(hash, i)}
			ofFleet[i] = higher(ofFleet[i], up)
			if m.AvailabilityZone == s.zone {
				ofZone[i] = higher(ofZone[i], up)
			}
		}
	}
	for i := range shardCount {
		switch s.self {
		case ofFleet[i].node:
		case ofZone[i].node:
			v.upstream[i] = ofFleet[i]
		default:
			v.upstream[i] = higher(ofZone[i], upstream{})
			if v.upstream[i].node == "" {
				v.upstream[i] = ofFleet[i]
			}
		}
	}
	s.view = &v
	return s.withContacts(ctx.Now)
}

func higher(a, b upstream) upstream {
	if b.node != "" && (a.node == "" || b.rank > a.rank) {
		return b
	}
	return a
}

// withPresence records which process of a node runs, and whether a node has left the fleet, which its record no longer tells once it
// is dead.
func (s State) withPresence(now time.Time, m *fleet.Member) State {
	known, ok := s.present.Get(m.Node)
	switch {
	case m.Status == fleet.Leaving || m.Status == fleet.Dead:
		if !known.gone || m.Status == fleet.Leaving && !known.left {
			known.gone, known.left = true, known.left || m.Status == fleet.Leaving
			s.present = s.present.With(m.Node, known)
		}
	case !ok || known.gone || known.incarnation != m.Incarnation:
		s.present = s.present.With(m.Node, presence{incarnation: m.Incarnation, since: now})
	}
	return s
}

// isEligible reports whether a node may be an allocator. A process that has just started may not know enough members, and others
// may not know it yet.
func (s State) isEligible(now time.Time, id fleet.NodeID) bool {
	p, _ := s.present.Get(id)
	return id == s.self || now.Sub(p.since) >= eligibleAfter || p.since.Sub(s.started) < eligibleAfter
}

func (s State) hasLeft(id fleet.NodeID) bool {
	p, ok := s.present.Get(id)
	return ok && p.left
}

func (s State) isAvoided(now time.Time, id fleet.NodeID) bool {
	until, ok := s.avoided.Get(id)
	return ok && now.Before(until)
}

// source returns the node from which tokens are requested; empty if this node grants them itself. While a lease to an earlier
// upstream lasts, that node is asked, because it has the shares.
func (s State) source(now time.Time, i int) upstream {
	sh, up := s.shards[i], s.view.upstream[i]
	if sh.leasedTo.node != up.node && now.Before(sh.leasedUntil) && !s.isAvoided(now, sh.leasedTo.node) {
		return sh.leasedTo
	}
	return up
}

// withContacts resets the contact of each shard whose upstream has changed.
func (s State) withContacts(now time.Time) State {
	for i := range shardCount {
		sh, up := *s.shards[i], s.view.upstream[i].node
		isFirst := up == "" && sh.topSince.IsZero()
		if sh.contact.node == up && !isFirst {
			continue
		}
		wasTop := sh.contact.node == "" && !sh.topSince.IsZero()
		sh.contact, sh.asks = contact{node: up}, nil
		if up == "" {
			sh.topSince = now
		}
		s = s.withShard(i, sh)
		if wasTop || up == "" {
			s = s.withTopLine(i, up == "")
		}
	}
	return s
}

// withAvoided returns the state in which a node is not asked for some time, and the allocators are determined without it.
func (s State) withAvoided(ctx Context, id fleet.NodeID) State {
	s = s.withLostLine(id)
	s.avoided = s.avoided.With(id, ctx.Now.Add(avoidDuration))
	for other, until := range s.avoided.All() {
		if !ctx.Now.Before(until) {
			s.avoided = s.avoided.Without(other)
		}
	}
	return s.withView(ctx)
}

// isTop reports whether this node is the allocator of the fleet for a shard, as it sees it.
func (s State) isTop(shard int) bool { return s.view.upstream[shard].node == "" }
