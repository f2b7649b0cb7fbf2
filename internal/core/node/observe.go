package node

import (
	"jayfold.dev/jayfold/internal/core/attempt"
	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/event"
	"jayfold.dev/jayfold/internal/core/fleet"
)

// Outcomes of requests and attempts that have an answer. The others are named for the cause of their problem.
const (
	outcomeAnswered = "Answered"
	// outcomeCanceled means that the caller went away.
	outcomeCanceled = "Canceled"
)

// unrouted stands for the service and the class of a request that matches no route.
const unrouted = "none"

// observe adds what is measured of a step: each request and each attempt that ended. The receiver is the state before the step,
// which still has the requests that the step ended. Nothing is measured of steps without a request, so that a step stays cheap.
func (s State) observe(ev event.Event, effects []effect.Effect) []effect.Effect {
	switch body := ev.Body.(type) {
	case event.AttemptFinished:
		// An attempt that was given up is not measured.
		if view, ok := s.attempts.RequestInfo(body.Attempt.Request()); ok {
			effects = append(effects, effect.RecordAttempt{
				MetricLabels: s.ended(view.Pool, view.Class, outcomeOf(body.Outcome)), Duration: body.Outcome.Duration,
			})
		}
	case event.RequestCanceled:
		if view, ok := s.attempts.RequestInfo(body.Request); ok {
			effects = append(effects, s.requestEnded(ev, view, outcomeCanceled))
		}
	case event.RequestArrived, event.RequestTimerFired, event.Tick:
	default:
		return effects
	}
	for _, e := range effects {
		switch e := e.(type) {
		case effect.RelayResponse:
			view, _ := s.attempts.RequestInfo(e.Request)
			effects = append(effects, s.requestEnded(ev, view, outcomeAnswered))
		case effect.RefuseRequest:
			effects = append(effects, s.requestRefused(ev, e))
		}
	}
	return effects
}

// requestRefused measures a refused request, which may have been refused on arrival.
func (s State) requestRefused(ev event.Event, e effect.RefuseRequest) effect.Effect {
	outcome := string(e.Problem.Cause)
	if view, ok := s.attempts.RequestInfo(e.Request); ok {
		return s.requestEnded(ev, view, outcome)
	}
	if arrived, ok := ev.Body.(event.RequestArrived); ok {
		if route, found := s.tables.Router().Match(arrived.Request); found {
			return effect.RecordRequest{MetricLabels: s.ended(route.Pool, route.Class, outcome)}
		}
	}
	return effect.RecordRequest{MetricLabels: effect.MetricLabels{Service: unrouted, Class: unrouted, Outcome: outcome}}
}

// requestEnded measures a request that was in flight.
func (s State) requestEnded(ev event.Event, view attempt.RequestInfo, outcome string) effect.Effect {
	return effect.RecordRequest{
		MetricLabels: s.ended(view.Pool, view.Class, outcome),
		Caller:       view.Caller,
		Duration:     fleet.Some(ev.At.Sub(view.Arrived)),
	}
}

func (s State) ended(pool fleet.PoolName, class fleet.Class, outcome string) effect.MetricLabels {
	return effect.MetricLabels{Service: s.service(pool), Class: class.String(), Outcome: outcome}
}

func outcomeOf(outcome fleet.Outcome) string {
	if problem, failed := outcome.Problem.Get(); failed {
		return string(problem.Cause)
	}
	return outcomeAnswered
}

// service returns the service of a pool.
func (s State) service(name fleet.PoolName) string {
	if service, ok := s.tables.Router().Service(name); ok {
		return service
	}
	return unrouted
}
