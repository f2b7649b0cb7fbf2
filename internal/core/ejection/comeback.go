package ejection

import (
	"time"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/fleet"
)

// The wait between an ejection and its first trial. Each relapse doubles it, so a flapping target is soon tried only once
// in maxWait.
const (
	firstWait = 5 * time.Second
	maxWait   = 5 * time.Minute
)

// healthyTime is how long a target must serve without a judgement before its wait starts from firstWait again.
const healthyTime = 10 * time.Minute

// trialInterval spaces the requests that try an ejected target. A return takes at least 16 of them, 8 s.
const trialInterval = 500 * time.Millisecond

// trialTimeout allows another trial when the end of one was never reported.
const trialTimeout = 30 * time.Second

// comeback is the way of an ejected target back to service.
type comeback struct {
	wait time.Duration
	// trialsFrom is when trials may start, nextTrial when the next one may.
	trialsFrom time.Time
	nextTrial  time.Time
	// running is the start of the trial that runs now; zero when none does.
	running  time.Time
	returned time.Time
	// recovered says that the last return followed a recovery, so that another failure soon is a relapse.
	recovered bool
}

func (c comeback) ejected(now time.Time) comeback {
	switch {
	case c.wait == 0 || now.Sub(c.returned) >= healthyTime:
		c.wait = firstWait
	case c.recovered:
		c.wait = min(2*c.wait, maxWait)
	}
	c.trialsFrom = now.Add(c.wait)
	c.nextTrial = c.trialsFrom
	c.running = time.Time{}
	c.recovered = false
	return c
}

func (c comeback) relapsed(now time.Time) comeback {
	c.wait = min(2*c.wait, maxWait)
	c.trialsFrom = now.Add(c.wait)
	c.nextTrial = c.trialsFrom
	return c
}

func (c comeback) back(now time.Time) comeback {
	c.returned = now
	return c
}

// due reports whether a trial may start.
func (c comeback) due(now time.Time) bool {
	running := !c.running.IsZero() && now.Sub(c.running) < trialTimeout
	return !running && !now.Before(c.nextTrial)
}

// Tried records that a trial started on a target whose gate is Trial.
func (s State) Tried(now time.Time, id fleet.TargetID) State {
	l, ok := s.targets.Get(id)
	if !ok {
		return s
	}
	l.comeback.running = now
	l.comeback.nextTrial = now.Add(trialInterval)
	s.targets = s.targets.With(id, l)
	return s
}

// TrialFinished records that a request on a target ended, so that another trial may start.
func (s State) TrialFinished(id fleet.TargetID) State {
	l, ok := s.targets.Get(id)
	if !ok || l.comeback.running.IsZero() {
		return s
	}
	l.comeback.running = time.Time{}
	s.targets = s.targets.With(id, l)
	return s
}

// Recovered returns a local target to service.
func (s State) Recovered(ctx Context, id fleet.TargetID) (State, []effect.Effect) {
	s, effects := s.current(ctx)
	l, _ := s.targets.Get(id)
	if l.phase != ejected {
		return s, effects
	}
	l.comeback.recovered = true
	s.targets = s.targets.With(id, l)
	s, more := s.returned(ctx, id, "trials succeeded")
	return s, concat(effects, more)
}

// Relapsed doubles the wait before an ejected target's next trial. A judgement that rests on requests from before the
// first trial changes nothing.
func (s State) Relapsed(ctx Context, id fleet.TargetID) (State, []effect.Effect) {
	s, effects := s.current(ctx)
	l, _ := s.targets.Get(id)
	if l.phase != ejected || ctx.Now.Before(l.comeback.trialsFrom) {
		return s, effects
	}
	l.comeback = l.comeback.relapsed(ctx.Now)
	s.targets = s.targets.With(id, l)
	return s, append(effects,
		decision(effect.Info, "trials failed", id, l, effect.Field{Name: "TrialsAfter", Value: l.comeback.wait}),
		count("relapses", l, "trials failed"))
}
