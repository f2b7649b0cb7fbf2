package ejection

import (
	"time"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/fleet"
)

// The delay between an ejection and its first trial request. Each relapse doubles it, so that a flapping target is soon tried
// only once in maxTrialDelay.
const (
	firstTrialDelay = 5 * time.Second
	maxTrialDelay   = 5 * time.Minute
)

// healthyDuration is how long a target must serve without being found failing before its delay starts from firstTrialDelay
// again.
const healthyDuration = 10 * time.Minute

// trialInterval is the minimum time between trial requests to an ejected target. A recovery takes at least 16 of them, 8 s.
const trialInterval = 500 * time.Millisecond

// trialTimeout is the time after which another trial may start if the end of the last one was never reported.
const trialTimeout = 30 * time.Second

// recovery holds the delays and trials by which an ejected target returns to service.
type recovery struct {
	delay time.Duration
	// trialsFrom is the earliest time of the first trial, nextTrial that of the next one.
	trialsFrom time.Time
	nextTrial  time.Time
	// trialStarted is the start of the trial in progress; zero if there is none.
	trialStarted time.Time
	returnedAt   time.Time
	// recovered is true if the last return to service followed successful trials, so that another failure soon is a relapse.
	recovered bool
}

func (r recovery) afterEjection(now time.Time) recovery {
	switch {
	case r.delay == 0 || now.Sub(r.returnedAt) >= healthyDuration:
		r.delay = firstTrialDelay
	case r.recovered:
		r.delay = min(2*r.delay, maxTrialDelay)
	}
	r.trialsFrom = now.Add(r.delay)
	r.nextTrial = r.trialsFrom
	r.trialStarted = time.Time{}
	r.recovered = false
	return r
}

func (r recovery) afterRelapse(now time.Time) recovery {
	r.delay = min(2*r.delay, maxTrialDelay)
	r.trialsFrom = now.Add(r.delay)
	r.nextTrial = r.trialsFrom
	return r
}

func (r recovery) afterReturn(now time.Time) recovery {
	r.returnedAt = now
	return r
}

// trialDue reports whether a trial may start.
func (r recovery) trialDue(now time.Time) bool {
	running := !r.trialStarted.IsZero() && now.Sub(r.trialStarted) < trialTimeout
	return !running && !now.Before(r.nextTrial)
}

// TrialStarted records that a trial has started on a target whose service state is TrialDue.
func (s State) TrialStarted(now time.Time, id fleet.TargetID) State {
	l, ok := s.targets.Get(id)
	if !ok {
		return s
	}
	l.recovery.trialStarted = now
	l.recovery.nextTrial = now.Add(trialInterval)
	s.targets = s.targets.With(id, l)
	return s
}

// TrialFinished records that a run on a target has ended, so that another trial may start.
func (s State) TrialFinished(id fleet.TargetID) State {
	l, ok := s.targets.Get(id)
	if !ok || l.recovery.trialStarted.IsZero() {
		return s
	}
	l.recovery.trialStarted = time.Time{}
	s.targets = s.targets.With(id, l)
	return s
}

// TargetRecovered returns a local target to service after its trials have succeeded.
func (s State) TargetRecovered(ctx Context, id fleet.TargetID) (State, []effect.Effect) {
	s, effects := s.refresh(ctx)
	l, _ := s.targets.Get(id)
	if l.phase != ejected {
		return s, effects
	}
	l.recovery.recovered = true
	s.targets = s.targets.With(id, l)
	s, more := s.returnToService(ctx, id, "trials succeeded")
	return s, concat(effects, more)
}

// TargetRelapsed doubles the delay before the next trial of an ejected target. A judgement based on requests from before the
// first trial has no effect.
func (s State) TargetRelapsed(ctx Context, id fleet.TargetID) (State, []effect.Effect) {
	s, effects := s.refresh(ctx)
	l, _ := s.targets.Get(id)
	if l.phase != ejected || ctx.Now.Before(l.recovery.trialsFrom) {
		return s, effects
	}
	l.recovery = l.recovery.afterRelapse(ctx.Now)
	s.targets = s.targets.With(id, l)
	return s, append(effects,
		decisionLog(effect.Info, "trials failed", id, l, effect.LogField{Name: "TrialsAfter", Value: l.recovery.delay}),
		countDecision("relapses", l, "trials failed"))
}
