package admission_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/fleet"
)

// assertFailingRefusal checks that a failing target refuses an attempt, and whether it charges the attempt to its retry budget.
func (r *rig) assertFailingRefusal(is *is.I, a fleet.Attempt, charged bool) {
	is.Helper()
	r.health = fleet.Faulty
	r.submitAttempt(a)
	refusal := r.assertRefused(is, a.ID, fleet.Failing, fleet.NotRun)
	is.Equal(refusal.Report.BudgetCharged, charged)
	r.health = fleet.Healthy
}

// TestChargedRefusals guards against healthy targets that refuse retries for lack of budget while the shares of the failing
// targets, which are most of the pool, remain unused. It also guards against retries that exceed the budget of the pool.
func TestChargedRefusals(t *testing.T) {
	retry := func(r *rig, id string) fleet.Attempt {
		a := r.attempt(id, fleet.Lookup)
		a.IsRetry = true
		return a
	}

	t.Run("a failing target charges no more than its share", func(t *testing.T) {
		is, r := is.New(t), newWarmRig(4)
		for i := range maxLookupRetries {
			r.assertFailingRefusal(is, retry(r, fmt.Sprint("a", i)), true)
		}
		r.assertFailingRefusal(is, retry(r, "b"), false)
		r.submitAttempt(retry(r, "c")) // the target is healthy again, and its share is spent
		r.assertRefused(is, "c", fleet.RetryBudgetSpent, fleet.NotRun)
	})
	t.Run("only retries that are not charged yet", func(t *testing.T) {
		is, r := is.New(t), newWarmRig(4)
		r.assertFailingRefusal(is, r.attempt("first", fleet.Lookup), false)
		charged := retry(r, "charged")
		charged.BudgetCharged = true
		r.assertFailingRefusal(is, charged, false)
	})
	t.Run("a charged attempt runs without using the share", func(t *testing.T) {
		is, r := is.New(t), newWarmRig(4)
		runs := func(id string, charged bool) {
			t.Helper()
			a := retry(r, id)
			a.BudgetCharged = charged
			r.submitAttempt(a)
			r.assertRuns(is, a.ID)
			r.finish(id, fleet.Outcome{})
		}
		for i := range maxLookupRetries {
			runs(fmt.Sprint("charged", i), true)
			runs(fmt.Sprint("own", i), false)
		}
		last := retry(r, "last")
		last.BudgetCharged = true
		r.submitAttempt(last)
		r.assertRuns(is, last.ID)
		is.Equal(r.parentRetriedShare(), 1.0) // its child requests count as those of a retried request
		r.submitAttempt(retry(r, "c"))
		_, refused := r.effects[0].(effect.RefuseAttempt)
		is.True(refused)
	})
}
