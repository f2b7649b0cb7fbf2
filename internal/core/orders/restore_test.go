package orders

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/fleet"
)

// claims returns the names of the claims that the effects write.
func claims(effects []effect.Effect) []string {
	var names []string
	for _, e := range effects {
		if e, ok := e.(effect.ClaimOrder); ok {
			names = append(names, e.ClaimName)
		}
	}
	return names
}

// TestLostClaimIsWrittenAgain guards against an order that runs a second time on a new home target, since the platform has lost the claim of
// the first run.
func TestLostClaimIsWrittenAgain(t *testing.T) {
	// restored returns a state with a claimed order, after the platform has been restored from a copy, and the effects of the next tick.
	restored := func(is *is.I) (State, []effect.Effect) {
		s, count := stateWithRunningOrder(is).EpochChanged(start, 540)
		is.Equal(count, 1)
		s, effects := s.Tick(start.Add(time.Second), fleet.Directory{}, nil)
		is.Equal(len(claims(effects)), 0) // the member records come first
		return s.Tick(start.Add(3*time.Second), fleet.Directory{}, nil)
	}
	t.Run("once", func(t *testing.T) {
		is := is.New(t)
		s, effects := restored(is)
		is.Equal(claims(effects), []string{"club/k"})
		s, decision := s.ClaimFinished(start, "a.1", fleet.ClaimCreated, false)
		is.Equal(len(decision.Effects), 0)
		_, effects = s.Tick(start.Add(time.Minute), fleet.Directory{}, nil)
		is.Equal(len(claims(effects)), 0)
	})
	for name, result := range map[string]struct {
		result fleet.ClaimResult
		lost   bool
	}{
		"again after a failure": {result: fleet.ClaimFailed}, "again after a second restoration": {result: fleet.ClaimCreated, lost: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s, _ := restored(is)
			s, _ = s.ClaimFinished(start, "a.1", result.result, result.lost)
			_, effects := s.Tick(start.Add(time.Minute), fleet.Directory{}, nil)
			is.Equal(claims(effects), []string{"club/k"})
		})
	}
	t.Run("a claim of another node is reported", func(t *testing.T) {
		is := is.New(t)
		s, _ := restored(is)
		_, decision := s.ClaimFinished(start, "a.1", fleet.ClaimExists, false)
		line, ok := decision.Effects[0].(effect.WriteLog)
		is.True(ok)
		is.Equal(line.Level, effect.Error)
	})
	t.Run("the order that was sent last first", func(t *testing.T) {
		is := is.New(t)
		s := stateWithRunningOrder(is)
		s, _ = s.AttemptArrived(start.Add(time.Second), order("b.1", "clinic"))
		s, _ = s.ClaimFinished(start, "b.1", fleet.ClaimCreated, false)
		s, _ = s.EpochChanged(start, 540)
		s, first := s.Tick(start.Add(2*time.Second), fleet.Directory{}, nil)
		s, tooEarly := s.Tick(start.Add(4*time.Second), fleet.Directory{}, nil)
		_, second := s.Tick(start.Add(5*time.Second), fleet.Directory{}, nil)
		is.Equal(claims(first), []string{"clinic/k"})
		is.Equal(len(claims(tooEarly)), 0) // a large fleet spreads its claims
		is.Equal(claims(second), []string{"club/k"})
	})
}

// TestClaimAfterRestoration guards against an order that runs because it could be claimed, although the platform may have lost that of an earlier
// run, and against a restoration that stops all orders.
func TestClaimAfterRestoration(t *testing.T) {
	local := []fleet.Target{{ID: "n/t", Pool: "p"}}
	// claimed returns the decision on an order that is claimed at a time after the start of the process. The pool has had a second target,
	// which has left, or none.
	claimed := func(restored, at time.Duration, before []fleet.TargetID, lost bool) (State, Decision) {
		s, _ := New("n").Tick(start, directory(before), local)
		s, _ = s.Tick(start.Add(restored), directory([]fleet.TargetID{"n/t"}), local)
		s, _ = s.EpochChanged(start.Add(restored), 1)
		s, _ = s.AttemptArrived(start.Add(at), order("a.1", "club"))
		return s.ClaimFinished(start.Add(at), "a.1", fleet.ClaimCreated, lost)
	}
	alone, after := []fleet.TargetID{"n/t"}, Retention+time.Minute
	withHigherScore := []fleet.TargetID{"n/t", targetScoringAbove("n/t")}
	t.Run("another target may have run it", func(t *testing.T) {
		is := is.New(t)
		s, decision := claimed(after, after+time.Second, withHigherScore, false)
		assertRefused(is, decision, fleet.MayHaveRun)
		is.Equal(decision.Effects[1], effect.ReleaseOrderClaim{ClaimName: "club/k", Attempt: "a.1"})
		is.Equal(s.Len(), 0)
	})
	t.Run("the target is new", func(t *testing.T) {
		_, decision := claimed(time.Minute, 2*time.Minute, alone, false)
		assertRefused(is.New(t), decision, fleet.MayHaveRun)
	})
	t.Run("no other target can have run it", func(t *testing.T) {
		_, decision := claimed(after, after+time.Second, alone, false)
		assertAdmitted(is.New(t), decision, "a.1")
	})
	t.Run("after the retention", func(t *testing.T) {
		_, decision := claimed(time.Minute, time.Minute+Retention, alone, false)
		assertAdmitted(is.New(t), decision, "a.1")
	})
	t.Run("a claim of the epoch before is written again", func(t *testing.T) {
		is := is.New(t)
		s, decision := claimed(after, after+time.Second, alone, true)
		assertAdmitted(is, decision, "a.1")
		_, effects := s.Tick(start.Add(after+2*time.Second), fleet.Directory{}, nil)
		is.Equal(claims(effects), []string{"club/k"})
	})
}
