package experiment

import (
	"time"

	"jayfold.dev/jayfold/internal/core/detection"
	"jayfold.dev/jayfold/internal/core/fleet"
)

// detector takes the outcome of a request and reports whether the target is failing. It resets its state after each alarm.
type detector func(now time.Time, duration time.Duration, failed bool) bool

// algorithm is a detection algorithm under comparison.
type algorithm struct {
	name string
	// interval is the FalseEjectionInterval of the pool. The baseline detectors have no such setting; theirs is 0.
	interval time.Duration
	// newDetector returns a detector for one target of a pool with the given p95.
	newDetector func(interval, p95 time.Duration) detector
}

var algorithms = []algorithm{
	{name: "Sicily, 8760h", interval: 8760 * time.Hour, newDetector: jayfoldDetector},
	{name: "Croatia, 24h", interval: 24 * time.Hour, newDetector: jayfoldDetector},
	{name: "five in a row", newDetector: consecutiveFailures},
	{name: "30% of 20", newDetector: failureRate},
}

// The indices of the two settings of jayfold in algorithms.
const (
	sicily = iota
	croatia
)

// jayfoldDetector runs the production detector of jayfold on one target.
func jayfoldDetector(interval, p95 time.Duration) detector {
	state := detection.New()
	return func(now time.Time, duration time.Duration, failed bool) bool {
		next, judgement := state.RunFinished(now, detection.Sample{
			Target:                "n1/a",
			Class:                 fleet.Lookup,
			Failed:                failed,
			Duration:              duration,
			Baseline:              p95,
			FalseEjectionInterval: interval,
		})
		state = next
		if judgement != detection.Failing {
			return false
		}
		state = state.Forget("n1/a")
		return true
	}
}

// slowFactor is the multiple of the pool's p95 above which the baseline detectors count a request as bad. The detector of jayfold
// uses the same factor, so that the comparison covers the detection rules and not the definition of a bad request.
const slowFactor = 1.25

func isBad(duration, p95 time.Duration, failed bool) bool {
	return failed || float64(duration) > slowFactor*float64(p95)
}

// consecutiveFailures returns a common detector, used as a baseline: it reports five consecutive bad requests.
func consecutiveFailures(_, p95 time.Duration) detector {
	const limit = 5
	bad := 0
	return func(_ time.Time, duration time.Duration, failed bool) bool {
		if !isBad(duration, p95, failed) {
			bad = 0
			return false
		}
		bad++
		if bad < limit {
			return false
		}
		bad = 0
		return true
	}
}

// failureRate returns a common detector, used as a baseline: it reports 6 bad requests among the last 20.
func failureRate(_, p95 time.Duration) detector {
	const window, limit = 20, 6
	var outcomes [window]bool
	seen, bad := 0, 0
	return func(_ time.Time, duration time.Duration, failed bool) bool {
		i := seen % window
		if outcomes[i] {
			bad--
		}
		outcomes[i] = isBad(duration, p95, failed)
		if outcomes[i] {
			bad++
		}
		seen++
		if seen < window || bad < limit {
			return false
		}
		outcomes = [window]bool{}
		seen, bad = 0, 0
		return true
	}
}
