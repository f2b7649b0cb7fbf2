package experiment

import (
	"time"

	"jayfold.dev/jayfold/internal/core/detection"
	"jayfold.dev/jayfold/internal/core/fleet"
)

// detector says after each request whether it takes the target for failing. It starts anew after each alarm.
type detector func(now time.Time, took time.Duration, failed bool) bool

// algorithm is a way of detection that is measured.
type algorithm struct {
	name string
	// interval is the pool's FalseEjectionInterval; 0 for the baselines, which have none.
	interval time.Duration
	// newDetector returns the detector of one target of a pool with the given p95.
	newDetector func(interval, p95 time.Duration) detector
}

var algorithms = []algorithm{
	{name: "Sicily, 8760h", interval: 8760 * time.Hour, newDetector: jayfoldDetector},
	{name: "Croatia, 24h", interval: 24 * time.Hour, newDetector: jayfoldDetector},
	{name: "five in a row", newDetector: consecutiveFailures},
	{name: "30% of 20", newDetector: failureRate},
}

const (
	sicily = iota
	croatia
)

// jayfoldDetector is the project's own detector on one target.
func jayfoldDetector(interval, p95 time.Duration) detector {
	state := detection.New()
	return func(now time.Time, took time.Duration, failed bool) bool {
		next, judgement := state.RunFinished(now, detection.Sample{
			Target:                "n1/a",
			Class:                 fleet.Lookup,
			Failed:                failed,
			Duration:              took,
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

// slowFactor is how much longer than the pool's p95 a request takes before the baselines count it as failed. It is that of
// jayfold's detector, so that the baselines are judged by their rule and not by their idea of a failure.
const slowFactor = 1.25

func isBad(took, p95 time.Duration, failed bool) bool {
	return failed || float64(took) > slowFactor*float64(p95)
}

// consecutiveFailures is the usual baseline: five failures without a success between them.
func consecutiveFailures(_, p95 time.Duration) detector {
	const limit = 5
	row := 0
	return func(_ time.Time, took time.Duration, failed bool) bool {
		if !isBad(took, p95, failed) {
			row = 0
			return false
		}
		row++
		if row < limit {
			return false
		}
		row = 0
		return true
	}
}

// failureRate is the other usual baseline: a share of the requests of a window failed.
func failureRate(_, p95 time.Duration) detector {
	const window, limit = 20, 6
	var bits [window]bool
	seen, bad := 0, 0
	return func(_ time.Time, took time.Duration, failed bool) bool {
		i := seen % window
		if bits[i] {
			bad--
		}
		bits[i] = isBad(took, p95, failed)
		if bits[i] {
			bad++
		}
		seen++
		if seen < window || bad < limit {
			return false
		}
		bits = [window]bool{}
		seen, bad = 0, 0
		return true
	}
}
