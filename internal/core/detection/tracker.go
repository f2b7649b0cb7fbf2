package detection

import (
	"math"
	"time"
)

// trackedQuantile is the quantile that a tracker follows.
const trackedQuantile = 0.95

// minTracked is the number of requests after which a tracker's value is used. One in twenty exceeds the p95, so fewer say
// nothing of it.
const minTracked = 20

// The step of a tracker shrinks like firstStep/n down to minStep. At minStep the value follows a slowdown of 5x within 17
// requests, and its standard deviation is about 10%.
const (
	firstStep = 5.0
	maxStep   = 0.5
	minStep   = 0.1
)

// tracker follows the p95 of a stream of durations by stochastic approximation (Robbins and Monro, 1951) on the
// logarithm, so that steps are relative.
type tracker struct {
	log   float64
	count int
}

func (t tracker) observed(took time.Duration) tracker {
	x := math.Log(float64(max(took, time.Microsecond)))
	t.count++
	if t.count == 1 {
		t.log = x
		return t
	}
	step := min(max(firstStep/float64(t.count), minStep), maxStep)
	if x > t.log {
		t.log += step * trackedQuantile
	} else {
		t.log -= step * (1 - trackedQuantile)
	}
	return t
}

// p95 returns the value; 0 means not known yet.
func (t tracker) p95() time.Duration {
	if t.count < minTracked {
		return 0
	}
	return time.Duration(math.Exp(t.log))
}
