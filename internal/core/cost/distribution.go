// Package cost estimates the work of requests: how long a run takes, how much of it is left at an age, and when a target with given
// runs and queued requests has a free slot.
//
// # Usage
//
//	var d cost.Distribution
//	d = d.With(120 * time.Millisecond)
//	left := d.Remaining(age)
//	slots := cost.NewSlots(4, remaining)
//	wait := slots.Next()
//
// Values are immutable, except for Slots, which is used within one decision.
package cost

import (
	"math"
	"time"
)

const (
	// meanWeight is the weight of a new run in the mean, so that it follows a target that warms up within a few runs.
	meanWeight = 1.0 / 16
	// shapeWeight is the weight of a new run in the shape. The few runs in 100 that take several times the mean must not leave it
	// before the next one.
	shapeWeight = 1.0 / 256
	// buckets is the number of buckets of the shape. bucketsPerOctave of them cover a factor of 2, from firstRatio on.
	buckets          = 16
	bucketsPerOctave = 2
	firstRatio       = 0.25
	// lateShare is the assumed remaining time of a run that has taken longer than any run in the shape, as a share of its age.
	lateShare = 0.5
)

// Distribution is the observed distribution of run times of similar requests on one target. The zero value is unknown.
//
// The mean follows the target's speed quickly. The shape, which is the distribution of the ratio of a run time to the mean, needs
// many runs and does not depend on the speed.
type Distribution struct {
	mean float64
	// shape holds the share of runs in each bucket of the ratio.
	shape [buckets]float32
}

// defaultShape is the shape before the first run: log-normal with a standard deviation of the logarithm of 1, which is common for run
// times of servers and has a heavy tail.
var defaultShape = func() (shape [buckets]float32) {
	const sigma = 1.0
	total := float32(0)
	for i := range shape {
		z := (math.Log(ratioOf(i)) + sigma*sigma/2) / sigma
		shape[i] = float32(math.Exp(-z * z / 2))
		total += shape[i]
	}
	for i := range shape {
		shape[i] /= total
	}
	return shape
}()

// ratios holds the ratio of a run time to the mean that stands for each bucket.
var ratios = func() (r [buckets]float64) {
	for i := range r {
		r[i] = ratioOf(i)
	}
	return r
}()

func ratioOf(bucket int) float64 {
	return firstRatio * math.Exp2((float64(bucket)+0.5)/bucketsPerOctave)
}

func bucketOf(ratio float64) int {
	if ratio <= firstRatio {
		return 0
	}
	return min(int(math.Log2(ratio/firstRatio)*bucketsPerOctave), buckets-1)
}

// With returns the distribution after a run.
func (d Distribution) With(run time.Duration) Distribution {
	sample := max(float64(run), 1)
	if d.mean == 0 {
		return Distribution{mean: sample, shape: defaultShape}
	}
	for i := range d.shape {
		d.shape[i] *= 1 - shapeWeight
	}
	d.shape[bucketOf(sample/d.mean)] += shapeWeight
	d.mean += meanWeight * (sample - d.mean)
	return d
}

// Mean returns the expected run time; 0 if unknown.
func (d Distribution) Mean() time.Duration { return time.Duration(d.mean) }

// Remaining returns the expected remaining time of a run of the given age; 0 if unknown.
func (d Distribution) Remaining(age time.Duration) time.Duration {
	if d.mean == 0 {
		return 0
	}
	at := max(float64(age), 0) / d.mean
	share, left := 0.0, 0.0
	for i := buckets - 1; i >= 0 && ratios[i] > at; i-- {
		share += float64(d.shape[i])
		left += float64(d.shape[i]) * (ratios[i] - at)
	}
	if share < shapeWeight {
		return time.Duration(lateShare * float64(age))
	}
	return time.Duration(left / share * d.mean)
}
