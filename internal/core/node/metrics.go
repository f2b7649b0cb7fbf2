package node

import (
	"jayfold.dev/jayfold/internal/core/attempt"
	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/event"
	"jayfold.dev/jayfold/internal/core/fleet"
)

// Values of the metric label outcome. All other outcomes are named for the cause of the problem.
const (
	outcomeAnswered = "Answered"
	// outcomeCanceled is the outcome of a request whose caller disconnected.
	outcomeCanceled = "Canceled"
)

// unrouted is the service and class label of a request that matches no route.
const unrouted = "none"

// appendMetrics adds the metrics of the requests and attempts that ended in a step. The receiver is the state before the
// step, which still contains these requests. Events that cannot end a request return early to keep the step cheap.
func (s State) appendMetrics(ev event.Event, effects []effect.Effect) []effect.Effect {
	switch body := ev.Body.(type) {
	case event.AttemptFinished:
		// An attempt that ends after its request is not recorded.
		if info, ok := s.attempts.RequestInfo(body.Attempt.Request()); ok {
			effects = append(effects, effect.RecordAttempt{
				MetricLabels: s.metricLabels(info.Pool, info.Class, outcomeLabel(body.Outcome)), Duration: body.Outcome.Duration,
			})
		}
		effects = s.appendPlacement(body, effects)
	case event.RequestCanceled:
		if info, ok := s.attempts.RequestInfo(body.Request); ok {
			effects = append(effects, s.requestMetric(ev, info, outcomeCanceled))
		}
		if _, ok := s.usage.WaitingRequest(body.Request); ok {
			canceled := effect.RefuseRequest{Request: body.Request, Problem: fleet.Problem{Cause: outcomeCanceled}}
			effects = append(effects, s.refusalMetric(ev, canceled))
		}
	case event.RequestArrived, event.RequestTimerFired, event.Tick, event.MessageReceived, event.MessageSendFailed,
		event.TablesDecoded:
	default:
		return effects
	}
	for _, e := range effects {
		switch e := e.(type) {
		case effect.RelayResponse:
			info, _ := s.attempts.RequestInfo(e.Request)
			effects = append(effects, s.requestMetric(ev, info, outcomeAnswered))
		case effect.RefuseRequest:
			effects = append(effects, s.refusalMetric(ev, e))
		}
	}
	return effects
}

// refusalMetric returns the metric of a refused request, which may have been refused on arrival.
func (s State) refusalMetric(ev event.Event, e effect.RefuseRequest) effect.Effect {
	outcome := string(e.Problem.Cause)
	if info, ok := s.attempts.RequestInfo(e.Request); ok {
		return s.requestMetric(ev, info, outcome)
	}
	if waiting, ok := s.usage.WaitingRequest(e.Request); ok {
		if route, found := s.tables.Router().Match(waiting.Request); found {
			return effect.RecordRequest{
				MetricLabels: s.metricLabels(route.Pool, route.Class, outcome),
				Caller:       waiting.Request.Caller,
				Duration:     fleet.Some(ev.At.Sub(waiting.Arrived)),
			}
		}
	}
	if arrived, ok := ev.Body.(event.RequestArrived); ok {
		if route, found := s.tables.Router().Match(arrived.Request); found {
			return effect.RecordRequest{MetricLabels: s.metricLabels(route.Pool, route.Class, outcome)}
		}
	}
	return effect.RecordRequest{MetricLabels: effect.MetricLabels{Service: unrouted, Class: unrouted, Outcome: outcome}}
}

// requestMetric returns the metric of a request that was in flight.
func (s State) requestMetric(ev event.Event, info attempt.RequestInfo, outcome string) effect.Effect {
	return effect.RecordRequest{
		MetricLabels: s.metricLabels(info.Pool, info.Class, outcome),
		Caller:       info.Caller,
		Duration:     fleet.Some(ev.At.Sub(info.Arrived)),
	}
}

func (s State) metricLabels(pool fleet.PoolName, class fleet.Class, outcome string) effect.MetricLabels {
	return effect.MetricLabels{Service: s.serviceName(pool), Class: class.String(), Outcome: outcome}
}

func outcomeLabel(outcome fleet.Outcome) string {
	if problem, failed := outcome.Problem.Get(); failed {
		return string(problem.Cause)
	}
	return outcomeAnswered
}

// serviceName returns the name of a pool's service, or unrouted if the tables in force have no such pool.
func (s State) serviceName(name fleet.PoolName) string {
	if service, ok := s.tables.Router().Service(name); ok {
		return service
	}
	return unrouted
}

// appendPlacement adds the record of an attempt whose target was chosen by cost. An attempt that has not run has no actual cost.
func (s State) appendPlacement(body event.AttemptFinished, effects []effect.Effect) []effect.Effect {
	placement, ok := s.attempts.PlacementInfo(body.Attempt)
	if !ok {
		return effects
	}
	info, _ := s.attempts.RequestInfo(body.Attempt.Request())
	record := effect.RecordPlacement{
		MetricLabels: s.metricLabels(info.Pool, info.Class, outcomeLabel(body.Outcome)),
		Mode:         placement.Mode, Zone: "own", Expected: placement.Expected,
	}
	if placement.CrossZone {
		record.Zone = "other"
	}
	if body.Outcome.Verdict() == fleet.Ran {
		record.Actual = body.Outcome.Duration
	}
	return append(effects, record)
}
