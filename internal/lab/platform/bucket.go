package platform

import "time"

// bucket is a token bucket over event time that holds at most the tokens of one second.
type bucket struct {
	perSecond int
	tokens    float64
	filled    time.Time
}

func newBucket(perSecond int) bucket {
	return bucket{perSecond: perSecond, tokens: float64(perSecond)}
}

// take takes one token, and reports whether there was one.
func (b bucket) take(at time.Time) (bucket, bool) {
	if b.perSecond == 0 {
		return b, true
	}
	if !b.filled.IsZero() {
		b.tokens += at.Sub(b.filled).Seconds() * float64(b.perSecond)
	}
	b.tokens = min(b.tokens, float64(b.perSecond))
	b.filled = at
	if b.tokens < 1 {
		return b, false
	}
	b.tokens--
	return b, true
}
