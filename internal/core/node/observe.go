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

// observe adds what is measured of a step: each request that ended, by service, class and outcome, with its duration by
// service, class and caller, and each attempt that ended. The receiver is the state before the step, which still has the
// requests that the step ended. Nothing is measured of steps without a request, so that a step stays cheap.
func (s State) observe(ev event.Event, effects []effect.Effect) []effect.Effect {
	switch body := ev.Body.(type) {
	case event.AttemptFinished:
		effects = append(effects, s.attemptMeasured(body)...)
	case event.RequestCanceled:
		if view, ok := s.attempts.Observed(body.Request); ok {
			effects = append(effects, s.requestMeasured(ev, view, outcomeCanceled)...)
		}
	case event.RequestArrived, event.Tick:
	default:
		return effects
	}
	for _, e := range effects {
		switch e := e.(type) {
		case effect.Answer:
			view, _ := s.attempts.Observed(e.Request)
			effects = append(effects, s.requestMeasured(ev, view, outcomeAnswered)...)
		case effect.Refuse:
			effects = append(effects, s.refusalMeasured(ev, e)...)
		}
	}
	return effects
}

// refusalMeasured measures a refused request, which may have been refused on arrival.
func (s State) refusalMeasured(ev event.Event, e effect.Refuse) []effect.Effect {
	outcome := string(e.Problem.Cause)
	if view, ok := s.attempts.Observed(e.Request); ok {
		return s.requestMeasured(ev, view, outcome)
	}
	tags := []effect.Tag{{Name: "outcome", Value: outcome}, {Name: "service", Value: unrouted}, {Name: "class", Value: unrouted}}
	if arrived, ok := ev.Body.(event.RequestArrived); ok {
		if route, found := s.tables.Router().Match(arrived.Request); found {
			tags[1].Value = s.service(route.Pool)
			tags[2].Value = route.Class.String()
		}
	}
	return []effect.Effect{effect.Count{Name: "requests", Tags: tags, Delta: 1}}
}

// requestMeasured counts a request that was in flight and records its duration.
func (s State) requestMeasured(ev event.Event, view attempt.Observation, outcome string) []effect.Effect {
	tags := []effect.Tag{
		{Name: "outcome", Value: outcome},
		{Name: "service", Value: s.service(view.Pool)},
		{Name: "class", Value: view.Class.String()},
		{Name: "caller", Value: string(view.Caller)},
	}
	return []effect.Effect{
		effect.Count{Name: "requests", Tags: tags[:3], Delta: 1},
		effect.Duration{Name: "request_duration", Tags: tags[1:], Value: ev.At.Sub(view.Arrived)},
	}
}

// attemptMeasured counts an attempt and records its duration. An attempt that was given up is not measured.
func (s State) attemptMeasured(body event.AttemptFinished) []effect.Effect {
	view, ok := s.attempts.Observed(body.Attempt.Request())
	if !ok {
		return nil
	}
	outcome := outcomeAnswered
	if problem, failed := body.Outcome.Problem.Get(); failed {
		outcome = string(problem.Cause)
	}
	tags := []effect.Tag{
		{Name: "outcome", Value: outcome},
		{Name: "service", Value: s.service(view.Pool)},
		{Name: "class", Value: view.Class.String()},
	}
	return []effect.Effect{
		effect.Count{Name: "attempts", Tags: tags, Delta: 1},
		effect.Duration{Name: "attempt_duration", Tags: tags[1:], Value: body.Outcome.Took},
	}
}

// service returns the service of a pool.
func (s State) service(name fleet.PoolName) string {
	pool, ok := s.tables.Current().Pool(name)
	if !ok {
		return unrouted
	}
	return pool.Service
}
