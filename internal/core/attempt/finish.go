package attempt

import (
	"time"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/fleet"
)

// refusalLifetime is how long a target that refused as ejected or draining gets no request from this ingress.
const refusalLifetime = 2 * time.Second

// AttemptFinished records the end of an attempt. Of a canceled attempt only the report counts, and only while its request
// is in flight.
func (s State) AttemptFinished(
	ctx Context, id fleet.AttemptID, outcome fleet.Outcome, report fleet.Option[fleet.TargetReport],
) (State, []effect.Effect) {
	stored, ok := s.requests.Get(id.Request())
	if !ok {
		return s, nil
	}
	req := *stored
	s = s.withReport(ctx, req, report)
	a, ok := req.findAttempt(id)
	if !ok {
		return s, nil
	}
	s.attempts = s.attempts.decremented(a.target)
	problem, failed := outcome.Problem.Get()
	if !failed {
		req = req.withoutAttempt(id).withStep(ctx.Now, a, problem, 0)
		return s.endRequest(ctx.Now, req, effect.RelayResponse{Request: req.id, Attempt: id, Parent: req.parent})
	}
	if problem.Cause == fleet.Duplicate {
		// The attempt that was received before may have run.
		problem.Verdict = fleet.MayHaveRun
	}
	s = s.withProblem(ctx, req, a, problem, report)
	r, _ := report.Get()
	req = req.withFailure(ctx.Now, a, problem, outcome.Status, r.ExpectedWait)
	if r.BudgetCharged {
		req = req.withBudgetCharge()
	}
	return s.retry(ctx, req)
}

// withReport records a sidecar's report on a target of the request's pool.
func (s State) withReport(ctx Context, req activeRequest, report fleet.Option[fleet.TargetReport]) State {
	r, ok := report.Get()
	if !ok {
		return s
	}
	name := req.template.Pool
	s = s.withPool(name, s.pool(name).withReport(ctx.Now, r))
	s.unreachable = s.unreachable.withResponse(r.Target.Node())
	return s
}

// targetRefusalCauses are the causes for which a sidecar refuses every attempt on a target.
var targetRefusalCauses = map[fleet.Cause]bool{
	fleet.Ejected: true, fleet.Draining: true, fleet.UnknownTarget: true, fleet.Misdirected: true,
}

// withProblem records which targets refuse and which nodes cannot be reached.
func (s State) withProblem(
	ctx Context, req activeRequest, a liveAttempt, problem fleet.Problem, report fleet.Option[fleet.TargetReport],
) State {
	_, reported := report.Get()
	switch {
	case targetRefusalCauses[problem.Cause], reported && problem.Cause == fleet.Unreachable:
		name := req.template.Pool
		s = s.withPool(name, s.pool(name).withRefusal(ctx.Now, a.target))
	case !reported && (problem.Cause == fleet.Unreachable || problem.Cause == fleet.Broken):
		s.unreachable = s.unreachable.withFailure(ctx, a.node)
	}
	return s
}

// retry starts another attempt after one failed. If that is not allowed and no attempt is in flight, it ends the request.
func (s State) retry(ctx Context, req activeRequest) (State, []effect.Effect) {
	if len(req.live) > 0 {
		return s.continueWithOther(ctx, req)
	}
	if req.mayRetry(ctx.Now) {
		if next, effects, ok := s.startAnother(ctx, req); ok {
			return next, effects
		}
	}
	if req.cancelPending {
		req = req.withDeadlinePassed()
	}
	return s.endRequest(ctx.Now, req, req.finalEffect())
}

// continueWithOther continues a request after one of its two attempts ended. If the other one is slow, it is hedged.
func (s State) continueWithOther(ctx Context, req activeRequest) (State, []effect.Effect) {
	if req.isSlow(ctx.Now) && req.mayStart(ctx.Now) {
		if next, effects, ok := s.startAnother(ctx, req); ok {
			return next, effects
		}
	}
	return s.withRequest(req.withNextWake(ctx.Now)), nil
}

// startAnother starts a further attempt. It returns false if the request may crash more targets or no target is left.
func (s State) startAnother(ctx Context, req activeRequest) (State, []effect.Effect, bool) {
	if req.mayExceedCrashes() {
		return s, nil, false
	}
	if ctx.quarantined(req) {
		return s, nil, false
	}
	return s.startOrDefer(ctx, req)
}
