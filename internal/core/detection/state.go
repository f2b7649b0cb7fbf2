// Package detection implements outlier detection for the targets of one host. It judges them by the requests that they serve.
//
// # Usage
//
//	state := detection.New()
//	state, judgement := state.RunFinished(now, sample)
//	if judgement == detection.Failing { ... }
//
// Each sample is reduced to one bit: a request is bad if it failed on the target's side or took clearly longer than the
// pool's p95 for its class. While a target is in service, a CUSUM over the bits tests whether it has started to fail;
// while it is ejected, a sequential test over the bits of its trial requests tests whether it has recovered.
//
// A detector considers a single target. A burst of failures that affects a whole pool raises the scores of all its targets at
// once. Package ejection therefore asks other targets of the pool before it ejects one, and does not eject while they are
// failing too.
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
	// Failed is true if the request failed on the target's side.
	Failed bool
	// Canceled is true if the caller or the ingress canceled the request. Such a request counts only if it had already taken
	// too long. Those must count, because hedged attempts cause the cancellation of the very requests that a slow target holds.
	Canceled bool
	Duration time.Duration
	// Baseline is the pool's p95 for the class; 0 if not known yet.
	Baseline time.Duration
	// FalseEjectionInterval is the pool's accepted mean time between false ejections of one target.
	FalseEjectionInterval time.Duration
	// Ejected is true if the target is ejected. The sample then counts towards its return to service.
	Ejected bool
}

// Judgement is the detector's conclusion about a target.
type Judgement uint8

// The judgements.
const (
	// Undecided requires no action.
	Undecided Judgement = iota
	// Failing is the judgement on a target in service that is to be ejected.
	Failing
	// Recovered is the judgement on an ejected target that may return to service.
	Recovered
	// Relapsed is the judgement on an ejected target that still fails.
	Relapsed
)

// Evidence holds the statistics behind a judgement.
type Evidence struct {
	// Samples and BadSamples count requests since the score was last reset to zero.
	Samples    int
	BadSamples int
	// Score is the test statistic. Threshold is the score at which a target in service is judged failing.
	Score     float64
	Threshold float64
	Baseline  time.Duration
	// SuspectedAt is the time of the last bad request in service after which the score was at least suspectScore.
	SuspectedAt time.Time
}

// suspectScore corresponds to two bad requests with at most three good ones between them.
const suspectScore = 2.6

// suspectHold is how long a target stays suspect after SuspectedAt, even if its score falls. Without it, a target that fails half
// of its requests looks healthy in one of a hundred checks. A healthy target at 10 req/s with a bad rate of 2% is suspect 5% of
// the time.
const suspectHold = 2 * time.Second

// IsSuspect reports whether the target may be failing, on evidence that would be too weak for an ejection.
func (e Evidence) IsSuspect(now time.Time) bool {
	return e.Score >= suspectScore || now.Sub(e.SuspectedAt) < suspectHold
}

// recentFailureScore corresponds to one bad request with at most two good ones after it.
const recentFailureScore = 1.1

// RecentlyFailed reports whether the target has just failed a request, which is weak evidence by itself.
func (e Evidence) RecentlyFailed() bool { return e.Score >= recentFailureScore }

// BadShare returns the share of bad requests; 0 if there are no samples.
func (e Evidence) BadShare() float64 {
	if e.Samples == 0 {
		return 0
	}
	return float64(e.BadSamples) / float64(e.Samples)
}

// baselineSlack is the multiple of the pool's p95 that a request may take. The targets of a pool differ in speed: without
// the slack, a target 10% slower than its peers was ejected 4 times in 5 million requests at a false ejection interval of
// 8760h.
const baselineSlack = 1.25

// New returns an empty state.
func New() State { return State{} }

// RunFinished adds a finished request to the statistics of its target and returns the judgement on the target.
func (s State) RunFinished(now time.Time, sample Sample) (State, Judgement) {
	if sample.Canceled && !sample.isSlow() {
		return s, Undecided
	}
	d, _ := s.detectors.Get(sample.Target)
	d, judgement := d.withSample(now, sample)
	s.detectors = s.detectors.With(sample.Target, d)
	return s, judgement
}

// isBad reports whether the request counts as bad. Without a baseline only failures count.
func (s Sample) isBad() bool {
	return s.Failed || s.isSlow()
}

func (s Sample) isSlow() bool {
	return s.Baseline > 0 && float64(s.Duration) > baselineSlack*float64(s.Baseline)
}

// P95 returns the target's own p95 for the class; 0 if not known yet.
func (s State) P95(id fleet.TargetID, class fleet.Class) time.Duration {
	d, _ := s.detectors.Get(id)
	return d.trackers[class].p95()
}

// Evidence returns the statistics of a target.
func (s State) Evidence(id fleet.TargetID) Evidence {
	d, _ := s.detectors.Get(id)
	return Evidence{
		Samples:     d.samples,
		BadSamples:  d.badSamples,
		Score:       d.score,
		Threshold:   d.threshold,
		Baseline:    d.baseline,
		SuspectedAt: d.suspectedAt,
	}
}

// Forget removes a target that has left or whose process has been replaced.
func (s State) Forget(id fleet.TargetID) State {
	s.detectors = s.detectors.Without(id)
	return s
}
