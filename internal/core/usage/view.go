package usage

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"jayfold.dev/jayfold/internal/core/fleet"
)

// view holds the allocators as this node sees them.
type view struct {
	built time.Time
	// started is when this node's process started.
	started time.Time
	// members is the number of nodes among which each rate limit is divided. Dead nodes count, because they may only be
	// unreachable; nodes that have left do not.
	members int
	// upstream holds, for each shard, the node to which this node leases its shares: the allocator of its zone, or, if it is that
	// itself, the allocator of the fleet. It is empty if this node is the allocator of the fleet. The upstream of a node has a higher
	// rank than the node or, if the node has just started, is an older process.
	upstream [shardCount]upstream
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

// allocators holds the members with the highest rank for each shard, of this node's zone and of the fleet.
type allocators struct {
	ofZone, ofFleet [shardCount]upstream
}

func (a *allocators) add(m *fleet.Member, ownZone bool) {
	hash := xxhash.Sum64String(string(m.Node))
	for i := range shardCount {
		up := upstream{node: m.Node, address: m.PeerAddress, rank: rank(hash, i)}
		a.ofFleet[i] = higher(a.ofFleet[i], up)
		if ownZone {
			a.ofZone[i] = higher(a.ofZone[i], up)
		}
	}
}

// withView returns the state with the allocators determined from the current members. A process that has just started is an
// allocator only if all have just started: it may not know enough members, and others may not know it yet. A node that is leaving
// remains one for those that still ask it.
func (s State) withView(ctx Context) State {
	v := view{built: ctx.Now}
	var all, aged allocators
	for id, m := range ctx.Members {
		s = s.withPresence(id, m.Status)
		isSelf := id == s.self
		if isSelf {
			v.started = time.UnixMilli(int64(m.Incarnation))
		} else if m.Status == fleet.Leaving || m.Status == fleet.Dead && s.left.Has(id) {
			continue
		}
		v.members++
		if !isSelf && (m.Status != fleet.Alive || s.isAvoided(ctx.Now, id)) {
			continue
		}
		all.add(m, m.AvailabilityZone == s.zone)
		if ctx.Now.Sub(time.UnixMilli(int64(m.Incarnation))) >= eligibleAfter {
			aged.add(m, m.AvailabilityZone == s.zone)
		}
	}
	if aged.ofFleet[0].node == "" {
		aged = all
	}
	for i := range shardCount {
		if !ctx.Now.Before(s.shards[i].promotedUntil) {
			v.upstream[i] = aged.upstreamOf(s.self, i)
		}
	}
	s.view = &v
	return s.withContacts(ctx.Now)
}

// upstreamOf returns the upstream of a node for a shard.
func (a *allocators) upstreamOf(self fleet.NodeID, i int) upstream {
	switch {
	case a.ofFleet[i].node == self:
		return upstream{}
	case a.ofZone[i].node == self || a.ofZone[i].node == "":
		return a.ofFleet[i]
	default:
		return a.ofZone[i]
	}
}

func higher(a, b upstream) upstream {
	if b.node != "" && (a.node == "" || b.rank > a.rank) {
		return b
	}
	return a
}

// withPresence records whether a node has left the fleet, which its record no longer tells once it is dead.
func (s State) withPresence(id fleet.NodeID, status fleet.MemberStatus) State {
	switch has := s.left.Has(id); {
	case status == fleet.Leaving && !has:
		s.left = s.left.With(id)
	case (status == fleet.Alive || status == fleet.Suspect) && has:
		s.left = s.left.Without(id)
	}
	return s
}

func (s State) isAvoided(now time.Time, id fleet.NodeID) bool {
	until, ok := s.avoided.Get(id)
	return ok && now.Before(until)
}

// source returns the node from which tokens are requested; empty if this node grants them itself. While a lease to an earlier
// upstream lasts, that node is asked, because it has the shares.
func (s State) source(now time.Time, i int) upstream {
	sh, up := s.shards[i], s.view.upstream[i]
	if now.Before(sh.promotedUntil) {
		return upstream{}
	}
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

// withPromotion returns the state after a request from a node. Two nodes take each other for the allocator of the fleet when one of
// them has just reached the age for it and the other one notices first; the one with the higher rank then is.
func (s State) withPromotion(ctx Context, from fleet.NodeID, i int) State {
	if s.source(ctx.Now, i).node != from || rankOf(from, i) > rankOf(s.self, i) {
		return s
	}
	sh := *s.shards[i]
	sh.promotedUntil = ctx.Now.Add(promotion)
	return s.withShard(i, sh).withView(ctx)
}

func rankOf(id fleet.NodeID, shard int) uint64 { return rank(xxhash.Sum64String(string(id)), shard) }

// isTop reports whether this node is the allocator of the fleet for a shard, as it sees it.
func (s State) isTop(shard int) bool { return s.view.upstream[shard].node == "" }
