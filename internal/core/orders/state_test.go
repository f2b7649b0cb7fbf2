package orders

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/fleet"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func order(id fleet.AttemptID, caller fleet.Caller) fleet.Attempt {
	return fleet.Attempt{ID: id, Target: "n/t", Pool: "p", Class: fleet.Order, Caller: caller, Key: "k", Fingerprint: 7}
}

func assertAdmitted(is *is.I, step Decision, id fleet.AttemptID) {
	is.Helper()
	attempt, ok := step.Admit.Get()
	is.True(ok)
	is.Equal(attempt.ID, id)
}

func assertRefused(is *is.I, step Decision, verdict fleet.Verdict) {
	is.Helper()
	_, admitted := step.Admit.Get()
	is.True(!admitted)
	refusal, ok := step.Effects[0].(effect.RefuseAttempt)
	is.True(ok)
	is.Equal(refusal.Problem.Verdict, verdict)
}

// started returns a state in which the claimed order a.1 runs.
func started(is *is.I) State {
	is.Helper()
	s, step := New("n").AttemptArrived(start, order("a.1", "club"))
	is.Equal(step.Effects, []effect.Effect{effect.ClaimOrder{ClaimName: "club/k", Attempt: "a.1"}})
	s, step = s.ClaimFinished(start, "a.1", fleet.ClaimCreated)
	assertAdmitted(is, step, "a.1")
	return s
}

// TestResend guards against an order that runs again when its caller sends it again.
func TestResend(t *testing.T) {
	t.Run("while it runs", func(t *testing.T) {
		is := is.New(t)
		_, step := started(is).AttemptArrived(start, order("b.1", "club"))
		assertRefused(is, step, fleet.MayHaveRun)
	})
	t.Run("while the claim is made", func(t *testing.T) {
		is := is.New(t)
		s, _ := New("n").AttemptArrived(start, order("a.1", "club"))
		_, step := s.AttemptArrived(start, order("b.1", "club"))
		assertRefused(is, step, fleet.MayHaveRun)
	})
	t.Run("after its answer", func(t *testing.T) {
		is := is.New(t)
		s, _ := started(is).RunFinished("a.1", fleet.Outcome{Status: 201})
		_, step := s.AttemptArrived(start, order("b.1", "club"))
		is.Equal(step.Effects, []effect.Effect{effect.ReplayResponse{Attempt: "b.1", Original: "a.1"}})
	})
	t.Run("after an unknown outcome", func(t *testing.T) {
		is := is.New(t)
		broken := fleet.Some(fleet.NewProblem(fleet.Broken, fleet.MayHaveRun, ""))
		s, _ := started(is).RunFinished("a.1", fleet.Outcome{Problem: broken})
		_, step := s.AttemptArrived(start, order("b.1", "club"))
		assertRefused(is, step, fleet.MayHaveRun)
	})
	t.Run("claimed by another home", func(t *testing.T) {
		is := is.New(t)
		s, _ := New("n").AttemptArrived(start, order("a.1", "club"))
		_, step := s.ClaimFinished(start, "a.1", fleet.ClaimExists)
		assertRefused(is, step, fleet.MayHaveRun)
	})
	t.Run("with another body", func(t *testing.T) {
		is := is.New(t)
		other := order("b.1", "club")
		other.Fingerprint = 8
		_, step := started(is).AttemptArrived(start, other)
		assertRefused(is, step, fleet.NotRun)
	})
}

// TestNotRun guards against an order that is lost because its key stays taken although it never started.
func TestNotRun(t *testing.T) {
	t.Run("refused by admission", func(t *testing.T) {
		is := is.New(t)
		s, effects := started(is).AttemptRefused("a.1", fleet.NewProblem(fleet.Overloaded, fleet.NotRun, ""))
		is.Equal(effects, []effect.Effect{effect.ReleaseOrderClaim{ClaimName: "club/k", Attempt: "a.1"}})
		is.Equal(s.Len(), 0)
	})
	t.Run("a late duplicate frees nothing", func(t *testing.T) {
		is := is.New(t)
		s, _ := started(is).AttemptRefused("a.1", fleet.NewProblem(fleet.Duplicate, fleet.NotRun, ""))
		is.Equal(s.Len(), 1)
	})
	t.Run("another caller's key", func(t *testing.T) {
		is := is.New(t)
		_, step := started(is).AttemptArrived(start, order("b.1", "clinic"))
		is.Equal(step.Effects, []effect.Effect{effect.ClaimOrder{ClaimName: "clinic/k", Attempt: "b.1"}})
	})
}

