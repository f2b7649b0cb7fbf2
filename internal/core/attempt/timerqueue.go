package attempt

import (
	"time"

	"jayfold.dev/jayfold/internal/core/fleet"
)

// timerQueue orders requests by the times of their timers. No two requests share a time.
type timerQueue struct {
	// epoch is the first time that was added. Differences to it are not affected by steps of the wall clock.
	epoch   time.Time
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

// expired lists the requests whose timers have expired, in order.
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

// next returns the earliest time in the queue.
func (t timerQueue) next() (time.Time, bool) {
	for at := range t.entries.All() {
		return t.epoch.Add(at), true
	}
	return time.Time{}, false
}
