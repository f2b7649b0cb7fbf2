package quarantine

import (
	"time"

	"jayfold.dev/jayfold/internal/core/fleet"
)

const (
	// maxCounted bounds the fingerprints in one generation of the successes, which bounds the memory to about 200 KB.
	maxCounted = 2048
	// generation is how long successes count in full; they count half for as long again.
	generation = 5 * time.Minute
	// enough is the count beyond which more successes make no difference.
	enough = 64
)

// successes counts the answered requests by fingerprint, in two generations. Its zero value is empty.
type successes struct {
	recent, older fleet.Map[fleet.Fingerprint, int]
	since         time.Time
}

// with returns the successes with one more.
func (c successes) with(now time.Time, f fleet.Fingerprint) successes {
	if c.recent.Len() >= maxCounted || now.Sub(c.since) >= generation {
		c.older, c.recent, c.since = c.recent, fleet.Map[fleet.Fingerprint, int]{}, now
	}
	if count, _ := c.recent.Get(f); count < enough {
		c.recent = c.recent.With(f, count+1)
	}
	return c
}

// of returns the decayed number of successes.
func (c successes) of(f fleet.Fingerprint) float64 {
	recent, _ := c.recent.Get(f)
	older, _ := c.older.Get(f)
	return float64(recent) + float64(older)/2
}
