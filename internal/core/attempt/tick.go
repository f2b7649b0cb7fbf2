package attempt

import (
	"time"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/fleet"
)

const (
	// hedgeRetryInterval is the time after which hedging is tried again if no hedged attempt could be started.
	hedgeRetryInterval = 200 * time.Millisecond
	// pruneBatch bounds the nodes that one tick checks for expired failures.
	pruneBatch = 16
)

// Tick ends requests whose deadline has passed, picks targets for deferred requests, hedges slow attempts and cancels lost ones.
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

// Due returns the time at which Tick must be called next. The hedged attempt of a lookup cannot wait for the next regular tick.
func (s State) Due() (time.Time, bool) { return s.timers.next() }

// timerFired handles the expired timer of a request.
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
	req = req.withNextTimer(ctx.Now)
	if later := ctx.Now.Add(hedgeRetryInterval); req.isSlow(ctx.Now) && later.Before(req.timerAt) {
		req.timerAt = later
	}
	return s.withRequest(req), nil
}

// isSlow reports whether the only attempt in flight has taken long enough to be hedged. The slow attempt is not canceled, because
// its target may be working on it and the hedged attempt may be refused.
func (req activeRequest) isSlow(now time.Time) bool {
	if len(req.inFlight) != 1 {
		return false
	}
	return hasPassed(now, req.inFlight[0].slowAt)
}

func hasPassed(now, at time.Time) bool { return !at.IsZero() && !now.Before(at) }

// lostAttempt returns an attempt that counts as lost, if another one is in flight.
func (req activeRequest) lostAttempt(now time.Time) (activeAttempt, bool) {
	for _, a := range req.inFlight {
		if len(req.inFlight) > 1 && hasPassed(now, a.lostAt) {
			return a, true
		}
	}
	return activeAttempt{}, false
}

// cancelLost cancels a lost attempt. The other one in flight continues.
func (s State) cancelLost(ctx Context, req activeRequest, a activeAttempt) (State, []effect.Effect) {
	problem := fleet.NewProblem(fleet.DeadlinePassed, fleet.MayHaveRun, "the target did not respond in time")
	req = req.withFailure(ctx.Now, a, problem, 0, 0)
	s.attempts = s.attempts.decremented(a.target)
	return s.withRequest(req.withNextTimer(ctx.Now)), []effect.Effect{effect.CancelAttempt{Attempt: a.id}}
}

// deadlinePassed ends a request at its deadline. For a request that is not idempotent, it first cancels the attempt and waits
// until the sidecar confirms whether the run had started.
func (s State) deadlinePassed(ctx Context, req activeRequest) (State, []effect.Effect) {
	if req.template.Idempotent || len(req.inFlight) == 0 || !ctx.Now.Before(req.template.Deadline.Add(cancelConfirmTimeout)) {
		req = req.withDeadlinePassed()
		return s.endRequest(ctx.Now, req, req.finalEffect())
	}
	if req.cancelPending {
		return s.withRequest(req.withNextTimer(ctx.Now)), nil
	}
	req.cancelPending = true
	effects := make([]effect.Effect, 0, len(req.inFlight))
	for _, a := range req.inFlight {
		effects = append(effects, effect.CancelAttempt{Attempt: a.id})
	}
	return s.withRequest(req.withNextTimer(ctx.Now)), effects
}
