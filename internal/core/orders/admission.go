package orders

import (
	"time"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/fleet"
)

// AttemptArrived decides on a keyed attempt that came from an ingress. Admission itself refuses an attempt that it has seen.
func (s State) AttemptArrived(now time.Time, attempt fleet.Attempt) (State, Decision) {
	name := ClaimName(attempt)
	known, ok := s.records.Get(name)
	if !ok {
		return s.first(now, name, attempt)
	}
	if known.phase == running && known.attempt.ID == attempt.ID {
		return s, admit(attempt)
	}
	if known.fingerprint != attempt.Fingerprint {
		return s, refuse(attempt, fleet.NotRun, "the idempotency key is in use by another order")
	}
	known.used = now
	s = s.withRecord(name, known)
	switch known.phase {
	case answered:
		return s, act(effect.ReplayResponse{Attempt: attempt.ID, Original: known.attempt.ID})
	case claiming, running:
		return s, refuse(attempt, fleet.MayHaveRun, "the order is being run")
	default:
		return s, refuse(attempt, fleet.MayHaveRun, "the order may have run; its outcome is not known")
	}
}

// first starts an order that this sidecar has not seen: with a claim while the budget lasts, and without one otherwise.
func (s State) first(now time.Time, name string, attempt fleet.Attempt) (State, Decision) {
	if s.records.Len() >= maxRecords {
		return s, refuse(attempt, fleet.NotRun, "too many idempotency keys are in use")
	}
	r := record{attempt: attempt, fingerprint: attempt.Fingerprint, used: now}
	left, allowed := s.budget.take(now)
	s.budget = left
	if !allowed {
		return s.unclaimed(now, name, r)
	}
	r.phase = claiming
	s.waiting = s.waiting.With(attempt.ID, name)
	return s.withRecord(name, r), act(effect.ClaimOrder{ClaimName: name, Attempt: attempt.ID})
}

func (s State) start(name string, r record, attempt fleet.Attempt) (State, Decision) {
	r.phase = running
	r.attempt = attempt
	s.started = s.started.With(attempt.ID, name)
	return s.withRecord(name, r), admit(attempt)
}

// ClaimFinished takes in the platform's answer to a claim.
func (s State) ClaimFinished(now time.Time, id fleet.AttemptID, result fleet.ClaimResult) (State, Decision) {
	name, ok := s.waiting.Get(id)
	if !ok {
		return s, Decision{}
	}
	s.waiting = s.waiting.Without(id)
	r, _ := s.records.Get(name)
	switch result {
	case fleet.ClaimCreated:
		r.claimed = true
		return s.start(name, r, r.attempt)
	case fleet.ClaimExists:
		r.phase = unknown
		return s.withRecord(name, r), refuse(r.attempt, fleet.MayHaveRun, "the order was sent to another node before")
	default:
		s.budget = s.budget.failed(now)
		return s.unclaimed(now, name, r)
	}
}

// unclaimed starts an order without a claim when no other target can have run it, and refuses it otherwise. It is
// forgotten then, since it did not run here.
func (s State) unclaimed(now time.Time, name string, r record) (State, Decision) {
	v, _ := s.pools.Get(r.attempt.Pool)
	if v.settled(now, r.attempt) {
		return s.start(name, r, r.attempt)
	}
	s.records = s.records.Without(name)
	return s, refuse(r.attempt, fleet.MayHaveRun, "the platform does not answer, and another target may have run the order")
}

// AttemptCanceled ends an attempt that still waits for its claim. It reports whether there was one.
func (s State) AttemptCanceled(id fleet.AttemptID) (State, Decision, bool) {
	name, ok := s.waiting.Get(id)
	if !ok {
		return s, Decision{}, false
	}
	r, _ := s.records.Get(name)
	s.waiting = s.waiting.Without(id)
	s.records = s.records.Without(name)
	problem := fleet.NewProblem(fleet.Canceled, fleet.NotRun, "the order was canceled before it started")
	return s, act(refusal(r.attempt, problem), effect.ReleaseOrderClaim{ClaimName: name, Attempt: id}), true
}

// AttemptRefused takes in that admission refused an attempt before it started, so that the order may be sent again.
func (s State) AttemptRefused(id fleet.AttemptID, problem fleet.Problem) (State, []effect.Effect) {
	if problem.Verdict != fleet.NotRun || problem.Cause == fleet.Duplicate {
		return s, nil
	}
	return s.ended(id, free)
}

// RunFinished takes in how a started attempt ended.
func (s State) RunFinished(id fleet.AttemptID, outcome fleet.Outcome) (State, []effect.Effect) {
	switch outcome.Verdict() {
	case fleet.NotRun:
		return s.ended(id, free)
	case fleet.Ran:
		return s.ended(id, answered)
	default:
		return s.ended(id, unknown)
	}
}

// ended moves a running order to another phase. An order that did not run is forgotten and gives its claim back, so that
// another home may run it.
func (s State) ended(id fleet.AttemptID, next phase) (State, []effect.Effect) {
	name, ok := s.started.Get(id)
	if !ok {
		return s, nil
	}
	s.started = s.started.Without(id)
	r, _ := s.records.Get(name)
	if next != free {
		r.phase = next
		return s.withRecord(name, r), nil
	}
	s.records = s.records.Without(name)
	if !r.claimed {
		return s, nil
	}
	return s, []effect.Effect{effect.ReleaseOrderClaim{ClaimName: name, Attempt: id}}
}

func refuse(attempt fleet.Attempt, verdict fleet.Verdict, detail string) Decision {
	return act(refusal(attempt, fleet.NewProblem(fleet.KeyConflict, verdict, detail)))
}

func refusal(attempt fleet.Attempt, problem fleet.Problem) effect.Effect {
	return effect.RefuseAttempt{
		Attempt: attempt.ID,
		Problem: problem,
		Report:  fleet.TargetReport{Target: attempt.Target, Class: attempt.Class},
	}
}
