package attempt

import (
	"time"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/fleet"
)

// parkStep is the time after which a parked request is placed anew. A trial of a suspect target takes about as long.
const parkStep = 100 * time.Millisecond

// mayPark reports whether a request that has no healthy target now is kept for a moment instead of being refused or forced
// on a suspect one. It answers two loads:
//
//   - The restart of a whole fleet: this node has tables but has not heard of the targets yet, which announce themselves
//     within the next second or two.
//   - A pool that fails as a whole for a moment: an order, which has only one try, waits until a trial has shown that one of
//     the targets is well again.
//
// It waits no longer than its answer can still meet the goal.
func (s State) mayPark(ctx Context, f flight) bool {
	if len(f.tried) > 0 || len(f.live) > 0 || f.template.Key != "" {
		return false
	}
	usual := s.pool(f.template.Pool).baselines[f.template.Class].value
	if !ctx.Now.Add(parkStep + usual).Before(f.template.Goal) {
		return false
	}
	if len(ctx.Directory.Candidates(f.template.Pool)) == 0 {
		return ctx.JustStarted
	}
	return !f.template.Idempotent
}

// park keeps a request until it is placed anew.
func (s State) park(ctx Context, f flight) (State, []effect.Effect) {
	f = f.rescheduled(ctx.Now)
	f.parked = true
	f.bounces = nil
	f.wake = ctx.Now.Add(parkStep)
	return s.store(f), nil
}

// unpark places a parked request anew.
func (s State) unpark(ctx Context, f flight) (State, []effect.Effect) {
	f.parked = false
	if next, effects, ok := s.proceed(ctx, f); ok {
		return next, effects
	}
	return s.end(ctx.Now, f, f.refusal())
}

// proceed starts the next attempt of a request, or parks it; false means that nothing is left to try.
func (s State) proceed(ctx Context, f flight) (State, []effect.Effect, bool) {
	where, ok := s.choose(ctx, f)
	if (!ok && len(f.bounces) == 0 || ok && s.mayBreak(f, where)) && s.mayPark(ctx, f) {
		next, effects := s.park(ctx, f)
		return next, effects, true
	}
	if !ok {
		return s, nil, false
	}
	s, f, forward := s.start(ctx, f, where)
	return s.store(f), []effect.Effect{forward}, true
}

// mayBreak reports whether an attempt is forced on a target that may break it off. One that only sheds requests either answers
// it or refuses it at once.
func (s State) mayBreak(f flight, where placement) bool {
	sheds := s.pool(f.template.Pool).view(where.candidate.Target.ID).health == fleet.Shedding
	return where.manner == forced && !sheds
}
