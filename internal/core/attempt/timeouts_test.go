package attempt

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"jayfold.dev/jayfold/internal/core/fleet"
)

func assertTimeouts(t *testing.T, class fleet.Class, p95, remaining, slow, lost time.Duration) {
	t.Helper()
	got := timeoutsFor(fleet.Attempt{Class: class, Baseline: p95}, remaining)
	is.New(t).Equal(got, attemptTimeouts{slow: slow, lost: lost})
}

// TestAttemptTimeouts guards against a lookup that is hedged although its first attempt is as fast as usual, and against an
// attempt that is canceled shortly before its response. In a pool whose run time exceeds half of the deadline, such cancellations
// would leave every lookup without a response and run it on every target.
func TestAttemptTimeouts(t *testing.T) {
	const second = time.Second
	t.Run("a fast pool", func(t *testing.T) {
		assertTimeouts(t, fleet.Lookup, second/10, 10*second, 150*time.Millisecond, second)
		assertTimeouts(t, fleet.Internal, second/10, 10*second, second, second)
	})
	t.Run("a very fast pool", func(t *testing.T) {
		assertTimeouts(t, fleet.Lookup, time.Millisecond, 10*second, minSlow, minLost)
	})
	t.Run("a pool that is slow compared with the deadline", func(t *testing.T) {
		assertTimeouts(t, fleet.Lookup, second, 2*second, second, 2*second)
		assertTimeouts(t, fleet.Lookup, 3*second, 5*second, 3*second, 6*second)
	})
	t.Run("a pool without a baseline", func(t *testing.T) {
		assertTimeouts(t, fleet.Lookup, 0, 4*second, second, 4*second)
		assertTimeouts(t, fleet.Internal, 0, 4*second, 2*second, 4*second)
	})
}
