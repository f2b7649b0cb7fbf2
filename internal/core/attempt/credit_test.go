package attempt

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/fleet"
)

// lends refuses an attempt on a failing target that counts it against its own part of the retry budget.
func (b *bench) lends(a fleet.Attempt) []effect.Effect {
	lent := report(a.Target, 20*time.Millisecond)
	lent.Health, lent.BudgetCharged = fleet.Faulty, true
	return b.finish(a, failure(fleet.Failing, fleet.NotRun), fleet.Some(lent))
}

// assertBorrowed checks whether an attempt uses what a failing target has lent.
func assertBorrowed(t *testing.T, a fleet.Attempt, want bool) fleet.Attempt {
	t.Helper()
	is.New(t).Equal(a.BudgetCharged, want)
	return a
}

// TestCredit guards against requests that fail because the healthy targets of a pool have used up their parts of the retry
// budget while those of the failing ones are left over, and against a part that is used twice.
func TestCredit(t *testing.T) {
	// refused returns a request that one target has broken and another one refused for the budget, and its next attempt.
	refused := func(t *testing.T, b *bench) (healthy fleet.TargetID, next fleet.Attempt) {
		t.Helper()
		first := assertBorrowed(t, wantForward(t, b.arrive(true, "")), false)
		second := assertBorrowed(t, wantForward(t, b.fail(first, fleet.Broken, fleet.MayHaveRun)), false)
		return second.Target, wantForward(t, b.fail(second, fleet.RetryBudgetSpent, fleet.NotRun))
	}

	t.Run("the target that refused is asked again", func(t *testing.T) {
		b := newBench()
		healthy, next := refused(t, b)
		again := assertBorrowed(t, wantForward(t, b.lends(next)), true)
		is.New(t).Equal(again.Target, healthy)
		effects := b.succeed(again)
		wantAnswer(t, effects, again.ID)
		line, ok := effects[0].(effect.WriteLog)
		is.New(t).True(ok)
		is.New(t).True(strings.Contains(fmt.Sprint(line.Fields), " borrowed")) // the log says why it was not refused again
	})
	t.Run("a full target leaves it to the next one", func(t *testing.T) {
		b := newBench()
		_, next := refused(t, b)
		again := assertBorrowed(t, wantForward(t, b.lends(next)), true)
		assertBorrowed(t, wantForward(t, b.full(again, time.Millisecond)), true)
	})
	t.Run("a target that got the request has used it", func(t *testing.T) {
		b := newBench()
		_, next := refused(t, b)
		again := assertBorrowed(t, wantForward(t, b.lends(next)), true)
		assertBorrowed(t, wantForward(t, b.fail(again, fleet.TargetFailed, fleet.MayHaveRun)), false)
	})
	t.Run("a target known to fail is asked for it", func(t *testing.T) {
		is := is.New(t)
		b := newBench()
		failing := fleet.NewTargetID("n5", "t")
		suspect := report(failing, 20*time.Millisecond)
		suspect.Health = fleet.Faulty
		other := wantForward(t, b.arrive(true, ""))
		b.finish(other, fleet.Outcome{Status: 200}, fleet.Some(suspect))
		next := wantForward(t, b.arrive(true, ""))
		next = wantForward(t, b.fail(next, fleet.Broken, fleet.MayHaveRun))
		for range 4 {
			is.True(next.Target != failing)
			next = wantForward(t, b.fail(next, fleet.RetryBudgetSpent, fleet.NotRun))
		}
		is.Equal(next.Target, failing)
		is.True(next.Probe)
	})
}
