// Package health keeps work that cannot be repeated away from a target within one or two failures, long before the
// evidence suffices for an ejection.
//
// A target counts as faulty from the first failure that a healthy one hardly ever has, until a few requests in a row have
// succeeded. While it is faulty it takes only trials: requests that may run again elsewhere, one at a time and with a
// growing pause between them. One that only refuses requests counts as shedding: it is asked after others, but since what it
// refuses has not run, it takes as many as it will when no other target is left. Nothing is promised to anyone and no other node
// is asked, so that a wrong suspicion costs one more try of a request elsewhere and ends with the next successes; a target that
// fails for long is ejected under leases.
//
// # Usage
//
//	state = state.RunStarted(now, target, attempt)
//	state = state.RunFinished(now, target, attempt, health.Broken, duration)
//	state = state.Tick(now)
//	if state.Health(target) == fleet.Faulty && !state.AllowsTrial(now, target) { ... }
package health

import (
	"time"

	"jayfold.dev/jayfold/internal/core/fleet"
)

// Evidence is what one finished request says of its target.
type Evidence uint8

// The evidence, from the best to the worst.
const (
	// None says nothing of the target, such as a request that its caller gave up.
	None Evidence = iota
	// Succeeded is an answer that is no server error.
	Succeeded
	// Shed is a refusal of a request that did not run, although the target had a free slot for it.
	Shed
	// ServerError is a server error, which may be the fault of another service that the target called.
	ServerError
	// Broken is a connection that broke, silence, or bytes that are no answer: only the target itself can cause it.
	Broken
)

// A score of a target is the log-likelihood ratio of its last requests, failing against healthy, within bounds. A failing
// target is taken to fail 60% of its requests; a healthy one breaks 1.5% and answers 10% with a server error while a
// service behind it fails.
var weights = map[Evidence]float64{
	Succeeded:   -0.9, // ln(0.4 / 0.985)
	Shed:        1.8,  // like an error
	ServerError: 1.8,  // ln(0.6 / 0.1)
	Broken:      3.7,  // ln(0.6 / 0.015)
}

// A target is faulty or shedding from suspectScore on, which one break or two errors reach, until the score is below clearScore.
// The highest score leaves three successes to the clearing: a target that fails 85% of its requests passes them once in 300.
const (
	suspectScore = 2.5
	clearScore   = 2
	highestScore = 4.5
	lowestScore  = -0.9
)

const (
	// firstPause and longestPause bound the time between two trials, which doubles with each failed one. Failures of the
	// platform's targets last for some seconds, and each trial costs a repeated request.
	firstPause   = 100 * time.Millisecond
	longestPause = 800 * time.Millisecond
	// trialTimeout is when a trial without a result no longer keeps others back.
	trialTimeout = 2 * time.Second
	// survivalFactor is how many times as long as the failures before it a trial must run to count as a success while it
	// goes on, and leastSurvival the shortest time for that: a target that resets its connections does so at once.
	survivalFactor = 3
	leastSurvival  = 50 * time.Millisecond
)

// State holds what is known of the targets on this host. Its zero value knows of none. It is immutable.
type State struct {
	records fleet.Map[fleet.TargetID, record]
}

// Health returns what the last requests of a target say of it.
func (s State) Health(id fleet.TargetID) fleet.Health {
	r, _ := s.records.Get(id)
	return r.health()
}

// Scores returns the log-likelihood ratios of a target's last requests: failing against healthy, and shedding against healthy.
func (s State) Scores(id fleet.TargetID) (failing, shedding float64) {
	r, _ := s.records.Get(id)
	return r.failing.score, r.shedding.score
}

// AllowsTrial reports whether a target that is not healthy takes a trial now.
func (s State) AllowsTrial(now time.Time, id fleet.TargetID) bool {
	r, _ := s.records.Get(id)
	return !now.Before(r.next)
}

// RunStarted notes that a request started on a target. While the target is not healthy no other trial follows until one has
// succeeded.
func (s State) RunStarted(now time.Time, id fleet.TargetID, attempt fleet.AttemptID) State {
	r, _ := s.records.Get(id)
	if r.health() == fleet.Healthy {
		return s
	}
	s.records = s.records.With(id, r.tried(now, attempt))
	return s
}

// RunFinished takes in what a request that took some time says of its target.
func (s State) RunFinished(
	now time.Time, id fleet.TargetID, attempt fleet.AttemptID, e Evidence, took time.Duration,
) State {
	r, known := s.records.Get(id)
	if e == None && r.health() == fleet.Healthy || !known && e == Succeeded {
		return s
	}
	s.records = s.records.With(id, r.finished(now, attempt, e, took))
	return s
}

// Tick counts the trials that have outlived the failures before them.
func (s State) Tick(now time.Time) State {
	for id, r := range s.records.All() {
		if r.trials.Len() == 0 {
			continue
		}
		s.records = s.records.With(id, r.outlived(now))
	}
	return s
}

// Forget drops what is known of a target, because it is gone or its process is new.
func (s State) Forget(id fleet.TargetID) State {
	s.records = s.records.Without(id)
	return s
}
