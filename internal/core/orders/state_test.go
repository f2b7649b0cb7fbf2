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

func assertAdmitted(is *is.I, decision Decision, id fleet.AttemptID) {
	is.Helper()
	attempt, ok := decision.Admit.Get()
	is.True(ok)
	is.Equal(attempt.ID, id)
}

func assertRefused(is *is.I, decision Decision, verdict fleet.Verdict) {
	is.Helper()
	_, admitted := decision.Admit.Get()
	is.True(!admitted)
	refusal, ok := decision.Effects[0].(effect.RefuseAttempt)
	is.True(ok)
	is.Equal(refusal.Problem.Verdict, verdict)
}

// stateWithRunningOrder returns a state in which the claimed order a.1 is running.
func stateWithRunningOrder(is *is.I) State {
	is.Helper()
	s, decision := New("n").AttemptArrived(start, order("a.1", "club"))
	is.Equal(decision.Effects, []effect.Effect{effect.ClaimOrder{ClaimName: "club/k", Attempt: "a.1"}})
	s, decision = s.ClaimFinished(start, "a.1", fleet.ClaimCreated, false)
	assertAdmitted(is, decision, "a.1")
	return s
}

// TestResend guards against an order that runs twice when its caller sends it again.
func TestResend(t *testing.T) {
	t.Run("while the order runs", func(t *testing.T) {
		is := is.New(t)
		_, decision := stateWithRunningOrder(is).AttemptArrived(start, order("b.1", "club"))
		assertRefused(is, decision, fleet.MayHaveRun)
	})
	t.Run("while the claim is pending", func(t *testing.T) {
		is := is.New(t)
		s, _ := New("n").AttemptArrived(start, order("a.1", "club"))
		_, decision := s.AttemptArrived(start, order("b.1", "club"))
		assertRefused(is, decision, fleet.MayHaveRun)
	})
	t.Run("after the response", func(t *testing.T) {
		is := is.New(t)
		s, _ := stateWithRunningOrder(is).RunFinished("a.1", fleet.Outcome{Status: 201})
		_, decision := s.AttemptArrived(start, order("b.1", "club"))
		is.Equal(decision.Effects, []effect.Effect{effect.ReplayResponse{Attempt: "b.1", Original: "a.1"}})
	})
	t.Run("after the response, by another account", func(t *testing.T) {
		is := is.New(t)
		sent := func(id fleet.AttemptID, account fleet.AccountName) fleet.Attempt {
			attempt := order(id, "club")
			attempt.Account = account
			return attempt
		}
		s, _ := New("n").AttemptArrived(start, sent("a.1", "acme"))
		s, _ = s.ClaimFinished(start, "a.1", fleet.ClaimCreated, false)
		s, _ = s.RunFinished("a.1", fleet.Outcome{Status: 201})
		_, decision := s.AttemptArrived(start, sent("b.1", "zeta"))
		assertRefused(is, decision, fleet.NotRun)
		_, decision = s.AttemptArrived(start, sent("c.1", "acme"))
		is.Equal(decision.Effects, []effect.Effect{effect.ReplayResponse{Attempt: "c.1", Original: "a.1"}})
	})
	t.Run("after an unknown outcome", func(t *testing.T) {
		is := is.New(t)
		broken := fleet.Some(fleet.NewProblem(fleet.Broken, fleet.MayHaveRun, ""))
		s, _ := stateWithRunningOrder(is).RunFinished("a.1", fleet.Outcome{Problem: broken})
		_, decision := s.AttemptArrived(start, order("b.1", "club"))
		assertRefused(is, decision, fleet.MayHaveRun)
	})
	t.Run("claimed by another node", func(t *testing.T) {
		is := is.New(t)
		s, _ := New("n").AttemptArrived(start, order("a.1", "club"))
		_, decision := s.ClaimFinished(start, "a.1", fleet.ClaimExists, false)
		assertRefused(is, decision, fleet.MayHaveRun)
	})
	t.Run("with another body", func(t *testing.T) {
		is := is.New(t)
		other := order("b.1", "club")
		other.Fingerprint = 8
		_, decision := stateWithRunningOrder(is).AttemptArrived(start, other)
		assertRefused(is, decision, fleet.NotRun)
	})
}

