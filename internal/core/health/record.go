package health

import (
	"time"

	"jayfold.dev/jayfold/internal/core/fleet"
)

// record is the recent history of one target.
type record struct {
	failing, shedding suspicion
	// silence is the evidence of the runs in flight.
	silence float64
	// lastSuccessStarted is the latest start of a run that has succeeded.
	lastSuccessStarted time.Time
	// trialDelay is the delay between trial requests, nextTrial the earliest time of the next one.
	trialDelay time.Duration
	nextTrial  time.Time
	// lastSucceeded is true if the last run succeeded.
	lastSucceeded bool
	// slowestFailure is the longest duration of a failed run since the target was last healthy.
	slowestFailure time.Duration
	trials         fleet.Map[fleet.AttemptID, trial]
}

// suspicion is a bounded score with hysteresis: isSuspect is set at suspectScore and cleared below clearScore.
type suspicion struct {
	score     float64
	isSuspect bool
}

// plus returns the suspicion after evidence of the given weight.
func (s suspicion) plus(weight float64) suspicion {
	s.score = min(max(s.score+weight, minScore), maxScore)
	switch {
	case s.score >= suspectScore:
		s.isSuspect = true
	case s.score < clearScore:
		s.isSuspect = false
	}
	return s
}

func (r record) health() fleet.Health {
	switch {
	case r.failing.isSuspect:
		return fleet.Faulty
	case r.isSilent():
		return fleet.Silent
	case r.shedding.isSuspect:
		return fleet.Shedding
	default:
		return fleet.Healthy
	}
}

// trial is a request in flight on a target that is not healthy.
type trial struct {
	started time.Time
	// counted is true if the trial has been counted as a success while in flight.
	counted bool
}

// withTrial returns the record after a trial request has started. Trial requests that follow a success may run
// concurrently.
func (r record) withTrial(now time.Time, attempt fleet.AttemptID) record {
	r.trials = r.trials.With(attempt, trial{started: now})
	if !r.lastSucceeded {
		r.nextTrial = now.Add(trialTimeout)
	}
	return r
}

// withRun returns the record after a run has finished. A trial request that was counted as a success in flight is not
// counted as one again.
func (r record) withRun(now time.Time, attempt fleet.AttemptID, e Evidence, duration time.Duration) record {
	t, _ := r.trials.Get(attempt)
	r.trials = r.trials.Without(attempt)
	if started := now.Add(-duration); e == Succeeded && started.After(r.lastSuccessStarted) {
		r.lastSuccessStarted = started
	}
	switch {
	case t.counted && e == Succeeded:
		return r
	case e == None, e == Succeeded:
		return r.withEvidence(now, e)
	default:
		r.slowestFailure = max(r.slowestFailure, duration)
		return r.withEvidence(now, e)
	}
}

// withSurvivedTrials returns the record with a success for each trial request in flight that has run clearly longer than the
// failures before it. A run in flight shows nothing about a target that hangs.
func (r record) withSurvivedTrials(now time.Time) record {
	if r.health() == fleet.Silent {
		return r
	}
	survival := max(survivalFactor*r.slowestFailure, minSurvival)
	for attempt, t := range r.trials.All() {
		if t.counted || now.Sub(t.started) < survival {
			continue
		}
		t.counted = true
		r.trials = r.trials.With(attempt, t)
		r = r.withEvidence(now, Succeeded)
	}
	return r
}

func (r record) withEvidence(now time.Time, e Evidence) record {
	weight := evidenceWeights[e]
	if e != Shed {
		r.failing = r.failing.plus(weight)
	}
	if e == Shed || e == Succeeded {
		r.shedding = r.shedding.plus(weight)
	}
	switch e {
	case Succeeded, None:
		// The next trial request may start at once.
		r.lastSucceeded = e == Succeeded
		r.nextTrial = now
	default:
		r.lastSucceeded = false
		r.trialDelay = min(max(2*r.trialDelay, minTrialDelay), maxTrialDelay)
		r.nextTrial = now.Add(r.trialDelay)
	}
	if r.health() == fleet.Healthy {
		r.trialDelay, r.slowestFailure = 0, 0
		r.trials = fleet.Map[fleet.AttemptID, trial]{}
	}
	return r
}
