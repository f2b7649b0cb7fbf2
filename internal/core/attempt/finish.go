package attempt

import (
	"time"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/fleet"
)

// refusalLifetime is how long a target gets no request from this ingress after a refusal that applies to every attempt on it,
// such as Ejected or Draining.
const refusalLifetime = 2 * time.Second

// AttemptFinished records the end of an attempt and retries or ends its request. For a canceled attempt only the report is used,
// and only while the request is in flight.
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
	if !a.ownZone {
		s = s.withCrossZoneOutcome(ctx.Now, req.template.Pool, outcome.Verdict())
	}
	problem, failed := outcome.Problem.Get()
	if !failed {
		req = req.withoutAttempt(id).withStep(ctx.Now, a, problem, 0)
		return s.endRequest(ctx.Now, req, effect.RelayResponse{Request: req.id, Attempt: id, Parent: req.parent})
	}
	if problem.Cause == fleet.Duplicate {
		// The sidecar has received the attempt before, and that first delivery may have run.
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
	reported := s.pool(name).withReport(ctx.Now, r)
	if s.byCost {
		reported = reported.withCosts(ctx.Now, s.pool(name).target(r.Target).cost, r)
	}
	s = s.withPool(name, reported)
	s.unreachable = s.unreachable.withResponse(r.Target.Node())
	return s
}

// targetRefusalCauses are the causes of refusals that apply to every attempt on a target.
var targetRefusalCauses = map[fleet.Cause]bool{
	fleet.Ejected: true, fleet.Draining: true, fleet.UnknownTarget: true, fleet.Misdirected: true,
}

// withProblem records that a target refuses all attempts or that a node cannot be reached, if the problem shows it.
func (s State) withProblem(
	ctx Context, req activeRequest, a activeAttempt, problem fleet.Problem, report fleet.Option[fleet.TargetReport],
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

// retry starts another attempt after one failed. If that is not possible and no attempt is in flight, it ends the request.
func (s State) retry(ctx Context, req activeRequest) (State, []effect.Effect) {
	if len(req.inFlight) > 0 {
		return s.continueWithOther(ctx, req)
	}
	if req.mayRetry(ctx.Now) {
		if ctx.revoked(req) {
			return s.refuseRevoked(ctx, req)
		}
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
	return s.withRequest(req.withNextTimer(ctx.Now)), nil
}

// startAnother starts another attempt. It returns false if the request may crash too many targets, if its fingerprint is
// quarantined, if its API key was revoked, or if no target is left to try.
func (s State) startAnother(ctx Context, req activeRequest) (State, []effect.Effect, bool) {
	if req.mayExceedCrashes() {
		return s, nil, false
	}
	if ctx.quarantined(req) || ctx.revoked(req) {
		return s, nil, false
	}
	return s.startOrDefer(ctx, req)
}
