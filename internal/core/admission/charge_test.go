package admission_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/fleet"
)

// assertLent asks a failing target for an attempt and checks whether it lends one.
func (r *rig) assertLent(is *is.I, a fleet.Attempt, want bool) {
	is.Helper()
	r.health = fleet.Faulty
	r.askAs(a)
	refusal := r.assertRefused(is, a.ID, fleet.Failing, fleet.NotRun)
	is.Equal(refusal.Report.BudgetCharged, want)
	r.health = fleet.Healthy
}

// TestLending guards against a pool of which most targets fail and whose healthy ones refuse what is repeated for the budget,
// although most of that is left, and against a sum above it.
func TestLending(t *testing.T) {
	repeated := func(r *rig, id string) fleet.Attempt {
		a := r.attempt(id, fleet.Lookup)
		a.IsRetry = true
		return a
	}

	t.Run("a failing target lends its part and no more", func(t *testing.T) {
		is, r := is.New(t), newWarmRig(4)
		for i := range lookupRepeats {
			r.assertLent(is, repeated(r, fmt.Sprint("a", i)), true)
		}
		r.assertLent(is, repeated(r, "b"), false)
		r.askAs(repeated(r, "c")) // it is well again, and its part is used up
		r.assertRefused(is, "c", fleet.RetryBudgetSpent, fleet.NotRun)
	})
	t.Run("only for an attempt that needs one", func(t *testing.T) {
		is, r := is.New(t), newWarmRig(4)
		r.assertLent(is, r.attempt("first", fleet.Lookup), false)
		borrowed := repeated(r, "borrowed")
		borrowed.BudgetCharged = true
		r.assertLent(is, borrowed, false)
	})
	t.Run("a borrowed attempt runs beyond the part and takes nothing of it", func(t *testing.T) {
		is, r := is.New(t), newWarmRig(4)
		runs := func(id string, borrowed bool) {
			t.Helper()
			a := repeated(r, id)
			a.BudgetCharged = borrowed
			r.askAs(a)
			r.assertRuns(is, a.ID)
			r.finish(id, fleet.Outcome{})
		}
		for i := range lookupRepeats {
			runs(fmt.Sprint("borrowed", i), true)
			runs(fmt.Sprint("own", i), false)
		}
		last := repeated(r, "last")
		last.BudgetCharged = true
		r.askAs(last)
		r.assertRuns(is, last.ID)
		is.Equal(r.repeatedShare(), 1.0) // its calls count as those of a repeated request
		r.askAs(repeated(r, "c"))
		_, refused := r.effects[0].(effect.RefuseAttempt)
		is.True(refused)
	})
}
