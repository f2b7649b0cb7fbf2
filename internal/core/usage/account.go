package usage

import (
	"math"
	"slices"
	"time"

	"jayfold.dev/jayfold/internal/core/fleet"
)

// account is the state of one rate-limited account on this node.
type account struct {
	// bucket is used while this node is the allocator of the fleet for the account's shard.
	bucket bucket
	// tokens holds the tokens granted to this node and not used yet.
	tokens []batch
	// waiters holds the requests and the peers that wait for tokens, in order of arrival.
	waiters []waiter
	ask     ask
	// askAfter is the earliest time of the next request for tokens, and refusedUntil the time until which the account has none.
	askAfter, refusedUntil time.Time
	demand                 demand
	debt                   debt
	// rate is the rate limit under which the tokens were granted.
	rate    float64
	touched time.Time
	// refusals is the number of requests refused since the last log line about them, at logged.
	refusals int
	logged   time.Time
}

// batch is a number of tokens that expire together.
type batch struct {
	tokens  int
	expires time.Time
}

// waiter is a request of a caller, or a peer that asked for tokens.
type waiter struct {
	// local is nil for a peer.
	local *Waiting
	// peer, address and number are those of the request for tokens.
	peer    fleet.NodeID
	address string
	number  uint64
	tokens  int
	until   time.Time
}

// ask is a request for tokens without a reply. Its number is 0 if there is none.
type ask struct {
	number uint64
	to     fleet.NodeID
	sent   time.Time
	// first is when the node was first asked without a reply, and earlier the number of the request before this one, whose reply
	// may still arrive.
	first   time.Time
	earlier uint64
}

// matches reports whether a reply with the given number is for the request or the one before.
func (k ask) matches(from fleet.NodeID, number uint64) bool {
	return number != 0 && k.to == from && (number == k.number || number == k.earlier)
}

// again returns the request that follows on a request without a reply.
func (k ask) again(next ask) ask {
	if k.number != 0 && k.to == next.to {
		next.first, next.earlier = k.first, k.number
	}
	return next
}

// demandTime is the time over which the demand of an account is averaged.
const demandTime = time.Second

// demand is the exponentially weighted number of tokens needed within about demandTime.
type demand struct {
	count   float64
	updated time.Time
}

func (d demand) with(now time.Time, tokens int) demand {
	return demand{count: d.at(now) + float64(tokens), updated: now}
}

func (d demand) at(now time.Time) float64 {
	if d.count == 0 {
		return 0
	}
	return d.count * math.Exp(-float64(now.Sub(d.updated))/float64(demandTime))
}

// advance returns the number of tokens that are requested in advance: as many as will be used before they expire with a
// probability of about 98%, which is the mean less two standard deviations. A token that expires is lost to the account.
func (d demand) advance(now time.Time) int {
	mean := d.at(now) / demandTime.Seconds() * (tokenLifetime - 100*time.Millisecond).Seconds()
	return max(0, int(mean-2*math.Sqrt(mean)))
}

func (a account) withDemand(now time.Time, tokens int) account {
	a.demand = a.demand.with(now, tokens)
	a.touched = now
	return a
}

func (a account) withWaiter(w waiter) account {
	a.waiters = append(slices.Clip(a.waiters), w)
	return a
}

func (a account) withoutRequest(id fleet.RequestID) account {
	a.waiters = slices.DeleteFunc(slices.Clone(a.waiters), func(w waiter) bool { return w.local != nil && w.local.Request.ID == id })
	return a
}

// withTokens returns the account with more tokens and without those that have expired.
func (a account) withTokens(now time.Time, more batch) account {
	a.tokens = slices.DeleteFunc(append(slices.Clip(a.tokens), more), func(b batch) bool { return !now.Before(b.expires) })
	return a
}

// take removes up to a number of tokens from the batch that expires first.
func (a account) take(now time.Time, tokens int) (account, batch) {
	for i, b := range a.tokens {
		if !now.Before(b.expires) || b.tokens == 0 {
			continue
		}
		taken := min(tokens, b.tokens)
		a.tokens = slices.Clone(a.tokens[i:])
		a.tokens[0].tokens -= taken
		return a, batch{tokens: taken, expires: b.expires}
	}
	a.tokens = nil
	return a, batch{}
}

// draw removes up to a number of tokens from the bucket, which must be refilled.
func (a account) draw(now time.Time, limit fleet.Account, sh shard, tokens int) (account, batch) {
	tokens = min(tokens, a.bucket.available(now, limit, sh.weights))
	a.bucket = a.bucket.withGranted(now, limit, sh.weight(), tokens)
	return a, batch{tokens: tokens, expires: now.Add(tokenLifetime)}
}
