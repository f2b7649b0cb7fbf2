package attempt

import (
	"time"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/fleet"
)

// deferInterval is the time after which a target is picked again for a deferred request. A trial request on a suspect target
// takes about as long.
const deferInterval = 100 * time.Millisecond

// mayDefer reports whether a request without a healthy target is deferred instead of refused or forced on a suspect target. It
// covers two situations:
//
//   - The restart of a whole fleet: this node has tables but does not know the targets yet. Their first heartbeats arrive
//     within a second or two.
//   - A short failure of a whole pool: an order is not retried once it may have run, so it waits until a trial request has
//     shown that one of the targets has recovered.
//
// The request waits only as long as its response can still meet the latency goal. A request that a target may have run or that
// has an idempotency key is not deferred.
func (s State) mayDefer(ctx Context, req activeRequest) bool {
	if len(req.tried) > 0 || len(req.inFlight) > 0 || req.template.Key != "" {
		return false
	}
	baseline := s.pool(req.template.Pool).baselines[req.template.Class].value
	if !ctx.Now.Add(deferInterval + baseline).Before(req.template.Goal) {
		return false
	}
	if len(ctx.Directory.Candidates(req.template.Pool)) == 0 {
		return ctx.JustStarted
	}
	return !req.template.Idempotent
}

// deferRequest defers a request for deferInterval.
func (s State) deferRequest(ctx Context, req activeRequest) (State, []effect.Effect) {
	req = req.withNextTimer(ctx.Now)
	req.deferred = true
	req.refusals = nil
	req.timerAt = ctx.Now.Add(deferInterval)
	return s.withRequest(req), nil
}

// resumeDeferred picks a target for a deferred request again.
func (s State) resumeDeferred(ctx Context, req activeRequest) (State, []effect.Effect) {
	req.deferred = false
	if ctx.revoked(req) {
		return s.refuseRevoked(ctx, req)
	}
	if next, effects, ok := s.startOrDefer(ctx, req); ok {
		return next, effects
	}
	return s.endRequest(ctx.Now, req, req.refuseEffect())
}

// startOrDefer starts the next attempt of a request, or defers the request. It returns false if no target is left to try.
func (s State) startOrDefer(ctx Context, req activeRequest) (State, []effect.Effect, bool) {
	chosen, ok := s.pickTarget(ctx, req)
	if (!ok && len(req.refusals) == 0 || ok && s.mayBreakAttempt(req, chosen)) && s.mayDefer(ctx, req) {
		next, effects := s.deferRequest(ctx, req)
		return next, effects, true
	}
	if !ok {
		return s, nil, false
	}
	s, req, forward := s.startAttempt(ctx, req, chosen)
	return s.withRequest(req), []effect.Effect{forward}, true
}

// mayBreakAttempt reports whether an attempt is forced on a target that may break it. A target that only sheds requests either
// responds or refuses immediately, and one that is silent may only be slow, as all targets of the pool may be.
func (s State) mayBreakAttempt(req activeRequest, chosen placement) bool {
	health := s.pool(req.template.Pool).target(chosen.candidate.Target.ID).health
	return chosen.mode == forced && health != fleet.Shedding && health != fleet.Silent
}
