package orders

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/fleet"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func order(id fleet.AttemptID, caller fleet.Caller) fleet.Attempt {
	return fleet.Attempt{ID: id, Target: "n/t", Class: fleet.Order, Caller: caller, Key: "k", Fingerprint: 7}
}

func assertAdmitted(is *is.I, step Step, id fleet.AttemptID) {
	is.Helper()
	attempt, ok := step.Admit.Get()
	is.True(ok)
	is.Equal(attempt.ID, id)
}

func assertRefused(is *is.I, step Step, verdict fleet.Verdict) {
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
	s, step := New("n").Asked(start, order("a.1", "club"))
	is.Equal(step.Effects, []effect.Effect{effect.ClaimOrder{Name: "club/k", Attempt: "a.1"}})
	s, step = s.Claimed(start, "a.1", fleet.ClaimCreated)
	assertAdmitted(is, step, "a.1")
	return s
}

// TestResend guards against an order that runs again when its caller sends it again.
func TestResend(t *testing.T) {
	t.Run("while it runs", func(t *testing.T) {
		is := is.New(t)
		_, step := started(is).Asked(start, order("b.1", "club"))
		assertRefused(is, step, fleet.MayHaveRun)
	})
	t.Run("while the claim is made", func(t *testing.T) {
		is := is.New(t)
		s, _ := New("n").Asked(start, order("a.1", "club"))
		_, step := s.Asked(start, order("b.1", "club"))
		assertRefused(is, step, fleet.MayHaveRun)
	})
	t.Run("after its answer", func(t *testing.T) {
		is := is.New(t)
		s, _ := started(is).Finished("a.1", fleet.Outcome{Status: 201})
		_, step := s.Asked(start, order("b.1", "club"))
		is.Equal(step.Effects, []effect.Effect{effect.Replay{Attempt: "b.1", Of: "a.1"}})
	})
	t.Run("after an unknown outcome", func(t *testing.T) {
		is := is.New(t)
		broken := fleet.Some(fleet.NewProblem(fleet.Broken, fleet.MayHaveRun, ""))
		s, _ := started(is).Finished("a.1", fleet.Outcome{Problem: broken})
		_, step := s.Asked(start, order("b.1", "club"))
		assertRefused(is, step, fleet.MayHaveRun)
	})
	t.Run("claimed by another home", func(t *testing.T) {
		is := is.New(t)
		s, _ := New("n").Asked(start, order("a.1", "club"))
		_, step := s.Claimed(start, "a.1", fleet.ClaimExists)
		assertRefused(is, step, fleet.MayHaveRun)
	})
	t.Run("with another body", func(t *testing.T) {
		is := is.New(t)
		other := order("b.1", "club")
		other.Fingerprint = 8
		_, step := started(is).Asked(start, other)
		assertRefused(is, step, fleet.NotRun)
	})
}

// TestNotRun guards against an order that is lost because its key stays taken although it never started.
func TestNotRun(t *testing.T) {
	t.Run("refused by admission", func(t *testing.T) {
		is := is.New(t)
		s, effects := started(is).Refused("a.1", fleet.NewProblem(fleet.Overloaded, fleet.NotRun, ""))
		is.Equal(effects, []effect.Effect{effect.ReleaseOrder{Name: "club/k", Attempt: "a.1"}})
		is.Equal(s.Len(), 0)
	})
	t.Run("a late duplicate frees nothing", func(t *testing.T) {
		is := is.New(t)
		s, _ := started(is).Refused("a.1", fleet.NewProblem(fleet.Duplicate, fleet.NotRun, ""))
		is.Equal(s.Len(), 1)
	})
	t.Run("another caller's key", func(t *testing.T) {
		is := is.New(t)
		_, step := started(is).Asked(start, order("b.1", "clinic"))
		is.Equal(step.Effects, []effect.Effect{effect.ClaimOrder{Name: "clinic/k", Attempt: "b.1"}})
	})
	t.Run("platform outage", func(t *testing.T) {
		is := is.New(t)
		s, _ := New("n").Asked(start, order("a.1", "club"))
		s, step := s.Claimed(start, "a.1", fleet.ClaimFailed)
		assertAdmitted(is, step, "a.1")
		_, step = s.Asked(start, order("b.1", "clinic"))
		assertAdmitted(is, step, "b.1")
	})
}

// TestExpiry guards against keys that are kept for ever, and against the expiry of an order that still runs.
func TestExpiry(t *testing.T) {
	t.Run("an answered order", func(t *testing.T) {
		is := is.New(t)
		s, _ := started(is).Finished("a.1", fleet.Outcome{Status: 201})
		s, effects := s.Tick(start.Add(Retention))
		is.Equal(s.Len(), 0)
		is.Equal(effects, []effect.Effect{effect.ReleaseOrder{Name: "club/k", Attempt: "a.1"}})
	})
	t.Run("a running order", func(t *testing.T) {
		is := is.New(t)
		s, _ := started(is).Tick(start.Add(Retention))
		is.Equal(s.Len(), 1)
	})
}
