package platform

import "time"

// bucket is a token bucket that is refilled according to the times of the events and holds at most the tokens of one second. A
// rate of 0 means no limit.
type bucket struct {
	perSecond  int
	tokens     float64
	refilledAt time.Time
}

func newBucket(perSecond int) bucket {
	return bucket{perSecond: perSecond, tokens: float64(perSecond)}
}

// take takes one token and reports whether one was available.
func (b bucket) take(at time.Time) (bucket, bool) {
	if b.perSecond == 0 {
		return b, true
	}
	if !b.refilledAt.IsZero() {
		b.tokens += at.Sub(b.refilledAt).Seconds() * float64(b.perSecond)
	}
	b.tokens = min(b.tokens, float64(b.perSecond))
	b.refilledAt = at
	if b.tokens < 1 {
		return b, false
	}
	b.tokens--
	return b, true
}
