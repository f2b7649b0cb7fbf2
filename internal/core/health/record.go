package health

import (
	"time"

	"jayfold.dev/jayfold/internal/core/fleet"
)

// record is the recent history of one target.
type record struct {
	failing, shedding gauge
	// pause is the time between trials; next is when the next one may start.
	pause time.Duration
	next  time.Time
	// succeeding means that the last request succeeded.
	succeeding bool
	// failedAfter is the longest that a request took to fail since the target was healthy.
	failedAfter time.Duration
	trials      fleet.Map[fleet.AttemptID, trial]
}

// gauge is one score of a target with what follows from it.
type gauge struct {
	score   float64
	reached bool
}

// plus returns the gauge after one more piece of evidence.
func (g gauge) plus(weight float64) gauge {
	g.score = min(max(g.score+weight, lowestScore), highestScore)
	switch {
	case g.score >= suspectScore:
		g.reached = true
	case g.score < clearScore:
		g.reached = false
	}
	return g
}

func (r record) health() fleet.Health {
	switch {
	case r.failing.reached:
		return fleet.Faulty
	case r.shedding.reached:
		return fleet.Shedding
	default:
		return fleet.Healthy
	}
}

// trial is a request that runs on a target that is not healthy.
type trial struct {
	started time.Time
	// counted means that the trial has counted as a success while it ran.
	counted bool
}

// tried returns the record after a trial started. Trials that follow a success may run beside one another.
func (r record) tried(now time.Time, attempt fleet.AttemptID) record {
	r.trials = r.trials.With(attempt, trial{started: now})
	if !r.succeeding {
		r.next = now.Add(trialTimeout)
	}
	return r
}

// finished returns the record after one more request. A trial that has counted as a success does not count again as one.
func (r record) finished(now time.Time, attempt fleet.AttemptID, e Evidence, took time.Duration) record {
	t, _ := r.trials.Get(attempt)
	r.trials = r.trials.Without(attempt)
	switch {
	case t.counted && e == Succeeded:
		return r
	case e == None, e == Succeeded:
		return r.scored(now, e)
	default:
		r.failedAfter = max(r.failedAfter, took)
		return r.scored(now, e)
	}
}

// outlived returns the record with a success for each trial that has run clearly longer than the failures before it.
func (r record) outlived(now time.Time) record {
	enough := max(survivalFactor*r.failedAfter, leastSurvival)
	for attempt, t := range r.trials.All() {
		if t.counted || now.Sub(t.started) < enough {
			continue
		}
		t.counted = true
		r.trials = r.trials.With(attempt, t)
		r = r.scored(now, Succeeded)
	}
	return r
}

// scored returns the record with one more piece of evidence.
func (r record) scored(now time.Time, e Evidence) record {
	weight := weights[e]
	if e != Shed {
		r.failing = r.failing.plus(weight)
	}
	if e == Shed || e == Succeeded {
		r.shedding = r.shedding.plus(weight)
	}
	switch e {
	case Succeeded, None:
		// The next trial may follow at once.
		r.succeeding = e == Succeeded
		r.next = now
	default:
		r.succeeding = false
		r.pause = min(max(2*r.pause, firstPause), longestPause)
		r.next = now.Add(r.pause)
	}
	if r.health() == fleet.Healthy {
		r.pause, r.failedAfter = 0, 0
		r.trials = fleet.Map[fleet.AttemptID, trial]{}
	}
	return r
}
