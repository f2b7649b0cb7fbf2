package usage

import (
	"math"
	"time"

	"jayfold.dev/jayfold/internal/core/fleet"
)

const (
	// windowSeconds is the window over which the limits are stated: Rate*windowSeconds + Burst requests, and at most 10% and 20
	// requests more. Tokens that are used late need 0.4 times the rate of this tolerance, buckets of accounts without a burst 0.1
	// times the rate, and the single tokens of buckets in parts of the fleet that cannot reach each other 10 of the 20.
	windowSeconds = 5
	// minWeight is the weight from which a bucket holds at least one token. At most 10 parts of the fleet have this weight.
	minWeight = 0.1
	// extraTokens is the number of tokens granted beyond the limit of a window by a node with a weight of extraWeight, which at most
	// one node has. They replace what a new allocator does not know, and cover the requests of one more slot that are counted;
	// requests of an account with a rate below 1 would be refused otherwise.
	extraTokens = 4
	extraWeight = 0.5
)

// bucket is the token bucket of an account. While the tokens that were requested within the window are no more than the limit of the
// window, it grants tokens that it does not have yet. Its debt is at most the tokens of a window, so that it grants no more
// than the limit in any window.
type bucket struct {
	tokens  float64
	updated time.Time
	// requested counts the tokens that were requested, whether granted or not.
	requested window
}

// minBurstSeconds is the least size of a bucket, in seconds of the rate. It covers the time for which nodes that were refused do not
// ask again; a smaller bucket would lose the tokens of that time.
const minBurstSeconds = 0.1

// capacity returns the size of an account's bucket for a share of the fleet.
func capacity(limit fleet.Account, weight float64) float64 {
	size := max(limit.Burst, minBurstSeconds*limit.Rate) * weight
	if size < 1 && weight >= minWeight {
		return 1
	}
	return size
}

// refilled returns the bucket at a time, after each change of the weight since it was last used. The bucket of an account that was
// not used before holds one token when the weights begin.
func (b bucket) refilled(now time.Time, limit fleet.Account, weights []weightSince) bucket {
	if b.updated.IsZero() {
		b.tokens, b.updated = 1, weights[0].since
	}
	for i, w := range weights {
		until := now
		if i+1 < len(weights) {
			until = weights[i+1].since
		}
		if !until.After(b.updated) && i+1 < len(weights) {
			continue
		}
		elapsed := max(0, until.Sub(b.updated).Seconds())
		b.tokens = min(capacity(limit, w.weight), b.tokens+limit.Rate*w.weight*elapsed)
		b.updated = until
	}
	return b
}

// available returns the number of tokens that a refilled bucket may grant.
func (b bucket) available(now time.Time, limit fleet.Account, weights []weightSince) int {
	least := weights[len(weights)-1].weight
	for i, w := range weights {
		if i+1 == len(weights) || now.Sub(weights[i+1].since) < windowSlots*slotTime {
			least = min(least, w.weight)
		}
	}
	// Part of the window may have been granted by other nodes if the weight was less.
	room := 0.0
	if least >= minWeight {
		room = (limit.Rate*windowSeconds + limit.Burst) * least
	}
	if weights[len(weights)-1].weight > extraWeight {
		room += extraTokens
	}
	return max(0, int(room)-b.requested.count(now), int(b.tokens))
}

// withGranted returns the bucket without a number of tokens.
func (b bucket) withGranted(now time.Time, limit fleet.Account, weight float64, tokens int) bucket {
	b.tokens = max(b.tokens-float64(tokens), -limit.Rate*weight*windowSeconds)
	b.requested = b.requested.with(now, tokens)
	return b
}

// untilNext returns the time until the bucket has a token.
func (b bucket) untilNext(limit fleet.Account, weight float64) time.Duration {
	rate := limit.Rate * weight
	if rate <= 0 {
		return maxRefusal
	}
	return time.Duration(min(maxRefusal.Seconds(), (1-b.tokens)/rate) * float64(time.Second))
}

const (
	// slotTime is the resolution of a window. The window is one slot longer than the time over which the limits are stated, so that
	// it never covers less.
	slotTime    = 200 * time.Millisecond
	windowSlots = windowSeconds*5 + 1
)

// window counts tokens in the time of the last windowSlots slots.
type window struct {
	// slot is the number of the slot that was last used.
	slot   int64
	counts [windowSlots]uint16
}

// moved returns the window with the slots cleared that have passed since it was last used.
func (w window) moved(now time.Time) window {
	slot := now.UnixNano() / int64(slotTime)
	for i := max(w.slot+1, slot-windowSlots+1); i <= slot; i++ {
		w.counts[i%windowSlots] = 0
	}
	w.slot = max(w.slot, slot)
	return w
}

func (w window) with(now time.Time, tokens int) window {
	w = w.moved(now)
	at := &w.counts[w.slot%windowSlots]
	*at += uint16(min(tokens, math.MaxUint16-int(*at)))
	return w
}

func (w window) count(now time.Time) int {
	total := 0
	for _, n := range w.moved(now).counts {
		total += int(n)
	}
	return total
}
