package attempt

import (
	"time"

	"jayfold.dev/jayfold/internal/core/fleet"
)

const (
	// loadLifetime is how long a reported load is used. Requests take some hundred milliseconds, so an older load no longer
	// describes the target's slots.
	loadLifetime = 500 * time.Millisecond
	// maxFullDuration bounds how long a target counts as full after it reported an expected wait.
	maxFullDuration = time.Second
	// suspectLifetime is how long an ingress avoids a target that was not healthy at its last report. It is about the delay
	// between two trial requests.
	suspectLifetime = 300 * time.Millisecond
	// viewLifetime is how long a target is remembered after its last report.
	viewLifetime = 10 * time.Minute
)

// targetView is what the ingress knows of a target. It is immutable.
type targetView struct {
	load      fleet.Load
	updatedAt time.Time
	// refusedUntil is set when the target refuses as ejected, draining or unknown.
	refusedUntil time.Time
	// fullUntil is when the target may have a free slot again, according to the expected wait that it reported.
	fullUntil time.Time
	// suspectUntil is set when the target is reported as not healthy, and health is what was reported then.
	suspectUntil time.Time
	health       fleet.Health
}

// unknownView is the view of a target without reports.
var unknownView targetView

// utilization returns the requests per slot that a new attempt would find. inFlight counts this ingress's own attempts on
// the target, and slots is the number in its member record.
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
