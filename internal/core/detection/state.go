// Package detection judges the targets of one host by the real requests that they finish.
//
// # Usage
//
//	state := detection.New()
//	state, judgement := state.RunFinished(now, sample)
//	if judgement == detection.Failing { ... }
//
// Each sample becomes one bit: bad when the request failed on the target's side or took clearly longer than the pool's
// p95 for its class. While a target is in service, a CUSUM over the bits asks whether it has started to fail; while it is
// ejected, a sequential test over the bits of its trial requests asks whether it has recovered.
//
// The detector sees one target only. A burst that hits the whole pool makes every target's statistic grow at once; the
// ejection part asks the other targets before it acts, and holds back when they are failing too.
package detection

import (
	"time"

	"jayfold.dev/jayfold/internal/core/fleet"
)

// State holds one detector per target.
type State struct {
	detectors fleet.Map[fleet.TargetID, detector]
}

// Sample is one finished request.
type Sample struct {
	Target fleet.TargetID
	Class  fleet.Class
	// Failed means that it failed on the target's side.
	Failed bool
	// Canceled means that the caller or the ingress gave the request up. It counts only when it had taken too long by
	// then: a hedge cancels just the requests that a slow target holds.
	Canceled bool
	Duration time.Duration
	// Baseline is the pool's p95 for the class; 0 means not known yet.
	Baseline time.Duration
	// FalseEjectionInterval is the pool's setting.
	FalseEjectionInterval time.Duration
	// Ejected says that the target is ejected, so that the sample counts towards its return.
	Ejected bool
}

// Judgement is what the detector says of a target.
type Judgement uint8

// The judgements.
const (
	// Undecided means that nothing is to be done.
	Undecided Judgement = iota
	// Failing means that a target in service is to be ejected.
	Failing
	// Recovered means that an ejected target may return to service.
	Recovered
	// Relapsed means that an ejected target is still failing.
	Relapsed
)

// Evidence is what a judgement rests on.
type Evidence struct {
	// Samples and Bad count requests since the statistic was last zero.
	Samples    int
	BadSamples int
	// Score is the statistic; Threshold is the value at which a target in service counts as failing.
	Score     float64
	Threshold float64
	Baseline  time.Duration
	// SuspectedAt is the last time at which the target in service had a score of at least suspectScore.
	SuspectedAt time.Time
}

// suspectScore is two bad requests with at most three good ones between them.
const suspectScore = 2.6

// suspectMemory is how long a target stays suspect after its score fell. Without it, a target that fails half its requests
// looks healthy once in a hundred looks. A healthy target at 10 req/s and a bad rate of 2% is suspect 5% of the time.
const suspectMemory = 2 * time.Second

// IsSuspect reports whether the target may be failing: too little for an ejection, enough to doubt it.
func (e Evidence) IsSuspect(now time.Time) bool {
	return e.Score >= suspectScore || now.Sub(e.SuspectedAt) < suspectMemory
}

// doubtScore is one bad request with at most two good ones after it.
const doubtScore = 1.1

// RecentlyFailed reports whether the target has just failed a request, which says little of it alone.
func (e Evidence) RecentlyFailed() bool { return e.Score >= doubtScore }

// BadShare returns the share of bad requests, and 0 when none was judged.
func (e Evidence) BadShare() float64 {
	if e.Samples == 0 {
		return 0
	}
	return float64(e.BadSamples) / float64(e.Samples)
}

// baselineSlack is how much longer than the pool's p95 a request may take. Targets of one pool differ by nature: without
// the slack, a target 10% slower than its peers was ejected 4 times in 5 million requests at an interval of 8760h (trial).
const baselineSlack = 1.25

// New returns the state without any target.
func New() State { return State{} }

// RunFinished takes in a finished request.
func (s State) RunFinished(now time.Time, sample Sample) (State, Judgement) {
	if sample.Canceled && !sample.late() {
		return s, Undecided
	}
	d, _ := s.detectors.Get(sample.Target)
	d, judgement := d.observed(now, sample)
	s.detectors = s.detectors.With(sample.Target, d)
	return s, judgement
}

// bad returns the sample's bit. Without a baseline only failures count.
func (s Sample) bad() bool {
	return s.Failed || s.late()
}

func (s Sample) late() bool {
	return s.Baseline > 0 && float64(s.Duration) > baselineSlack*float64(s.Baseline)
}

// P95 returns the target's own p95 for the class; 0 means not known yet.
func (s State) P95(id fleet.TargetID, class fleet.Class) time.Duration {
	d, _ := s.detectors.Get(id)
	return d.trackers[class].p95()
}

// Evidence returns what the detector has on a target.
func (s State) Evidence(id fleet.TargetID) Evidence {
	d, _ := s.detectors.Get(id)
	return Evidence{
		Samples:     d.judged,
		BadSamples:  d.bad,
		Score:       d.score,
		Threshold:   d.threshold,
		Baseline:    d.baseline,
		SuspectedAt: d.suspected,
	}
}

// Forget drops a target's detector, because the target is gone or its process is new.
func (s State) Forget(id fleet.TargetID) State {
	s.detectors = s.detectors.Without(id)
	return s
}
