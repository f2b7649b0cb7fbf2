package cost

import (
	"slices"
	"time"
)

// Slots predicts when the slots of a target become free.
type Slots struct {
	// free holds the expected time until each slot becomes free, in ascending order.
	free []time.Duration
}

// NewSlots returns the prediction for a target with the given number of slots and the expected remaining times of its runs. The
// first of several runs ends before the shortest of their expected times. The expected order is that of exponentially distributed
// times with these means.
func NewSlots(count int, remaining []time.Duration) Slots {
	count = max(count, 1)
	remaining = slices.Sorted(slices.Values(remaining))
	rate := 0.0
	for _, r := range remaining {
		rate += 1 / max(float64(r), 1)
	}
	free := make([]time.Duration, max(count-len(remaining), 0), max(count, len(remaining)))
	at := 0.0
	for _, r := range remaining {
		at += 1 / rate
		rate = max(rate-1/max(float64(r), 1), 1e-18)
		free = append(free, time.Duration(min(at, maxWait)))
	}
	// A target may run more than its slots after the number was reduced. The next request then starts only after several runs
	// have ended.
	return Slots{free: free[max(len(free)-count, 0):]}
}

// maxWait bounds a predicted time, in nanoseconds.
const maxWait = float64(time.Hour)

// Next returns the time until the next slot becomes free.
func (s Slots) Next() time.Duration { return s.free[0] }

// Take occupies the next free slot for the given time.
func (s Slots) Take(cost time.Duration) {
	at := min(s.free[0]+cost, time.Duration(maxWait))
	i, _ := slices.BinarySearch(s.free[1:], at)
	copy(s.free, s.free[1:1+i])
	s.free[i] = at
}
