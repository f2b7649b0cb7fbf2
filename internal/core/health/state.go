// Package health detects failing targets within one or two requests, long before the evidence suffices for an ejection, so
// that work that cannot be retried is kept away from them.
//
// A target becomes faulty as soon as it fails in a way that is rare for a healthy target, and stays faulty until a few requests
// in a row have succeeded. A faulty target takes only trial requests: requests that may run again on another target, one at a
// time and with a growing delay between them until one succeeds. When no healthy target takes a request, the request can be
// forced on a faulty one, in place of a trial request if it is not idempotent. A target that only sheds requests is shedding. It
// is used after the others, but when no other target is left, it takes as many requests as it accepts, since a shed request has
// not run. A silent target is one whose runs in flight take longer than usual; it takes idempotent
// requests, and any request if no other target is left, since it may only be slow. The judgement is local and needs no lease. A wrong one costs one more attempt of a request on another target and ends
// with the next successes. A target that keeps failing is ejected, which needs in-service leases.
//
// # Usage
//
//	state = state.RunStarted(now, target, attempt)
//	state = state.RunFinished(now, target, attempt, health.Broken, duration)
//	state = state.Tick(now, flights)
//	if state.Health(target) == fleet.Faulty && !state.AllowsTrial(now, target) { ... }
package health

import (
	"time"

	"jayfold.dev/jayfold/internal/core/fleet"
)

// Evidence is what one finished run shows about its target.
type Evidence uint8

// The kinds of evidence. Those after None are ordered from best to worst.
const (
	// None shows nothing about the target, for example if the caller canceled the request.
	None Evidence = iota
	// Succeeded is a response without a server error.
	Succeeded
	// Overdue is a run that was canceled after it had taken longer than such runs usually do.
	Overdue
	// Shed is a request that the target shed without running it, although it had a free slot.
	Shed
	// ServerError is a server error or a missed deadline, which may be the fault of another service that the target called.
	ServerError
	// Broken is a broken connection, a missing response or an invalid one. Only the target itself can cause it.
	Broken
)

// evidenceWeights holds the log-likelihood ratios of one run, failing against healthy. A score is the sum over a target's
// last runs, kept within bounds. A failing target is taken to fail 60% of its requests; a healthy one breaks 1.5% of them
// and responds with a server error to 10% while a service that it calls fails.
var evidenceWeights = map[Evidence]float64{
	Succeeded:   -0.9, // ln(0.4 / 0.985)
	Overdue:     1.8,  // as for ServerError
	Shed:        1.8,  // as for ServerError
	ServerError: 1.8,  // ln(0.6 / 0.1)
	Broken:      3.7,  // ln(0.6 / 0.015)
}

// A target is suspect from suspectScore on, which one broken run or two server errors reach, until its score falls below
// clearScore. maxScore lets three successes in a row clear a target after any number of failures. A target that fails 85% of
// its requests has three such successes with a probability of 1 in 300.
const (
	suspectScore = 2.5
	clearScore   = 2
	maxScore     = 4.5
	minScore     = -0.9
)

const (
	// minTrialDelay and maxTrialDelay bound the delay between two trial requests, which doubles after each failed one.
	// Failures of targets last for some seconds, and each failed trial costs a retry.
	minTrialDelay = 100 * time.Millisecond
	maxTrialDelay = 800 * time.Millisecond
	// trialTimeout is the time after which a trial request without a result no longer delays the next one.
	trialTimeout = 2 * time.Second
	// survivalFactor is the multiple of the slowest failure's duration that a trial request must run to count as a success
	// while it is in flight, and minSurvival the minimum. A target that resets its connections does so at once.
	survivalFactor = 3
	minSurvival    = 50 * time.Millisecond
)

// State holds the health of the targets on this host. The zero value is empty. It is immutable.
type State struct {
	records fleet.Map[fleet.TargetID, record]
}

// Health returns the health of a target as judged from its last runs.
func (s State) Health(id fleet.TargetID) fleet.Health {
	r, _ := s.records.Get(id)
	return r.health()
}

// Scores returns the log-likelihood ratios of a target's last runs: failing against healthy, and shedding against healthy.
func (s State) Scores(id fleet.TargetID) (failing, shedding float64) {
	r, _ := s.records.Get(id)
	return r.failing.score, r.shedding.score
}

// AllowsTrial reports whether a target that is not healthy may take a trial request now.
func (s State) AllowsTrial(now time.Time, id fleet.TargetID) bool {
	r, _ := s.records.Get(id)
	return !now.Before(r.nextTrial)
}

// RunStarted records that a run has started. If the target is not healthy and its last run has not succeeded, no other
// trial request is allowed until this one ends or times out.
func (s State) RunStarted(now time.Time, id fleet.TargetID, attempt fleet.AttemptID) State {
	r, _ := s.records.Get(id)
	if r.health() == fleet.Healthy {
		return s
	}
	s.records = s.records.With(id, r.withTrial(now, attempt))
	return s
}

// RunFinished records what a run of the given duration shows about its target.
func (s State) RunFinished(
	now time.Time, id fleet.TargetID, attempt fleet.AttemptID, e Evidence, duration time.Duration,
) State {
	r, _ := s.records.Get(id)
	if e == None && r.health() == fleet.Healthy {
		return s
	}
	s.records = s.records.With(id, r.withRun(now, attempt, e, duration))
	return s
}

// Tick judges the runs in flight: their silence by target, and trial requests, which count as successes once they have outlasted the
// failures before them. flights holds the runs that have been silent for MinSilence or longer.
func (s State) Tick(now time.Time, flights map[fleet.TargetID][]Flight) State {
	for id, r := range s.records.All() {
		if r.trials.Len() > 0 {
			r = r.withSurvivedTrials(now)
			s.records = s.records.With(id, r)
		}
		if r.silence > 0 && len(flights[id]) == 0 {
			s.records = s.records.With(id, r.withSilence(now, nil))
		}
	}
	for id, silent := range flights {
		r, _ := s.records.Get(id)
		s.records = s.records.With(id, r.withSilence(now, silent))
	}
	return s
}

// Forget removes a target that has left or whose process has been replaced.
func (s State) Forget(id fleet.TargetID) State {
	s.records = s.records.Without(id)
	return s
}
