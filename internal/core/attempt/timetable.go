package attempt

import (
	"time"

	"jayfold.dev/jayfold/internal/core/fleet"
)

// timetable orders requests by the time at which they need attention. Two requests never share a time.
type timetable struct {
	// epoch is the first time that was entered. Differences to it do not follow steps of the wall clock.
	epoch   time.Time
	entries fleet.Map[time.Duration, fleet.RequestID]
}

// with returns the timetable with a request and the time given to it, which is the first free nanosecond from at on.
func (t timetable) with(at time.Time, id fleet.RequestID) (timetable, time.Duration) {
	if t.epoch.IsZero() {
		t.epoch = at
	}
	due := at.Sub(t.epoch)
	for _, taken := t.entries.Get(due); taken; _, taken = t.entries.Get(due) {
		due++
	}
	t.entries = t.entries.With(due, id)
	return t, due
}

func (t timetable) without(due time.Duration) timetable {
	t.entries = t.entries.Without(due)
	return t
}

// due lists the requests whose time has come, in order.
func (t timetable) due(now time.Time) []fleet.RequestID {
	var ids []fleet.RequestID
	for at, id := range t.entries.All() {
		if at > now.Sub(t.epoch) {
			break
		}
		ids = append(ids, id)
	}
	return ids
}
