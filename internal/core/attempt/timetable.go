package attempt

import (
	"time"

	"jayfold.dev/jayfold/internal/core/fleet"
)

// timetable orders requests by the time at which they need attention. Two requests never share a time.
type timetable struct {
	entries fleet.Map[int64, fleet.RequestID]
}

// with returns the timetable with a request and the time given to it, which is the first free nanosecond from at on.
func (t timetable) with(at time.Time, id fleet.RequestID) (timetable, int64) {
	due := at.UnixNano()
	for _, taken := t.entries.Get(due); taken; _, taken = t.entries.Get(due) {
		due++
	}
	return timetable{entries: t.entries.With(due, id)}, due
}

func (t timetable) without(due int64) timetable {
	return timetable{entries: t.entries.Without(due)}
}

// due lists the requests whose time has come, in order.
func (t timetable) due(now time.Time) []fleet.RequestID {
	var ids []fleet.RequestID
	for at, id := range t.entries.All() {
		if at > now.UnixNano() {
			break
		}
		ids = append(ids, id)
	}
	return ids
}
