package admission

import (
	"time"

	"jayfold.dev/jayfold/internal/core/fleet"
)

const (
	// seenRetention is the minimum time for which the id of an attempt that has started is remembered. A duplicate may arrive up to
	// maxAttemptTimeout after the end of an attempt that itself lasted up to maxAttemptTimeout.
	seenRetention = 2 * maxAttemptTimeout
	// maxRefusedIDs bounds the ids of refused attempts in each of two generations, since callers can cause any number of refusals, at
	// about 0.25 KB an id: 16 MB in all. At 1,000 refusals per second an id is remembered for 33 s or longer. An ingress sends an
	// attempt once, so that a duplicate can only be a copy that was held up on its way.
	maxRefusedIDs = 1 << 15
)

// seenAttempts holds the ids of recent attempts. The number of those that have started is bounded by what the targets run.
type seenAttempts struct {
	started, refused attemptIDs
}

// withStarted returns the seen attempts with one that starts.
func (a seenAttempts) withStarted(now time.Time, id fleet.AttemptID) seenAttempts {
	a.started = a.started.with(now, id)
	return a
}

// withRefused returns the seen attempts with one that has not started.
func (a seenAttempts) withRefused(now time.Time, id fleet.AttemptID) seenAttempts {
	if a.refused.recent.Len() >= maxRefusedIDs {
		a.refused = a.refused.nextGeneration(now)
	}
	a.refused = a.refused.with(now, id)
	return a
}

// get reports whether an attempt has started and whether its id is known.
func (a seenAttempts) get(id fleet.AttemptID) (started, known bool) {
	if a.started.has(id) {
		return true, true
	}
	return false, a.refused.has(id)
}

// attemptIDs is a set of ids. It keeps two generations, so that expiry has no cost per id; an id is remembered for one to two times
// seenRetention.
type attemptIDs struct {
	recent, older   fleet.HashMap[fleet.AttemptID, struct{}]
	generationStart time.Time
}

// with returns the set with one more id.
func (s attemptIDs) with(now time.Time, id fleet.AttemptID) attemptIDs {
	if now.Sub(s.generationStart) >= seenRetention {
		s = s.nextGeneration(now)
	}
	s.recent = s.recent.With(id, struct{}{})
	return s
}

// nextGeneration returns the set without its older generation.
func (s attemptIDs) nextGeneration(now time.Time) attemptIDs {
	return attemptIDs{older: s.recent, generationStart: now}
}

func (s attemptIDs) has(id fleet.AttemptID) bool {
	if _, ok := s.recent.Get(id); ok {
		return true
	}
	_, ok := s.older.Get(id)
	return ok
}

// received reports whether an attempt has started and whether its id has been received before. Attempts that wait are known as long as they
// do, however many others are refused meanwhile.
func (s State) received(id fleet.AttemptID) (started, known bool) {
	if _, queued := s.queued.Get(id); queued {
		return false, true
	}
	return s.seen.get(id)
}
