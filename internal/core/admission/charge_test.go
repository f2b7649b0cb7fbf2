package admission_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/fleet"
)

// assertFailingRefusal checks that a failing target refuses an attempt, and whether it charges the attempt to its retry budget.
func (h *harness) assertFailingRefusal(is *is.I, a fleet.Attempt, charged bool) {
	is.Helper()
	h.health = fleet.Faulty
	h.submitAttempt(a)
	refusal := h.assertRefused(is, a.ID, fleet.Failing, fleet.NotRun)
	is.Equal(refusal.Report.BudgetCharged, charged)
	h.health = fleet.Healthy
}

// TestChargedRefusals guards against healthy targets that refuse retries for lack of budget while the shares of the failing
// targets, which are most of the pool, remain unused. It also guards against retries that exceed the budget of the pool.
func TestChargedRefusals(t *testing.T) {
	retry := func(h *harness, id string) fleet.Attempt {
		a := h.attempt(id, fleet.Lookup)
		a.IsRetry = true
		return a
	}

	t.Run("a failing target charges no more than its share", func(t *testing.T) {
		is, h := is.New(t), newWarmHarness(4)
		for i := range maxLookupRetries {
			h.assertFailingRefusal(is, retry(h, fmt.Sprint("a", i)), true)
		}
		h.assertFailingRefusal(is, retry(h, "b"), false)
		h.submitAttempt(retry(h, "c")) // the target is healthy again, and its share is spent
		h.assertRefused(is, "c", fleet.RetryBudgetSpent, fleet.NotRun)
	})
	t.Run("only retries that are not charged yet", func(t *testing.T) {
		is, h := is.New(t), newWarmHarness(4)
		h.assertFailingRefusal(is, h.attempt("first", fleet.Lookup), false)
		charged := retry(h, "charged")
		charged.BudgetCharged = true
		h.assertFailingRefusal(is, charged, false)
	})
	t.Run("a charged attempt runs without using the share", func(t *testing.T) {
		is, h := is.New(t), newWarmHarness(4)
		runs := func(id string, charged bool) {
			t.Helper()
			a := retry(h, id)
			a.BudgetCharged = charged
			h.submitAttempt(a)
			h.assertRuns(is, a.ID)
			h.finish(id, fleet.Outcome{})
		}
		for i := range maxLookupRetries {
			runs(fmt.Sprint("charged", i), true)
			runs(fmt.Sprint("own", i), false)
		}
		last := retry(h, "last")
		last.BudgetCharged = true
		h.submitAttempt(last)
		h.assertRuns(is, last.ID)
		is.Equal(h.parentRetriedShare(), 1.0) // its child requests count as those of a retried request
		h.submitAttempt(retry(h, "c"))
		_, refused := h.effects[0].(effect.RefuseAttempt)
		is.True(refused)
	})
}
