package admission_test

import (
	"strconv"
	"testing"
	"time"

	"jayfold.dev/jayfold/internal/core/fleet"
)

// BenchmarkAttempt measures the arrival and the end of an attempt at a sidecar that remembers the attempt ids of two minutes at
// 111 requests per second, which is one node's share of 60,000 requests per second.
func BenchmarkAttempt(b *testing.B) {
	h := newWarmHarness(5)
	for i := range 13_320 {
		id := "old" + strconv.Itoa(i)
		h.submit(id, fleet.Lookup)
		h.finish(id, fleet.Outcome{Duration: time.Millisecond})
	}
	for i := 0; b.Loop(); i++ {
		id := "r" + strconv.Itoa(i)
		h.submit(id, fleet.Lookup)
		h.finish(id, fleet.Outcome{Duration: time.Millisecond})
	}
}
