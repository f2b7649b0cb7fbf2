package attempt

import (
	"cmp"
	"slices"
	"time"

	"jayfold.dev/jayfold/internal/core/fleet"
)

const (
	// baselineInterval is the shortest time between two computations of a pool's baseline.
	baselineInterval = time.Second
	// p95Lifetime is how long a target's p95 counts after its last report.
	p95Lifetime = 10 * time.Minute
)

// baseline is the median of the targets' own p95s for one class, so that a slowdown of the whole pool moves it and a slow
// target does not. It is immutable.
type baseline struct {
	// reports holds the last report of each target, in the order of the p95s.
	reports []p95Report
	// value is 0 while no report came.
	value    time.Duration
	computed time.Time
}

type p95Report struct {
	target fleet.TargetID
	p95    time.Duration
	heard  time.Time
}

// with returns the baseline after a target's report. It forgets reports that are too old.
func (b baseline) with(now time.Time, target fleet.TargetID, p95 time.Duration) baseline {
	reports := append(make([]p95Report, 0, len(b.reports)+1), b.reports...)
	reports = slices.DeleteFunc(reports, func(r p95Report) bool {
		return r.target == target || now.Sub(r.heard) > p95Lifetime
	})
	place, _ := slices.BinarySearchFunc(reports, p95, func(r p95Report, p95 time.Duration) int { return cmp.Compare(r.p95, p95) })
	b.reports = slices.Insert(reports, place, p95Report{target: target, p95: p95, heard: now})
	if now.Sub(b.computed) >= baselineInterval {
		b.value = b.reports[len(b.reports)/2].p95
		b.computed = now
	}
	return b
}
