package admission

import (
	"time"

	"jayfold.dev/jayfold/internal/core/fleet"
)

// seenRetention is how long an attempt id is known: a duplicate may come as late as the longest deadline after an attempt
// that itself took the longest deadline.
const seenRetention = 2 * maxDeadline

// seenAttempts holds the attempt ids seen lately, each with whether the attempt started. It keeps two generations, so that
// forgetting costs nothing per id: an id is known for once to twice the time.
type seenAttempts struct {
	recent, older   fleet.HashMap[fleet.AttemptID, bool]
	generationStart time.Time
}

// with returns the memory with an attempt.
func (m seenAttempts) with(now time.Time, id fleet.AttemptID, started bool) seenAttempts {
	if now.Sub(m.generationStart) >= seenRetention {
		m.older, m.recent = m.recent, fleet.HashMap[fleet.AttemptID, bool]{}
		m.generationStart = now
	}
	m.recent = m.recent.With(id, started)
	return m
}

// get returns whether an attempt started, if it is known.
func (m seenAttempts) get(id fleet.AttemptID) (started, known bool) {
	if started, known = m.recent.Get(id); known {
		return started, true
	}
	return m.older.Get(id)
}
