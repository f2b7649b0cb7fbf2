package quarantine

import (
	"time"

	"jayfold.dev/jayfold/internal/core/fleet"
)

const (
	// maxPerGeneration is the maximum number of fingerprints in a generation. It limits the memory to about 200 KB.
	maxPerGeneration = 2048
	// generationDuration is the time for which successes count in full. They count half for the same time again.
	generationDuration = 5 * time.Minute
	// maxCount is the count above which further successes make no difference.
	maxCount = 64
)

// successCounts counts successful requests by fingerprint in two generations. The zero value is empty.
type successCounts struct {
	recent, older   fleet.Map[fleet.Fingerprint, int]
	generationStart time.Time
}

// with returns the counts after one more success.
func (c successCounts) with(now time.Time, f fleet.Fingerprint) successCounts {
	if c.recent.Len() >= maxPerGeneration || now.Sub(c.generationStart) >= generationDuration {
		c.older, c.recent, c.generationStart = c.recent, fleet.Map[fleet.Fingerprint, int]{}, now
	}
	if count, _ := c.recent.Get(f); count < maxCount {
		c.recent = c.recent.With(f, count+1)
	}
	return c
}

// of returns the decayed number of successes of a fingerprint.
func (c successCounts) of(f fleet.Fingerprint) float64 {
	recent, _ := c.recent.Get(f)
	older, _ := c.older.Get(f)
	return float64(recent) + float64(older)/2
}
