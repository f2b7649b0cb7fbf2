package attempt

import (
	"cmp"
	"slices"
	"time"

	"jayfold.dev/jayfold/internal/core/fleet"
)

const (
	// baselineInterval is the minimum time between two computations of a pool's baseline.
	baselineInterval = time.Second
	// p95Lifetime is how long a target's p95 is used after its last report.
	p95Lifetime = 10 * time.Minute
)

// baseline is the median of the targets' p95s for one class, so that a slowdown of the whole pool changes it and a single slow
// target does not. It is immutable.
type baseline struct {
	// reports holds the last report of each target, ordered by p95.
	reports []p95Report
	// value is 0 until the first report.
	value time.Duration
	// computed is the time of the last computation of value.
	computed time.Time
}

type p95Report struct {
	target     fleet.TargetID
	p95        time.Duration
	reportedAt time.Time
}

// withReport returns the baseline after a target's report, without expired reports.
func (b baseline) withReport(now time.Time, target fleet.TargetID, p95 time.Duration) baseline {
	reports := append(make([]p95Report, 0, len(b.reports)+1), b.reports...)
	reports = slices.DeleteFunc(reports, func(r p95Report) bool {
		return r.target == target || now.Sub(r.reportedAt) > p95Lifetime
	})
	i, _ := slices.BinarySearchFunc(reports, p95, func(r p95Report, p95 time.Duration) int { return cmp.Compare(r.p95, p95) })
	b.reports = slices.Insert(reports, i, p95Report{target: target, p95: p95, reportedAt: now})
	if now.Sub(b.computed) >= baselineInterval {
		b.value = b.reports[len(b.reports)/2].p95
		b.computed = now
	}
	return b
}
