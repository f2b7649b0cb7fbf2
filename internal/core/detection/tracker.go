package detection

import (
	"math"
	"time"
)

// trackedQuantile is the quantile that a p95Tracker estimates.
const trackedQuantile = 0.95

// minTrackedRequests is the number of requests from which on an estimate is used. One in twenty requests exceeds the p95,
// so fewer of them do not determine it.
const minTrackedRequests = 20

// The step of a p95Tracker is maxStep at first and shrinks like stepNumerator/n down to minStep. At minStep the estimate follows
// a slowdown by a factor of 5 within 17 requests, and its standard deviation is about 10%.
const (
	stepNumerator = 5.0
	maxStep       = 0.5
	minStep       = 0.1
)

// p95Tracker estimates the p95 of a stream of durations by stochastic approximation (Robbins and Monro, 1951) on the
// logarithm, so that steps are relative.
type p95Tracker struct {
	logP95 float64
	count  int
}

func (t p95Tracker) withDuration(duration time.Duration) p95Tracker {
	logDuration := math.Log(float64(max(duration, time.Microsecond)))
	t.count++
	if t.count == 1 {
		t.logP95 = logDuration
		return t
	}
	step := min(max(stepNumerator/float64(t.count), minStep), maxStep)
	if logDuration > t.logP95 {
		t.logP95 += step * trackedQuantile
	} else {
		t.logP95 -= step * (1 - trackedQuantile)
	}
	return t
}

// p95 returns the estimate; 0 if not known yet.
func (t p95Tracker) p95() time.Duration {
	if t.count < minTrackedRequests {
		return 0
	}
	return time.Duration(math.Exp(t.logP95))
}
