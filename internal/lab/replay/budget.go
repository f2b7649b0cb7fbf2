package replay

import (
	"slices"
	"time"
)

// retryUsage records the times of the requests and the retries of a pool. Child requests of a retried run count as retries.
type retryUsage struct {
	requests, retries []time.Time
}

// allowsRetry reports whether one more retry stays within the retry budget.
func (u *retryUsage) allowsRetry(now time.Time) bool {
	return float64(countInWindow(u.retries, now, 0)+1) <= u.budget(now)
}

// overBudget returns the largest number of retries beyond the retry budget in any window.
func (u *retryUsage) overBudget() int {
	most := 0
	for _, at := range u.retries {
		most = max(most, countInWindow(u.retries, at, 0)-int(u.budget(at)))
	}
	return most
}

// budget returns the retry budget of the window that ends at a time. It is computed from the number of requests in that window,
// in the one before it, or in the one that overlaps both by half, whichever is largest.
func (u *retryUsage) budget(end time.Time) float64 {
	half := settings.RetryBudget.Window / 2
	requests := max(countInWindow(u.requests, end, 0), countInWindow(u.requests, end, half), countInWindow(u.requests, end, 2*half))
	return settings.RetryBudget.Ratio*float64(requests) + float64(settings.RetryBudget.Slack)
}

// countInWindow returns the number of times within the window that ends the given duration before end. The times are sorted.
func countInWindow(times []time.Time, end time.Time, before time.Duration) int {
	end = end.Add(-before)
	from, _ := slices.BinarySearchFunc(times, end.Add(-settings.RetryBudget.Window), compareAfter)
	to, _ := slices.BinarySearchFunc(times, end, compareAfter)
	return to - from
}

// compareAfter is a comparison with which a binary search finds the first time after other.
func compareAfter(at, other time.Time) int {
	if at.After(other) {
		return 1
	}
	return -1
}
