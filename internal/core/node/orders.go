package node

import (
	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/event"
	"jayfold.dev/jayfold/internal/core/orders"
)

// attemptAsked lets an order with an idempotency key pass the orders part before it goes on to admission.
func (s State) attemptAsked(ev event.Event, body event.AdmissionRequested) (State, []effect.Effect) {
	if body.Attempt.Key == "" {
		return s.admissionAsked(ev, body)
	}
	next, step := s.orders.AttemptArrived(ev.At, body.Attempt)
	s.orders = next
	return s.takeOrderStep(ev, step)
}

func (s State) orderClaimed(ev event.Event, body event.OrderClaimFinished) (State, []effect.Effect) {
	next, step := s.orders.ClaimFinished(ev.At, body.Attempt, body.Result)
	s.orders = next
	return s.takeOrderStep(ev, step)
}

func (s State) takeOrderStep(ev event.Event, step orders.Decision) (State, []effect.Effect) {
	attempt, ok := step.Admit.Get()
	if !ok {
		return s, s.completeReports(ev.At, step.Effects)
	}
	s, effects := s.admissionAsked(ev, event.AdmissionRequested{Attempt: attempt})
	return s, append(step.Effects, effects...)
}

// attemptCanceled ends an attempt that waits for its claim, is queued or runs.
func (s State) attemptCanceled(ev event.Event, body event.AdmissionCanceled) (State, []effect.Effect) {
	next, step, waiting := s.orders.AttemptCanceled(body.Attempt)
	if !waiting {
		return s.admissionCanceled(ev, body)
	}
	s.orders = next
	return s.takeOrderStep(ev, step)
}

// runEnded records the outcome of an order before the slot is freed.
func (s State) runEnded(ev event.Event, body event.RunFinished) (State, []effect.Effect) {
	next, released := s.orders.RunFinished(body.Attempt, body.Outcome)
	s.orders = next
	s, effects := s.runFinished(ev, body)
	return s, append(released, effects...)
}

// settleOrders tells the orders part of every attempt that admission refused, whatever the event was.
func (s State) settleOrders(effects []effect.Effect) (State, []effect.Effect) {
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
