package orders

import (
	"slices"
	"time"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/fleet"
)

// AttemptArrived decides what to do with an attempt that has an idempotency key. Duplicates of a running attempt are passed on to
// admission, which refuses them.
func (s State) AttemptArrived(now time.Time, attempt fleet.Attempt) (State, Decision) {
	name := ClaimName(attempt)
	known, ok := s.records.Get(name)
	if !ok {
		return s.newOrder(now, name, attempt)
	}
	if known.state == running && known.attempt.ID == attempt.ID {
		return s, admit(attempt)
	}
	if known.fingerprint != attempt.Fingerprint || known.belongsToOther(attempt.Account) {
		return s, refuse(attempt, fleet.NotRun, "another order uses the idempotency key")
	}
	known.lastSent = now
	s = s.withRecord(name, known)
	switch known.state {
	case completed:
		return s, effectsOnly(effect.ReplayResponse{Attempt: attempt.ID, Original: known.attempt.ID})
	case claiming, running:
		return s, refuse(attempt, fleet.MayHaveRun, "the order is already running")
	default:
		return s, refuse(attempt, fleet.MayHaveRun, "the order may have run; its outcome is unknown")
	}
}

// newOrder records an order and claims it if the claim budget allows. Otherwise it tries to run the order without a claim.
func (s State) newOrder(now time.Time, name string, attempt fleet.Attempt) (State, Decision) {
	if s.records.Len() >= maxRecords {
		return s, refuse(attempt, fleet.NotRun, "too many idempotency keys are in use")
	}
	r := record{attempt: attempt, fingerprint: attempt.Fingerprint, lastSent: now}
	budget, allowed := s.budget.take(now)
	s.budget = budget
	if !allowed {
		return s.admitUnclaimed(now, name, r)
	}
	r.state = claiming
	s.pendingClaims = s.pendingClaims.With(attempt.ID, name)
	return s.withRecord(name, r), effectsOnly(effect.ClaimOrder{ClaimName: name, Attempt: attempt.ID})
}

func (s State) admitOrder(name string, r record, attempt fleet.Attempt) (State, Decision) {
	r.state = running
	r.attempt = attempt
	s.admitted = s.admitted.With(attempt.ID, name)
	return s.withRecord(name, r), admit(attempt)
}

// ClaimFinished continues with an order after the result of its claim. lost is true if the platform has been restored from an older copy since the
// result.
func (s State) ClaimFinished(now time.Time, id fleet.AttemptID, result fleet.ClaimResult, lost bool) (State, Decision) {
	name, ok := s.pendingClaims.Get(id)
	if !ok {
		s, effects := s.rewriteFinished(id, result, lost)
		return s, effectsOnly(effects...)
	}
	s.pendingClaims = s.pendingClaims.Without(id)
	r, _ := s.records.Get(name)
	switch result {
	case fleet.ClaimCreated:
		if !s.claimProvesFirstRun(now, r.attempt) {
			s.records = s.records.Without(name)
			refused := refuse(r.attempt, fleet.MayHaveRun, "the platform has lost claims, and another target may have run the order")
			refused.Effects = append(refused.Effects, effect.ReleaseOrderClaim{ClaimName: name, Attempt: id})
			return s, refused
		}
		r.claimed = true
		if lost {
			s.lost.names = append(slices.Clip(s.lost.names), name)
		}
		return s.admitOrder(name, r, r.attempt)
	case fleet.ClaimExists:
		r.state = unknown
		return s.withRecord(name, r), refuse(r.attempt, fleet.MayHaveRun, "the order has been sent to another node before")
	default:
		s.budget = s.budget.paused(now)
		return s.admitUnclaimed(now, name, r)
	}
}

// admitUnclaimed passes an order without a claim on to admission if no other target can have run it. Otherwise it refuses the
// order and drops its record, since the order has not run here.
func (s State) admitUnclaimed(now time.Time, name string, r record) (State, Decision) {
	history, _ := s.pools.Get(r.attempt.Pool)
	if history.isOnlyHome(now, r.attempt) {
		return s.admitOrder(name, r, r.attempt)
	}
	s.records = s.records.Without(name)
	return s, refuse(r.attempt, fleet.MayHaveRun, "the order cannot be claimed on the platform, and another target may have run it")
}

// AttemptCanceled cancels an attempt that waits for the result of its claim. It reports whether there was such an attempt.
func (s State) AttemptCanceled(id fleet.AttemptID) (State, Decision, bool) {
	name, ok := s.pendingClaims.Get(id)
	if !ok {
		return s, Decision{}, false
	}
	r, _ := s.records.Get(name)
	s.pendingClaims = s.pendingClaims.Without(id)
	s.records = s.records.Without(name)
	problem := fleet.NewProblem(fleet.Canceled, fleet.NotRun, "the order was canceled before it started")
	return s, effectsOnly(refusal(r.attempt, problem), effect.ReleaseOrderClaim{ClaimName: name, Attempt: id}), true
}

// AttemptRefused drops the record of an order that admission refused before it started, so that the order can be sent again.
func (s State) AttemptRefused(id fleet.AttemptID, problem fleet.Problem) (State, []effect.Effect) {
	if problem.Verdict != fleet.NotRun || problem.Cause == fleet.Duplicate {
		return s, nil
	}
	return s.orderEnded(id, notRun)
}

// RunFinished records the outcome of a run.
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

// orderEnded sets the state of an order that has ended. If the order has not run, its record is dropped and its claim released,
// so that another home target can run the order.
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
	return effectsOnly(refusal(attempt, fleet.NewProblem(fleet.KeyConflict, verdict, detail)))
}

func refusal(attempt fleet.Attempt, problem fleet.Problem) effect.Effect {
	return effect.RefuseAttempt{
		Attempt: attempt.ID,
		Problem: problem,
		Report:  fleet.TargetReport{Target: attempt.Target, Class: attempt.Class},
	}
}

// belongsToOther reports whether an order was sent by another account, which must not get its response. An order from before the tables
// had accounts has none.
func (r record) belongsToOther(account fleet.AccountName) bool {
	return r.attempt.Account != "" && account != "" && r.attempt.Account != account
}
