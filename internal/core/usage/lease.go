package usage

import (
	"slices"
	"time"

	"jayfold.dev/jayfold/internal/core/fleet"
)

const (
	// leafLease is the duration of the lease of a node that holds no leases itself, and leafInterval that between its renewals. One
	// message may be lost.
	leafLease    = 3500 * time.Millisecond
	leafInterval = time.Second
	// allocatorInterval is the interval at which an allocator of a zone renews its lease. Its lease is shorter than those that it
	// holds, so that it can pass them on, and so that the allocator of the fleet is soon replaced after a failure.
	allocatorInterval = 200 * time.Millisecond
	// minLease is the shortest time for which a lease is worth a message.
	minLease = 100 * time.Millisecond
	// driftMargin is the part of a lease that its holder does not use, because clocks of hosts run at different rates.
	driftMargin = 0.01
	// maxWeights bounds the weights that are remembered for buckets that were not used since.
	maxWeights = 16
)

// allocatorLeases lists the durations of an allocator's lease. The longest that covers the most shares is used.
var allocatorLeases = []time.Duration{750 * time.Millisecond, 400 * time.Millisecond}

// shard is the state of one shard of accounts.
type shard struct {
	// leases holds the leases of other nodes to this one.
	leases []lease
	// leasedTo is the node to which this node has leased leasedShares shares until leasedUntil.
	leasedTo     upstream
	leasedShares int
	leasedUntil  time.Time
	contact      contact
	// asks holds the messages for tokens without a reply, and pending the accounts whose requests for tokens wait for one of these
	// replies.
	asks    []askMessage
	pending fleet.Set[fleet.AccountName]
	// weights holds the fraction of all shares that this node may use, and earlier ones, the oldest first.
	weights []weightSince
	// promotedUntil is the time until which this node is the allocator of the fleet because the node that it took for it asks this
	// one.
	promotedUntil time.Time
	// topSince is the time since which this node is the allocator of the fleet.
	topSince time.Time
}

// weightSince is the fraction of all shares that a node may use from a time on.
type weightSince struct {
	since  time.Time
	weight float64
}

// askMessage is a message that asks for tokens of one or more accounts.
type askMessage struct {
	number   uint64
	sent     time.Time
	accounts int
}

// maxAsks bounds the messages of a shard that ask for tokens and have no reply. Under high load, the requests of several accounts
// then share a message: the messages between two nodes are sent one after the other, each after the reply to the one before.
const maxAsks = 2

// maxAccounts bounds the accounts in a message.
const maxAccounts = 256

// mayAsk reports whether the step with the given number may ask for the tokens of one more account.
func (sh shard) mayAsk(number uint64) bool {
	last := len(sh.asks) - 1
	if last >= 0 && sh.asks[last].number == number {
		return sh.asks[last].accounts < maxAccounts
	}
	return len(sh.asks) < maxAsks
}

// withAsk returns the shard after the step with the given number has asked for the tokens of one more account.
func (sh shard) withAsk(now time.Time, number uint64) shard {
	last := len(sh.asks) - 1
	if last < 0 || sh.asks[last].number != number {
		sh.asks = append(slices.Clip(sh.asks), askMessage{number: number, sent: now, accounts: 1})
		return sh
	}
	sh.asks = slices.Clone(sh.asks)
	sh.asks[last].accounts++
	return sh
}

// withoutAsks returns the shard without the messages for tokens that match.
func (sh shard) withoutAsks(match func(askMessage) bool) shard {
	if slices.ContainsFunc(sh.asks, match) {
		sh.asks = slices.DeleteFunc(slices.Clone(sh.asks), match)
	}
	return sh
}

// lease is the promise of a node that shares are used by this node alone.
type lease struct {
	node   fleet.NodeID
	shares int
	ends   time.Time
	// members is the number of nodes that the sender knows.
	members int
}

// contact is what this node knows of the exchange with the node to which it leases its shares.
type contact struct {
	node fleet.NodeID
	// stamp is the clock in the last reply of the node, which arrived at stampAt; 0 if there is none.
	stamp   int64
	stampAt time.Time
	sent    time.Time
	// unanswered is when the first message without a reply was sent; zero if there is none.
	unanswered time.Time
}

