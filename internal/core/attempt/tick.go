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

// Tick ends requests whose deadline passed, starts second attempts beside slow ones and gives up lost ones.
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
	if f.parked {
		return s.unpark(ctx, f)
	}
	if lost, ok := f.overtaken(ctx.Now); ok {
		return s.giveUp(ctx, f, lost)
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

// slow reports whether the only attempt in flight has waited long enough for a second one beside it. The first one goes
// on: its target may be at work, and the second one may be refused.
func (f flight) slow(now time.Time) bool {
	if len(f.live) != 1 {
		return false
	}
	return passed(now, f.live[0].slow)
}

func passed(now, at time.Time) bool { return !at.IsZero() && !now.Before(at) }

// overtaken returns an attempt that counts as lost while another one is in flight.
func (f flight) overtaken(now time.Time) (try, bool) {
	for _, t := range f.live {
		if len(f.live) > 1 && passed(now, t.lost) {
			return t, true
		}
	}
	return try{}, false
}

// giveUp ends a lost attempt. The other one in flight goes on.
func (s State) giveUp(ctx Context, f flight, t try) (State, []effect.Effect) {
	lost := fleet.NewProblem(fleet.DeadlinePassed, fleet.MayHaveRun, "the target did not answer in time")
	f = f.failed(ctx.Now, t, lost, 0, 0)
	s.own = s.own.released(t.target)
	return s.store(f.rescheduled(ctx.Now)), []effect.Effect{effect.CancelAttempt{Attempt: t.id}}
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
		effects = append(effects, effect.CancelAttempt{Attempt: t.id})
	}
	return s.store(f.rescheduled(ctx.Now)), effects
}
