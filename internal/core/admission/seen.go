package admission

import (
	"time"

	"jayfold.dev/jayfold/internal/core/fleet"
)

// seenRetention is the minimum time for which an attempt id is remembered. A duplicate may arrive up to maxAttemptTimeout after
// the end of an attempt that itself lasted up to maxAttemptTimeout.
const seenRetention = 2 * maxAttemptTimeout

// seenAttempts holds the ids of recent attempts and whether each has started. It keeps two generations, so that expiry has no
// cost per id; an id is remembered for one to two times seenRetention.
type seenAttempts struct {
	recent, older   fleet.HashMap[fleet.AttemptID, bool]
	generationStart time.Time
}

// with returns the seen attempts with one more.
func (a seenAttempts) with(now time.Time, id fleet.AttemptID, started bool) seenAttempts {
	if now.Sub(a.generationStart) >= seenRetention {
		a.older, a.recent = a.recent, fleet.HashMap[fleet.AttemptID, bool]{}
		a.generationStart = now
	}
	a.recent = a.recent.With(id, started)
	return a
}

// get reports whether an attempt has started and whether its id is known.
func (a seenAttempts) get(id fleet.AttemptID) (started, known bool) {
	if started, known = a.recent.Get(id); known {
		return started, true
	}
	return a.older.Get(id)
}