// TestUnclaimed guards against an order that runs on a second home while the platform does not answer, and against a
// platform outage that stops all orders.
func TestUnclaimed(t *testing.T) {
	later := start.Add(Retention)
	// failing returns the state after the claim on an order failed, for a pool that changed from before to after.
	failing := func(now time.Time, before, after []fleet.TargetID) (State, Decision) {
		local := []fleet.Target{{ID: "n/t", Pool: "p"}}
		s, _ := New("n").Tick(start, directory(before), local)
		s, _ = s.Tick(now, directory(after), local)
		s, _ = s.AttemptArrived(now, order("a.1", "club"))
		return s.ClaimFinished(now, "a.1", fleet.ClaimFailed)
	}
	alone := []fleet.TargetID{"n/t"}
	higher := []fleet.TargetID{"n/t", outranking("n/t")}

	t.Run("the settled home runs it", func(t *testing.T) {
		_, step := failing(later, alone, alone)
		assertAdmitted(is.New(t), step, "a.1")
	})
	t.Run("and the next one without asking the platform", func(t *testing.T) {
		s, _ := failing(later, alone, alone)
		_, step := s.AttemptArrived(later, order("b.1", "clinic"))
		assertAdmitted(is.New(t), step, "b.1")
	})
	t.Run("a process that has just started refuses it", func(t *testing.T) {
		_, step := failing(later.Add(-time.Second), alone, alone)
		assertRefused(is.New(t), step, fleet.MayHaveRun)
	})
	t.Run("a target that is not the home refuses it", func(t *testing.T) {
		_, step := failing(later, higher, higher)
		assertRefused(is.New(t), step, fleet.MayHaveRun)
	})
	t.Run("the next home refuses it after the first one was lost", func(t *testing.T) {
		s, step := failing(later, higher, alone)
		assertRefused(is.New(t), step, fleet.MayHaveRun)
		is.New(t).Equal(s.Len(), 0)
	})
}

func directory(targets []fleet.TargetID) fleet.Directory {
	candidates := make([]fleet.Candidate, 0, len(targets))
	for _, id := range targets {
		candidates = append(candidates, fleet.Candidate{Target: fleet.Target{ID: id, Pool: "p"}})
	}
	return fleet.Directory{}.WithPool("p", candidates)
}

// outranking returns a target that is the home of the order's key in preference to another one.
func outranking(other fleet.TargetID) fleet.TargetID {
	for i := 0; ; i++ {
		id := fleet.NewTargetID("m", strconv.Itoa(i))
		if fleet.HomeScore("k", id) > fleet.HomeScore("k", other) {
			return id
		}
	}
}

// TestExpiry guards against keys that are kept for ever, and against the expiry of an order that still runs.
func TestExpiry(t *testing.T) {
	t.Run("an answered order", func(t *testing.T) {
		is := is.New(t)
		s, _ := started(is).RunFinished("a.1", fleet.Outcome{Status: 201})
		s, effects := s.Tick(start.Add(Retention), fleet.Directory{}, nil)
		is.Equal(s.Len(), 0)
		is.Equal(effects, []effect.Effect{effect.ReleaseOrderClaim{ClaimName: "club/k", Attempt: "a.1"}})
	})
	t.Run("a running order", func(t *testing.T) {
		is := is.New(t)
		s, _ := started(is).Tick(start.Add(Retention), fleet.Directory{}, nil)
		is.Equal(s.Len(), 1)
	})
}
