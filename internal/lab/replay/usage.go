package replay

import (
	"slices"
	"time"
)

// usage records when a pool got requests and when it got repeated attempts, the calls of repeated runs among them.
type usage struct {
	requests, repeats []time.Time
}

// allows reports whether one more repeated attempt keeps the retry budget.
func (u *usage) allows(now time.Time) bool {
	return float64(count(u.repeats, now, 0)+1) <= u.allowed(now)
}

// overdrawn returns the most repeated attempts beyond the retry budget in any window.
func (u *usage) overdrawn() int {
	most := 0
	for _, at := range u.repeats {
		most = max(most, count(u.repeats, at, 0)-int(u.allowed(at)))
	}
	return most
}

// allowed is the retry budget of the window that ends at a time. It follows the requests of that window, of the one before it or
// of the one between them, whichever has most.
func (u *usage) allowed(end time.Time) float64 {
	half := settings.RetryBudget.Window / 2
	requests := max(count(u.requests, end, 0), count(u.requests, end, half), count(u.requests, end, 2*half))
	return settings.RetryBudget.Ratio*float64(requests) + float64(settings.RetryBudget.Slack)
}

// count returns how many times lie within the window that ends some time before the given end. The times ascend.
func count(times []time.Time, end time.Time, before time.Duration) int {
	end = end.Add(-before)
	from, _ := slices.BinarySearchFunc(times, end.Add(-settings.RetryBudget.Window), afterwards)
	to, _ := slices.BinarySearchFunc(times, end, afterwards)
	return to - from
}

// afterwards makes a binary search find the first time after another one.
func afterwards(at, other time.Time) int {
	if at.After(other) {
		return 1
	}
	return -1
}
