package attempt

import (
	"time"

	"jayfold.dev/jayfold/internal/core/fleet"
)

// timerQueue holds requests ordered by the time at which their timers expire. Each request has its own key.
type timerQueue struct {
	// epoch is the first time that was added. Differences from it are not affected by steps of the wall clock.
	epoch time.Time
	// entries maps the time since epoch to the request whose timer then expires.
	entries fleet.Map[time.Duration, fleet.RequestID]
}

// with returns the queue with a timer for a request, and the timer's key, which is the first free nanosecond from at on.
func (t timerQueue) with(at time.Time, id fleet.RequestID) (timerQueue, time.Duration) {
	if t.epoch.IsZero() {
		t.epoch = at
	}
	key := at.Sub(t.epoch)
	for _, taken := t.entries.Get(key); taken; _, taken = t.entries.Get(key) {
		key++
	}
	t.entries = t.entries.With(key, id)
	return t, key
}

func (t timerQueue) without(key time.Duration) timerQueue {
	t.entries = t.entries.Without(key)
	return t
}

// expired returns the requests whose timers have expired, earliest first.
func (t timerQueue) expired(now time.Time) []fleet.RequestID {
	var ids []fleet.RequestID
	for at, id := range t.entries.All() {
		if at > now.Sub(t.epoch) {
			break
		}
		ids = append(ids, id)
	}
	return ids
}

// next returns the earliest time in the queue, and false if the queue is empty.
func (t timerQueue) next() (time.Time, bool) {
	for at := range t.entries.All() {
		return t.epoch.Add(at), true
	}
	return time.Time{}, false
}
