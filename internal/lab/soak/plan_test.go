package soak

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestPlan guards against a seed that does not reproduce its faults, and against faults that kill the graceful node or outlast
// the run.
func TestPlan(t *testing.T) {
	const duration = 5 * time.Minute
	plan := NewPlan(7, duration, 4)
	t.Run("same seed, same plan", func(t *testing.T) {
		is.New(t).Equal(plan, NewPlan(7, duration, 4))
	})
	t.Run("all kinds drawn, within the run, graceful for one node", func(t *testing.T) {
		is := is.New(t)
		drawn := map[Kind]bool{}
		overlaps := 0
		for i, step := range plan {
			drawn[step.Kind] = true
			is.True(step.Start+step.Duration < duration)
			is.True(step.Node != gracefulNode || step.Kind == gracefulKind(step.Kind))
			if i > 0 && plan[i-1].Start+plan[i-1].Duration > step.Start {
				overlaps++
			}
		}
		is.Equal(len(drawn), len(weights)+1) // and the restorations
		is.True(overlaps > len(plan)/2)
	})
}