// TestNotRun guards against an order that can never run because its key stays in use although the order has not run.
func TestNotRun(t *testing.T) {
	t.Run("refused by admission", func(t *testing.T) {
		is := is.New(t)
		s, effects := stateWithRunningOrder(is).AttemptRefused("a.1", fleet.NewProblem(fleet.Overloaded, fleet.NotRun, ""))
		is.Equal(effects, []effect.Effect{effect.ReleaseOrderClaim{ClaimName: "club/k", Attempt: "a.1"}})
		is.Equal(s.Len(), 0)
	})
	t.Run("duplicate refused by admission", func(t *testing.T) {
		is := is.New(t)
		s, _ := stateWithRunningOrder(is).AttemptRefused("a.1", fleet.NewProblem(fleet.Duplicate, fleet.NotRun, ""))
		is.Equal(s.Len(), 1)
	})
	t.Run("same key of another caller", func(t *testing.T) {
		is := is.New(t)
		_, decision := stateWithRunningOrder(is).AttemptArrived(start, order("b.1", "clinic"))
		is.Equal(decision.Effects, []effect.Effect{effect.ClaimOrder{ClaimName: "clinic/k", Attempt: "b.1"}})
	})
}

// TestUnclaimed guards against an order that runs on a second home target during a platform outage, and against an outage that
// stops all orders.
func TestUnclaimed(t *testing.T) {
	later := start.Add(Retention)
	// claimFailed returns the state after a failed claim, for a pool whose targets changed from before to after.
	claimFailed := func(now time.Time, before, after []fleet.TargetID) (State, Decision) {
		local := []fleet.Target{{ID: "n/t", Pool: "p"}}
		s, _ := New("n").Tick(start, directory(before), local)
		s, _ = s.Tick(now, directory(after), local)
		s, _ = s.AttemptArrived(now, order("a.1", "club"))
		return s.ClaimFinished(now, "a.1", fleet.ClaimFailed, false)
	}
	alone := []fleet.TargetID{"n/t"}
	withHigherScore := []fleet.TargetID{"n/t", targetScoringAbove("n/t")}

	t.Run("home present for Retention runs the order", func(t *testing.T) {
		_, decision := claimFailed(later, alone, alone)
		assertAdmitted(is.New(t), decision, "a.1")
	})
	t.Run("next order needs no claim", func(t *testing.T) {
		s, _ := claimFailed(later, alone, alone)
		_, decision := s.AttemptArrived(later, order("b.1", "clinic"))
		assertAdmitted(is.New(t), decision, "b.1")
	})
	t.Run("node started too recently", func(t *testing.T) {
		_, decision := claimFailed(later.Add(-time.Second), alone, alone)
		assertRefused(is.New(t), decision, fleet.MayHaveRun)
	})
	t.Run("target is not the home", func(t *testing.T) {
		_, decision := claimFailed(later, withHigherScore, withHigherScore)
		assertRefused(is.New(t), decision, fleet.MayHaveRun)
	})
	t.Run("previous home has left", func(t *testing.T) {
		s, decision := claimFailed(later, withHigherScore, alone)
		assertRefused(is.New(t), decision, fleet.MayHaveRun)
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

// targetScoringAbove returns a target with a higher home score for the order's key than other.
func targetScoringAbove(other fleet.TargetID) fleet.TargetID {
	for i := 0; ; i++ {
		id := fleet.NewTargetID("m", strconv.Itoa(i))
		if fleet.HomeScore("k", id) > fleet.HomeScore("k", other) {
			return id
		}
	}
}

// TestExpiry guards against keys that never expire, and against the expiry of an order that is still running.
func TestExpiry(t *testing.T) {
	t.Run("completed order", func(t *testing.T) {
		is := is.New(t)
		s, _ := stateWithRunningOrder(is).RunFinished("a.1", fleet.Outcome{Status: 201})
		s, effects := s.Tick(start.Add(Retention), fleet.Directory{}, nil)
		is.Equal(s.Len(), 0)
		is.Equal(effects, []effect.Effect{effect.ReleaseOrderClaim{ClaimName: "club/k", Attempt: "a.1"}})
	})
	t.Run("running order", func(t *testing.T) {
		is := is.New(t)
		s, _ := stateWithRunningOrder(is).Tick(start.Add(Retention), fleet.Directory{}, nil)
		is.Equal(s.Len(), 1)
	})
}
