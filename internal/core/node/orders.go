package node

import (
	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/event"
	"jayfold.dev/jayfold/internal/core/orders"
)

// admissionRequested lets the orders component decide about an attempt with an idempotency key before admission does.
func (s State) admissionRequested(ev event.Event, body event.AdmissionRequested) (State, []effect.Effect) {
	if body.Attempt.Key == "" {
		return s.decideAdmission(ev, body)
	}
	next, decision := s.orders.AttemptArrived(ev.At, body.Attempt)
	s.orders = next
	return s.applyOrderDecision(ev, decision)
}

func (s State) orderClaimFinished(ev event.Event, body event.OrderClaimFinished) (State, []effect.Effect) {
	next, decision := s.orders.ClaimFinished(ev.At, body.Attempt, body.Result, s.epoch.Current().Differs(body.Epoch))
	s.orders = next
	return s.applyOrderDecision(ev, decision)
}

func (s State) applyOrderDecision(ev event.Event, decision orders.Decision) (State, []effect.Effect) {
	attempt, ok := decision.Admit.Get()
	if !ok {
		return s, s.completeReports(ev.At, decision.Effects)
	}
	s, effects := s.decideAdmission(ev, event.AdmissionRequested{Attempt: attempt})
	return s, append(decision.Effects, effects...)
}

// admissionCanceled cancels an attempt that waits for its order claim, is queued or runs.
func (s State) admissionCanceled(ev event.Event, body event.AdmissionCanceled) (State, []effect.Effect) {
	next, decision, waiting := s.orders.AttemptCanceled(body.Attempt)
	if !waiting {
		return s.cancelAdmission(ev, body)
	}
	s.orders = next
	return s.applyOrderDecision(ev, decision)
}

// runFinished records the outcome of an order before the run's slot is freed.
func (s State) runFinished(ev event.Event, body event.RunFinished) (State, []effect.Effect) {
	next, released := s.orders.RunFinished(body.Attempt, body.Outcome)
	s.orders = next
	s, effects := s.finishRun(ev, body)
	return s, append(released, effects...)
}

// recordRefusedOrders informs the orders component about every attempt that admission refused in a step.
func (s State) recordRefusedOrders(effects []effect.Effect) (State, []effect.Effect) {
	if s.orders.Len() == 0 {
		return s, effects
	}
	for _, e := range effects {
		refusal, ok := e.(effect.RefuseAttempt)
		if !ok {
			continue
		}
		next, released := s.orders.AttemptRefused(refusal.Attempt, refusal.Problem)
		s.orders = next
		effects = append(effects, released...)
	}
	return s, effects
}
