package orders

import (
	"time"

	"jayfold.dev/jayfold/internal/core/fleet"
)

// poolHistory holds the times at which targets of a pool have appeared and left since this node's process started.
type poolHistory struct {
	candidates []fleet.Candidate
	// presentSince holds the time at which each present target appeared, leftAt the time at which each absent one left.
	presentSince fleet.Map[fleet.TargetID, time.Time]
	leftAt       fleet.Map[fleet.TargetID, time.Time]
}

// withCandidates returns the history after a change of the pool's candidates. Targets that left Retention ago are dropped, since
// their orders have expired as well.
func (h poolHistory) withCandidates(now time.Time, candidates []fleet.Candidate) poolHistory {
	for _, c := range h.candidates {
		h.leftAt = h.leftAt.With(c.Target.ID, now)
	}
	before := h.presentSince
	h.presentSince = fleet.Map[fleet.TargetID, time.Time]{}
	for _, c := range candidates {
		since, known := before.Get(c.Target.ID)
		if !known {
			since = now
		}
		h.presentSince = h.presentSince.With(c.Target.ID, since)
		h.leftAt = h.leftAt.Without(c.Target.ID)
	}
	for id, left := range h.leftAt.All() {
		if now.Sub(left) >= Retention {
			h.leftAt = h.leftAt.Without(id)
		}
	}
	h.candidates = candidates
	return h
}

// isOnlyHome reports whether no other target can have run the order within Retention: the attempt's target has been present for
// that long, and no target present within that time has a higher home score.
func (h poolHistory) isOnlyHome(now time.Time, attempt fleet.Attempt) bool {
	since, present := h.presentSince.Get(attempt.Target)
	if !present || now.Sub(since) < Retention {
		return false
	}
	own := fleet.HomeScore(attempt.Key, attempt.Target)
	for _, c := range h.candidates {
		if fleet.HomeScore(attempt.Key, c.Target.ID) > own {
			return false
		}
	}
	for id := range h.leftAt.All() {
		if fleet.HomeScore(attempt.Key, id) > own {
			return false
		}
	}
	return true
}

// sameSlice reports whether two slices have the same backing array and length. Directories share the slices of unchanged pools.
func sameSlice(a, b []fleet.Candidate) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// withDirectory updates the histories of the pools that have targets on this host.
func (s State) withDirectory(now time.Time, directory fleet.Directory, local []fleet.Target) State {
	for _, t := range local {
		history, known := s.pools.Get(t.Pool)
		candidates := directory.Candidates(t.Pool)
		if known && sameSlice(history.candidates, candidates) {
			continue
		}
		s.pools = s.pools.With(t.Pool, history.withCandidates(now, candidates))
	}
	return s
}
