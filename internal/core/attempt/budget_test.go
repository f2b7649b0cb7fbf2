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

// refuseAndCharge makes a failing target refuse an attempt and charge it to its share of the retry budget.
func (h *harness) refuseAndCharge(a fleet.Attempt) []effect.Effect {
	charged := report(a.Target, 20*time.Millisecond)
	charged.Health, charged.BudgetCharged = fleet.Faulty, true
	return h.finish(a, failure(fleet.Failing, fleet.NotRun), fleet.Some(charged))
}

// assertCharged checks whether a failing target has charged an attempt to its share of the retry budget, and returns the
// attempt.
func assertCharged(t *testing.T, a fleet.Attempt, want bool) fleet.Attempt {
	t.Helper()
	is.New(t).Equal(a.BudgetCharged, want)
	return a
}

// TestBudgetCharge guards against requests that fail because the healthy targets of a pool have spent their shares of the retry
// budget while the failing targets have not, and against a charge that two attempts use.
func TestBudgetCharge(t *testing.T) {
	// refused makes one target break a request and a healthy one refuse it because its retry budget is spent. It returns the
	// healthy target and the next attempt.
	refused := func(t *testing.T, h *harness) (healthy fleet.TargetID, next fleet.Attempt) {
		t.Helper()
		first := assertCharged(t, assertForwarded(t, h.arrive(true, "")), false)
		second := assertCharged(t, assertForwarded(t, h.fail(first, fleet.Broken, fleet.MayHaveRun)), false)
		return second.Target, assertForwarded(t, h.fail(second, fleet.RetryBudgetSpent, fleet.NotRun))
	}

	t.Run("the target that refused is tried again", func(t *testing.T) {
		h := newHarness()
		healthy, next := refused(t, h)
		again := assertCharged(t, assertForwarded(t, h.refuseAndCharge(next)), true)
		is.New(t).Equal(again.Target, healthy)
		effects := h.succeed(again)
		assertRelayed(t, effects, again.ID)
		line, ok := effects[0].(effect.WriteLog)
		is.New(t).True(ok)
		is.New(t).True(strings.Contains(fmt.Sprint(line.Fields), " borrowed")) // the log shows why the target accepted the attempt
	})
	t.Run("a full target leaves the charge to the next one", func(t *testing.T) {
		h := newHarness()
		_, next := refused(t, h)
		again := assertCharged(t, assertForwarded(t, h.refuseAndCharge(next)), true)
		assertCharged(t, assertForwarded(t, h.refuseAsFull(again, time.Millisecond)), true)
	})
	t.Run("a target that received the request has used the charge", func(t *testing.T) {
		h := newHarness()
		_, next := refused(t, h)
		again := assertCharged(t, assertForwarded(t, h.refuseAndCharge(next)), true)
		assertCharged(t, assertForwarded(t, h.fail(again, fleet.TargetFailed, fleet.MayHaveRun)), false)
	})
	t.Run("a target known to fail is probed for a charge", func(t *testing.T) {
		is := is.New(t)
		h := newHarness()
		failing := fleet.NewTargetID("n5", "t")
		suspect := report(failing, 20*time.Millisecond)
		suspect.Health = fleet.Faulty
		other := assertForwarded(t, h.arrive(true, ""))
		h.finish(other, fleet.Outcome{Status: 200}, fleet.Some(suspect))
		next := assertForwarded(t, h.arrive(true, ""))
		next = assertForwarded(t, h.fail(next, fleet.Broken, fleet.MayHaveRun))
		for range 4 {
			is.True(next.Target != failing)
			next = assertForwarded(t, h.fail(next, fleet.RetryBudgetSpent, fleet.NotRun))
		}
		is.Equal(next.Target, failing)
		is.True(next.Probe)
	})
}
