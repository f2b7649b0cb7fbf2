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

// recovery holds the waits and trials by which an ejected target returns to service.
type recovery struct {
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

func (r recovery) ejected(now time.Time) recovery {
	switch {
	case r.wait == 0 || now.Sub(r.returned) >= healthyTime:
		r.wait = firstWait
	case r.recovered:
		r.wait = min(2*r.wait, maxWait)
	}
	r.trialsFrom = now.Add(r.wait)
	r.nextTrial = r.trialsFrom
	r.running = time.Time{}
	r.recovered = false
	return r
}

func (r recovery) relapsed(now time.Time) recovery {
	r.wait = min(2*r.wait, maxWait)
	r.trialsFrom = now.Add(r.wait)
	r.nextTrial = r.trialsFrom
	return r
}

func (r recovery) inService(now time.Time) recovery {
	r.returned = now
	return r
}

// due reports whether a trial may start.
func (r recovery) due(now time.Time) bool {
	running := !r.running.IsZero() && now.Sub(r.running) < trialTimeout
	return !running && !now.Before(r.nextTrial)
}

// TrialStarted records that a trial started on a target whose gate is Trial.
func (s State) TrialStarted(now time.Time, id fleet.TargetID) State {
	l, ok := s.targets.Get(id)
	if !ok {
		return s
	}
	l.recovery.running = now
	l.recovery.nextTrial = now.Add(trialInterval)
	s.targets = s.targets.With(id, l)
	return s
}

// TrialFinished records that a request on a target ended, so that another trial may start.
func (s State) TrialFinished(id fleet.TargetID) State {
	l, ok := s.targets.Get(id)
	if !ok || l.recovery.running.IsZero() {
		return s
	}
	l.recovery.running = time.Time{}
	s.targets = s.targets.With(id, l)
	return s
}

// TargetRecovered returns a local target to service.
func (s State) TargetRecovered(ctx Context, id fleet.TargetID) (State, []effect.Effect) {
	s, effects := s.current(ctx)
	l, _ := s.targets.Get(id)
	if l.phase != ejected {
		return s, effects
	}
	l.recovery.recovered = true
	s.targets = s.targets.With(id, l)
	s, more := s.returned(ctx, id, "trials succeeded")
	return s, concat(effects, more)
}

// TargetRelapsed doubles the wait before an ejected target's next trial. A judgement that rests on requests from before the
// first trial changes nothing.
func (s State) TargetRelapsed(ctx Context, id fleet.TargetID) (State, []effect.Effect) {
	s, effects := s.current(ctx)
	l, _ := s.targets.Get(id)
	if l.phase != ejected || ctx.Now.Before(l.recovery.trialsFrom) {
		return s, effects
	}
	l.recovery = l.recovery.relapsed(ctx.Now)
	s.targets = s.targets.With(id, l)
	return s, append(effects,
		decision(effect.Info, "trials failed", id, l, effect.LogField{Name: "TrialsAfter", Value: l.recovery.wait}),
		count("relapses", l, "trials failed"))
}
