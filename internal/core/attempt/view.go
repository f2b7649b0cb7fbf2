package attempt

import (
	"time"

	"jayfold.dev/jayfold/internal/core/fleet"
)

const (
	// loadLifetime is how long a reported load counts. Requests take some hundred milliseconds, so that an older one says
	// nothing of the target's slots now.
	loadLifetime = 500 * time.Millisecond
	// longestFull bounds how long a target counts as full by what it said of its queue.
	longestFull = time.Second
	// suspicionLifetime is how long an ingress passes over a target that was not healthy when it last answered. It is about
	// the pause between two trials.
	suspicionLifetime = 300 * time.Millisecond
	// viewLifetime is how long a target is remembered after its last report.
	viewLifetime = 10 * time.Minute
)

// view is what the ingress knows of a target. It is immutable.
type view struct {
	load  fleet.Load
	heard time.Time
	// refusedUntil is set when the target refused as ejected, draining or unknown.
	refusedUntil time.Time
	// fullUntil is when the target may have a free slot again, by the queue that it named.
	fullUntil time.Time
	// suspectUntil is set when the target was not healthy, and health is what it was then.
	suspectUntil time.Time
	health       fleet.Health
}

// unknownView is the view of a target of which nothing was heard yet.
var unknownView view

// share returns the requests per slot that a new attempt would find, given this ingress's own attempts in flight.
func (v *view) share(now time.Time, own, announced int) float64 {
	if now.Before(v.fullUntil) {
		return max(v.load.Utilization(), full)
	}
	load := v.load
	if now.Sub(v.heard) > loadLifetime || load.Slots == 0 {
		load = fleet.Load{Slots: announced}
	}
	load.InFlight += own
	return load.Utilization()
}
