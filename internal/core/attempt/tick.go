package attempt

import (
	"time"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/fleet"
)

const (
	// hedgeRetryInterval is the time after which hedging is tried again if no attempt could be started beside a slow one.
	hedgeRetryInterval = 200 * time.Millisecond
	// pruneBatch bounds the nodes that one tick checks for expired failures.
	pruneBatch = 16
)

// Tick ends requests whose deadline has passed, hedges slow attempts and cancels lost ones.
func (s State) Tick(ctx Context) (State, []effect.Effect) {
	var effects []effect.Effect
	random := randomSequence(ctx.Random)
	for _, id := range s.timers.expired(ctx.Now) {
		req, ok := s.requests.Get(id)
		if !ok {
			continue
		}
		ctx.Random = random.next()
		var more []effect.Effect
		s, more = s.timerFired(ctx, *req)
		effects = append(effects, more...)
	}
	return s.pruned(ctx.Now), effects
}

// Due returns when Tick has something to do next. The hedged attempt of a lookup cannot wait for the next regular tick.
func (s State) Due() (time.Time, bool) { return s.timers.next() }

// timerFired does what is due for a request.
func (s State) timerFired(ctx Context, req activeRequest) (State, []effect.Effect) {
	if !ctx.Now.Before(req.template.Deadline) {
		return s.deadlinePassed(ctx, req)
	}
	if req.deferred {
		return s.resumeDeferred(ctx, req)
	}
	if lost, ok := req.lostAttempt(ctx.Now); ok {
		return s.cancelLost(ctx, req, lost)
	}
	if req.isSlow(ctx.Now) && req.mayStart(ctx.Now) {
		if next, effects, ok := s.startAnother(ctx, req); ok {
			return next, effects
		}
	}
	req = req.withNextWake(ctx.Now)
	if later := ctx.Now.Add(hedgeRetryInterval); req.isSlow(ctx.Now) && later.Before(req.wakeAt) {
		req.wakeAt = later
	}
	return s.withRequest(req), nil
}

// isSlow reports whether the only attempt in flight has taken long enough to be hedged. It continues beside the hedged
// attempt: its target may be working on it, and the hedged attempt may be refused.
func (req activeRequest) isSlow(now time.Time) bool {
	if len(req.live) != 1 {
		return false
	}
	return hasPassed(now, req.live[0].slowAt)
}

func hasPassed(now, at time.Time) bool { return !at.IsZero() && !now.Before(at) }

// lostAttempt returns an attempt that counts as lost while another one is in flight.
func (req activeRequest) lostAttempt(now time.Time) (liveAttempt, bool) {
	for _, a := range req.live {
		if len(req.live) > 1 && hasPassed(now, a.lostAt) {
			return a, true
		}
	}
	return liveAttempt{}, false
}

// cancelLost cancels a lost attempt. The other one in flight continues.
func (s State) cancelLost(ctx Context, req activeRequest, a liveAttempt) (State, []effect.Effect) {
	problem := fleet.NewProblem(fleet.DeadlinePassed, fleet.MayHaveRun, "the target did not respond in time")
	req = req.withFailure(ctx.Now, a, problem, 0, 0)
	s.attempts = s.attempts.decremented(a.target)
	return s.withRequest(req.withNextWake(ctx.Now)), []effect.Effect{effect.CancelAttempt{Attempt: a.id}}
}

// deadlinePassed ends a request at its deadline. A request that is not idempotent first waits for the sidecar to confirm
// whether the cancel came before the start of the run.
func (s State) deadlinePassed(ctx Context, req activeRequest) (State, []effect.Effect) {
	if req.template.Idempotent || len(req.live) == 0 || !ctx.Now.Before(req.template.Deadline.Add(cancelConfirmTimeout)) {
		req = req.withDeadlinePassed()
		return s.endRequest(ctx.Now, req, req.finalEffect())
	}
	if req.cancelPending {
		return s.withRequest(req.withNextWake(ctx.Now)), nil
	}
	req.cancelPending = true
	effects := make([]effect.Effect, 0, len(req.live))
	for _, a := range req.live {
		effects = append(effects, effect.CancelAttempt{Attempt: a.id})
	}
	return s.withRequest(req.withNextWake(ctx.Now)), effects
}
