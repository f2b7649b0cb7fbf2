package attempt

import (
	"time"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/fleet"
)

const (
	// patienceStep is when a slow attempt is looked at again after the budget did not allow a second one.
	patienceStep = 200 * time.Millisecond
	// pruneStep bounds the nodes that one tick looks at to forget old failures.
	pruneStep = 16
)

// Tick ends requests whose deadline passed, hedges slow lookups and replaces lost attempts.
func (s State) Tick(ctx Context) (State, []effect.Effect) {
	var effects []effect.Effect
	random := draws(ctx.Random)
	for _, id := range s.wakes.due(ctx.Now) {
		f, ok := s.flights.Get(id)
		if !ok {
			continue
		}
		ctx.Random = random.next()
		var more []effect.Effect
		s, more = s.woken(ctx, *f)
		effects = append(effects, more...)
	}
	return s.pruned(ctx.Now), effects
}

// Due returns when Tick has something to do next. A lookup's hedge cannot wait for the next regular tick.
func (s State) Due() (time.Time, bool) { return s.wakes.next() }

// woken does what is due for a request.
func (s State) woken(ctx Context, f flight) (State, []effect.Effect) {
	if !ctx.Now.Before(f.template.Deadline) {
		return s.expire(ctx, f)
	}
	for _, t := range f.live {
		if t.timeout.IsZero() || ctx.Now.Before(t.timeout) {
			continue
		}
		if next, effects, ok := s.replace(ctx, f, t); ok {
			return next, effects
		}
	}
	if f.slow(ctx.Now) && f.mayStart(ctx.Now) {
		if next, effects, ok := s.again(ctx, f); ok {
			return next, effects
		}
	}
	f = f.rescheduled(ctx.Now)
	if later := ctx.Now.Add(patienceStep); f.slow(ctx.Now) && later.Before(f.wake) {
		f.wake = later
	}
	return s.store(f), nil
}

// slow reports whether a lookup's only attempt in flight has waited long enough for a hedge.
func (f flight) slow(now time.Time) bool {
	return len(f.live) == 1 && !f.live[0].hedge.IsZero() && !now.Before(f.live[0].hedge)
}

// replace gives up a lost attempt for one on another target, or for the other one in flight.
func (s State) replace(ctx Context, f flight, t try) (State, []effect.Effect, bool) {
	abandon := effect.Abandon{Attempt: t.id}
	lost := fleet.NewProblem(fleet.DeadlinePassed, fleet.MayHaveRun, "the target did not answer in time")
	f = f.failed(ctx.Now, t, lost, 0, 0)
	if len(f.live) > 0 {
		s.own = s.own.released(t.target)
		return s.store(f.rescheduled(ctx.Now)), []effect.Effect{abandon}, true
	}
	if !f.mayStart(ctx.Now) {
		return s, nil, false
	}
	next, effects, ok := s.again(ctx, f)
	if !ok {
		return s, nil, false
	}
	next.own = next.own.released(t.target)
	return next, append([]effect.Effect{abandon}, effects...), true
}

// expire ends a request whose deadline passed. One that is not idempotent first waits for the sidecar to say whether the
// cancel came before the start.
func (s State) expire(ctx Context, f flight) (State, []effect.Effect) {
	if f.template.Idempotent || len(f.live) == 0 || !ctx.Now.Before(f.template.Deadline.Add(closeWait)) {
		f = f.expired()
		return s.end(ctx.Now, f, f.last())
	}
	if f.closing {
		return s.store(f.rescheduled(ctx.Now)), nil
	}
	f.closing = true
	effects := make([]effect.Effect, 0, len(f.live))
	for _, t := range f.live {
		effects = append(effects, effect.Abandon{Attempt: t.id})
	}
	return s.store(f.rescheduled(ctx.Now)), effects
}
