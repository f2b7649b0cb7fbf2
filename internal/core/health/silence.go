package health

import (
	"time"

	"jayfold.dev/jayfold/internal/core/fleet"
)

// Flight is a run in flight on a target.
type Flight struct {
	Started time.Time
	// Silence is the time since the run started, or since the target last made a child request for it or got the response to one.
	Silence time.Duration
	// Usual is the 95th percentile of the time that such runs take; 0 if it is not known yet.
	Usual time.Duration
}

// silenceWeights holds the log-likelihood ratios of a run that is silent for a multiple of its usual time: hanging against healthy. A
// hanging target is taken to hang 60% of its requests. A target that is nearly full or has just started is slower than usual: one in
// ten runs of such a one outlasts the usual time, one in thirty 1.5 times and one in a hundred twice that time.
var silenceWeights = []struct{ multiple, weight float64 }{
	{2, 4.1},   // ln(0.6 / 0.01)
	{1.5, 3.0}, // ln(0.61 / 0.03)
	{1, 1.9},   // ln(0.64 / 0.1)
}

// MinSilence returns the shortest silence of a run that is evidence about its target, given its usual time.
func MinSilence(usual time.Duration) time.Duration {
	return time.Duration(silenceWeights[len(silenceWeights)-1].multiple * float64(usual))
}

// weight returns the evidence of one run in flight.
func (f Flight) weight() float64 {
	if f.Usual <= 0 {
		return 0
	}
	for _, step := range silenceWeights {
		if float64(f.Silence) >= step.multiple*float64(f.Usual) {
			return step.weight
		}
	}
	return 0
}

// IsOverdue reports whether a run has been silent for longer than such runs usually take.
func (f Flight) IsOverdue() bool { return f.Usual > 0 && f.Silence >= f.Usual }

// withSilence returns the record with the evidence of its runs in flight. It answers a target that accepts requests and then hangs for
// a few seconds: its failures show only when the deadlines of the requests pass, which is after the hang. A run counts only while no
// run that started later has succeeded, so that a single long run on a healthy target counts for the time of one other run.
func (r record) withSilence(now time.Time, flights []Flight) record {
	before := r.health()
	r.silence = 0
	for _, f := range flights {
		if f.Started.After(r.lastSuccessStarted) {
			r.silence += f.weight()
		}
	}
	if before == fleet.Healthy && r.health() == fleet.Silent {
		r.lastSucceeded = false
		r.nextTrial = now.Add(minTrialDelay)
	}
	return r
}

// isSilent reports whether the runs in flight show that the target hangs or is much slower than usual. Its last finished runs count
// too.
func (r record) isSilent() bool { return r.silence > 0 && r.silence+r.failing.score >= suspectScore }
