package attempt

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"jayfold.dev/jayfold/internal/core/fleet"
)

func assertPatience(t *testing.T, class fleet.Class, usual, remaining, slow, lost time.Duration) {
	t.Helper()
	got := patienceOf(fleet.Attempt{Class: class, Baseline: usual}, remaining)
	is.New(t).Equal(got, patience{slow: slow, lost: lost})
}

// TestPatience guards against a second target that is asked although the first one is as fast as usual, and against an
// attempt that is given up shortly before its answer: in a pool that takes more than half of the deadline no lookup was ever
// answered, and each one ran on every target.
func TestPatience(t *testing.T) {
	const second = time.Second
	t.Run("a fast pool", func(t *testing.T) {
		assertPatience(t, fleet.Lookup, second/10, 10*second, 150*time.Millisecond, second)
		assertPatience(t, fleet.Internal, second/10, 10*second, second, second)
	})
	t.Run("a very fast pool", func(t *testing.T) {
		assertPatience(t, fleet.Lookup, time.Millisecond, 10*second, minSlow, minLost)
	})
	t.Run("a pool that is slow beside the deadline", func(t *testing.T) {
		assertPatience(t, fleet.Lookup, second, 2*second, second, 2*second)
		assertPatience(t, fleet.Lookup, 3*second, 5*second, 3*second, 6*second)
	})
	t.Run("a pool of which nothing is known", func(t *testing.T) {
		assertPatience(t, fleet.Lookup, 0, 4*second, second, 4*second)
		assertPatience(t, fleet.Internal, 0, 4*second, 2*second, 4*second)
	})
}
