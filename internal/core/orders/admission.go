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
		return s.newOrder(now, name, attempt)
	}
	if known.state == running && known.attempt.ID == attempt.ID {
		return s, admit(attempt)
	}
	if known.fingerprint != attempt.Fingerprint {
		return s, refuse(attempt, fleet.NotRun, "the idempotency key is in use by another order")
	}
	known.lastSent = now
	s = s.withRecord(name, known)
	switch known.state {
	case completed:
		return s, execute(effect.ReplayResponse{Attempt: attempt.ID, Original: known.attempt.ID})
	case claiming, running:
		return s, refuse(attempt, fleet.MayHaveRun, "the order is being run")
	default:
		return s, refuse(attempt, fleet.MayHaveRun, "the order may have run; its outcome is not known")
	}
}

// newOrder starts an order that this sidecar has not seen: with a claim while the budget lasts, and without one otherwise.
func (s State) newOrder(now time.Time, name string, attempt fleet.Attempt) (State, Decision) {
	if s.records.Len() >= maxRecords {
		return s, refuse(attempt, fleet.NotRun, "too many idempotency keys are in use")
	}
	r := record{attempt: attempt, fingerprint: attempt.Fingerprint, lastSent: now}
	left, allowed := s.budget.take(now)
	s.budget = left
	if !allowed {
		return s.admitUnclaimed(now, name, r)
	}
	r.state = claiming
	s.pendingClaims = s.pendingClaims.With(attempt.ID, name)
	return s.withRecord(name, r), execute(effect.ClaimOrder{ClaimName: name, Attempt: attempt.ID})
}

func (s State) admitOrder(name string, r record, attempt fleet.Attempt) (State, Decision) {
	r.state = running
	r.attempt = attempt
	s.admitted = s.admitted.With(attempt.ID, name)
	return s.withRecord(name, r), admit(attempt)
}

// ClaimFinished takes in the platform's answer to a claim.
func (s State) ClaimFinished(now time.Time, id fleet.AttemptID, result fleet.ClaimResult) (State, Decision) {
	name, ok := s.pendingClaims.Get(id)
	if !ok {
		return s, Decision{}
	}
	s.pendingClaims = s.pendingClaims.Without(id)
	r, _ := s.records.Get(name)
	switch result {
	case fleet.ClaimCreated:
		r.claimed = true
		return s.admitOrder(name, r, r.attempt)
	case fleet.ClaimExists:
		r.state = unknown
		return s.withRecord(name, r), refuse(r.attempt, fleet.MayHaveRun, "the order was sent to another node before")
	default:
		s.budget = s.budget.paused(now)
		return s.admitUnclaimed(now, name, r)
	}
}

// admitUnclaimed starts an order without a claim when no other target can have run it, and refuses it otherwise. It is
// forgotten then, since it did not run here.
func (s State) admitUnclaimed(now time.Time, name string, r record) (State, Decision) {
	v, _ := s.pools.Get(r.attempt.Pool)
	if v.isOnlyHome(now, r.attempt) {
		return s.admitOrder(name, r, r.attempt)
	}
	s.records = s.records.Without(name)
	return s, refuse(r.attempt, fleet.MayHaveRun, "the platform does not answer, and another target may have run the order")
}

// AttemptCanceled ends an attempt that still waits for its claim. It reports whether there was one.
func (s State) AttemptCanceled(id fleet.AttemptID) (State, Decision, bool) {
	name, ok := s.pendingClaims.Get(id)
	if !ok {
		return s, Decision{}, false
	}
	r, _ := s.records.Get(name)
	s.pendingClaims = s.pendingClaims.Without(id)
	s.records = s.records.Without(name)
	problem := fleet.NewProblem(fleet.Canceled, fleet.NotRun, "the order was canceled before it started")
	return s, execute(refusal(r.attempt, problem), effect.ReleaseOrderClaim{ClaimName: name, Attempt: id}), true
}

// AttemptRefused takes in that admission refused an attempt before it started, so that the order may be sent again.
func (s State) AttemptRefused(id fleet.AttemptID, problem fleet.Problem) (State, []effect.Effect) {
	if problem.Verdict != fleet.NotRun || problem.Cause == fleet.Duplicate {
		return s, nil
	}
	return s.orderEnded(id, notRun)
}

// RunFinished takes in how a started attempt ended.
func (s State) RunFinished(id fleet.AttemptID, outcome fleet.Outcome) (State, []effect.Effect) {
	switch outcome.Verdict() {
	case fleet.NotRun:
		return s.orderEnded(id, notRun)
	case fleet.Ran:
		return s.orderEnded(id, completed)
	default:
		return s.orderEnded(id, unknown)
	}
}

// orderEnded moves a running order to another phase. An order that did not run is forgotten and gives its claim back, so that
// another home may run it.
func (s State) orderEnded(id fleet.AttemptID, next orderState) (State, []effect.Effect) {
	name, ok := s.admitted.Get(id)
	if !ok {
		return s, nil
	}
	s.admitted = s.admitted.Without(id)
	r, _ := s.records.Get(name)
	if next != notRun {
		r.state = next
		return s.withRecord(name, r), nil
	}
	s.records = s.records.Without(name)
	if !r.claimed {
		return s, nil
	}
	return s, []effect.Effect{effect.ReleaseOrderClaim{ClaimName: name, Attempt: id}}
}

func refuse(attempt fleet.Attempt, verdict fleet.Verdict, detail string) Decision {
	return execute(refusal(attempt, fleet.NewProblem(fleet.KeyConflict, verdict, detail)))
}

func refusal(attempt fleet.Attempt, problem fleet.Problem) effect.Effect {
	return effect.RefuseAttempt{
		Attempt: attempt.ID,
		Problem: problem,
		Report:  fleet.TargetReport{Target: attempt.Target, Class: attempt.Class},
	}
}