// withLease returns the shard with a lease in place of an earlier one of the same node. A lease that ends before that one has been
// overtaken by it.
func (sh shard) withLease(l lease) shard {
	if slices.ContainsFunc(sh.leases, func(other lease) bool { return other.node == l.node && l.ends.Before(other.ends) }) {
		return sh
	}
	leases := slices.DeleteFunc(slices.Clone(sh.leases), func(other lease) bool { return other.node == l.node })
	sh.leases = append(leases, l)
	return sh
}

// sharesUntil returns the number of shares, with this node's own, that this node holds until a time, apart from those of one node.
func (sh shard) sharesUntil(t time.Time, except fleet.NodeID) int {
	total := 1
	for _, l := range sh.leases {
		if !l.ends.Before(t) && l.node != except {
			total += l.shares
		}
	}
	return total
}

// withWeight returns the shard without leases that have expired and with its current weight.
func (sh shard) withWeight(now time.Time, members int) shard {
	if slices.ContainsFunc(sh.leases, func(l lease) bool { return l.ends.Before(now) }) {
		sh.leases = slices.DeleteFunc(slices.Clone(sh.leases), func(l lease) bool { return l.ends.Before(now) })
	}
	shares := sh.sharesUntil(now, "")
	if now.Before(sh.leasedUntil) {
		shares -= sh.leasedShares
	}
	weight := min(1, float64(max(0, shares))/float64(max(1, sh.members(members))))
	if weight != sh.weight() || len(sh.weights) == 0 {
		sh.weights = append(slices.Clip(sh.weights), weightSince{since: now, weight: weight})
	}
	if len(sh.weights) > maxWeights {
		oldest := weightSince{since: sh.weights[0].since, weight: min(sh.weights[0].weight, sh.weights[1].weight)}
		sh.weights = append([]weightSince{oldest}, sh.weights[2:]...)
	}
	return sh
}

// weight returns the fraction of all shares that this node may use.
func (sh shard) weight() float64 {
	if len(sh.weights) == 0 {
		return 0
	}
	return sh.weights[len(sh.weights)-1].weight
}

// members returns the largest number of nodes that this node and those that lease shares to it know.
func (sh shard) members(own int) int {
	for _, l := range sh.leases {
		own = max(own, l.members)
	}
	return own
}

// leasable returns the number of shares that may be leased to the contact, and for how long after its last stamp.
func (sh shard) leasable(now time.Time) (int, time.Duration) {
	if sh.contact.stamp == 0 || now.Before(sh.leasedUntil) && sh.leasedTo.node != sh.contact.node {
		return 0, 0
	}
	durations := allocatorLeases
	if len(sh.leases) == 0 {
		durations = []time.Duration{leafLease}
	}
	shares, duration := 0, time.Duration(0)
	for _, d := range durations {
		ends := sh.contact.stampAt.Add(d)
		if ends.Before(now.Add(minLease)) {
			break
		}
		if n := sh.sharesUntil(ends, sh.contact.node); n > shares {
			shares, duration = n, d
		}
	}
	return shares, duration
}

// withLeased returns the shard after its shares were leased to its upstream, which is the contact.
func (sh shard) withLeased(now time.Time, up upstream, shares int, duration time.Duration) shard {
	if !now.Before(sh.leasedUntil) {
		sh.leasedShares = 0
	}
	sh.leasedTo = up
	sh.leasedShares = max(sh.leasedShares, shares)
	if until := sh.contact.stampAt.Add(duration); until.After(sh.leasedUntil) {
		sh.leasedUntil = until
	}
	return sh
}

// renewalDue reports whether a lease should be sent to the contact.
func (sh shard) renewalDue(now time.Time) bool {
	interval := leafInterval
	if len(sh.leases) > 0 {
		interval = allocatorInterval
	}
	return now.Sub(sh.contact.sent) >= interval
}

// leased reports whether the contact holds a lease of this node.
func (sh shard) leased(now time.Time) bool {
	return sh.leasedTo.node == sh.contact.node && now.Before(sh.leasedUntil)
}
