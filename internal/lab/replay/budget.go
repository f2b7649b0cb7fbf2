package replay

import (
	"slices"
	"time"
)

// retryUsage records when a pool got requests and when it got repeated attempts, the calls of repeated runs among them.
type retryUsage struct {
	requests, retries []time.Time
}

// allowsRetry reports whether one more repeated attempt keeps the retry budget.
func (u *retryUsage) allowsRetry(now time.Time) bool {
	return float64(countInWindow(u.retries, now, 0)+1) <= u.budget(now)
}

// overBudget returns the most repeated attempts beyond the retry budget in any window.
func (u *retryUsage) overBudget() int {
	most := 0
	for _, at := range u.retries {
		most = max(most, countInWindow(u.retries, at, 0)-int(u.budget(at)))
	}
	return most
}

// budget is the retry budget of the window that ends at a time. It follows the requests of that window, of the one before it or
// of the one between them, whichever has most.
func (u *retryUsage) budget(end time.Time) float64 {
	half := settings.RetryBudget.Window / 2
	requests := max(countInWindow(u.requests, end, 0), countInWindow(u.requests, end, half), countInWindow(u.requests, end, 2*half))
	return settings.RetryBudget.Ratio*float64(requests) + float64(settings.RetryBudget.Slack)
}

// countInWindow returns how many times lie within the window that ends some time before the given end. The times ascend.
func countInWindow(times []time.Time, end time.Time, before time.Duration) int {
	end = end.Add(-before)
	from, _ := slices.BinarySearchFunc(times, end.Add(-settings.RetryBudget.Window), compareAfter)
	to, _ := slices.BinarySearchFunc(times, end, compareAfter)
	return to - from
}

// compareAfter makes a binary search find the first time after another one.
func compareAfter(at, other time.Time) int {
	if at.After(other) {
		return 1
	}
	return -1
}
