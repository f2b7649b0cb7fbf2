package attempt

import (
	"time"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/fleet"
)

// refusalLifetime is how long a target that refused as ejected or draining gets no request from this ingress.
const refusalLifetime = 2 * time.Second

// AttemptFinished ends an attempt. Of an attempt that was given up only the report counts, while its request lasts.
func (s State) AttemptFinished(
	ctx Context, id fleet.AttemptID, outcome fleet.Outcome, report fleet.Option[fleet.TargetReport],
) (State, []effect.Effect) {
	stored, ok := s.flights.Get(id.Request())
	if !ok {
		return s, nil
	}
	f := *stored
	s = s.reported(ctx, f, report)
	t, ok := f.find(id)
	if !ok {
		return s, nil
	}
	s.own = s.own.released(t.target)
	problem, failed := outcome.Problem.Get()
	if !failed {
		f = f.without(id).withStep(ctx.Now, t, problem, 0)
		return s.end(ctx.Now, f, effect.RelayResponse{Request: f.id, Attempt: id, Parent: f.parent})
	}
	if problem.Cause == fleet.Duplicate {
		// The attempt that was seen before may have run.
		problem.Verdict = fleet.MayHaveRun
	}
	s = s.blamed(ctx, f, t, problem, report)
	r, _ := report.Get()
	f = f.failed(ctx.Now, t, problem, outcome.Status, r.ExpectedWait)
	if r.BudgetCharged {
		f = f.withCredit()
	}
	return s.retry(ctx, f)
}

// reported takes in a sidecar's report on a target of the request's pool.
func (s State) reported(ctx Context, f flight, report fleet.Option[fleet.TargetReport]) State {
	r, ok := report.Get()
	if !ok {
		return s
	}
	name := f.template.Pool
	s = s.withPool(name, s.pool(name).reported(ctx.Now, r))
	s.reaches = s.reaches.answered(r.Target.Node())
	return s
}

// refusesAll holds the causes with which a sidecar refuses every attempt on a target.
var refusesAll = map[fleet.Cause]bool{
	fleet.Ejected: true, fleet.Draining: true, fleet.UnknownTarget: true, fleet.Misdirected: true,
}

// blamed remembers which targets refuse and which nodes cannot be reached.
func (s State) blamed(ctx Context, f flight, t try, problem fleet.Problem, report fleet.Option[fleet.TargetReport]) State {
	_, reported := report.Get()
	switch {
	case refusesAll[problem.Cause], reported && problem.Cause == fleet.Unreachable:
		name := f.template.Pool
		s = s.withPool(name, s.pool(name).refused(ctx.Now, t.target))
	case !reported && (problem.Cause == fleet.Unreachable || problem.Cause == fleet.Broken):
		s.reaches = s.reaches.failed(ctx, t.node)
	}
	return s
}

// retry starts another attempt after one failed, or ends the request when that is not allowed and none is in flight.
func (s State) retry(ctx Context, f flight) (State, []effect.Effect) {
	if len(f.live) > 0 {
		return s.beside(ctx, f)
	}
	if f.mayRetry(ctx.Now) {
		if next, effects, ok := s.again(ctx, f); ok {
			return next, effects
		}
	}
	if f.closing {
		f = f.expired()
	}
	return s.end(ctx.Now, f, f.last())
}

// beside goes on after one of two attempts ended. Where the other one is slow, a further target is asked.
func (s State) beside(ctx Context, f flight) (State, []effect.Effect) {
	if f.slow(ctx.Now) && f.mayStart(ctx.Now) {
		if next, effects, ok := s.again(ctx, f); ok {
			return next, effects
		}
	}
	return s.store(f.rescheduled(ctx.Now)), nil
}

// again starts a further attempt, if there is a target for it.
func (s State) again(ctx Context, f flight) (State, []effect.Effect, bool) {
	if f.mayCrash() {
		return s, nil, false
	}
	if ctx.quarantined(f) {
		return s, nil, false
	}
	return s.proceed(ctx, f)
}
