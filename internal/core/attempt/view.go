package attempt

import (
	"time"

	"jayfold.dev/jayfold/internal/core/fleet"
)

const (
	// loadLifetime is how long a reported load is used. Requests run for a few hundred milliseconds, so an older report no longer
	// matches the target's occupied slots.
	loadLifetime = 500 * time.Millisecond
	// maxFullDuration bounds how long a target counts as full after it reported an expected wait.
	maxFullDuration = time.Second
	// suspectLifetime is how long an ingress avoids a target that was not healthy at its last report. It is about the interval
	// between two trial requests.
	suspectLifetime = 300 * time.Millisecond
	// viewLifetime is how long a target is remembered after its last report.
	viewLifetime = 10 * time.Minute
)

// targetView is what the ingress knows of a target. It is immutable.
type targetView struct {
	load      fleet.Load
	updatedAt time.Time
	// refusedUntil is the time until which the target gets no requests after a refusal that applies to every attempt on it.
	refusedUntil time.Time
	// fullUntil is when the target may have a free slot again, according to the expected wait that it reported.
	fullUntil time.Time
	// suspectUntil is the time until which the target is avoided after a report that it is not healthy, and health is the
	// reported health.
	suspectUntil time.Time
	health       fleet.Health
	cost         costView
}

// unknownView is the view of a target without reports.
var unknownView targetView

// utilization returns the requests per slot on the target before a new attempt. inFlight counts this ingress's own attempts on
// the target, and slots is the number of slots in its member record.
func (v *targetView) utilization(now time.Time, inFlight, slots int) float64 {
	if now.Before(v.fullUntil) {
		return max(v.load.Utilization(), fullUtilization)
	}
	load := v.load
	if now.Sub(v.updatedAt) > loadLifetime || load.Slots == 0 {
		load = fleet.Load{Slots: slots}
	}
	load.InFlight += inFlight
	return load.Utilization()
}
