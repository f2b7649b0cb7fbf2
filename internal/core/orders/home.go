package orders

import (
	"time"

	"jayfold.dev/jayfold/internal/core/fleet"
)

// poolHistory is how the targets of a pool came and went in the life of this process.
type poolHistory struct {
	candidates []fleet.Candidate
	// presentSince says since when each present target has been there, and lost when each absent one left.
	presentSince fleet.Map[fleet.TargetID, time.Time]
	leftAt       fleet.Map[fleet.TargetID, time.Time]
}

// withCandidates returns the view after the pool's candidates withCandidates. Targets that left long ago are forgotten, since their
// orders are forgotten too.
func (v poolHistory) withCandidates(now time.Time, candidates []fleet.Candidate) poolHistory {
	for _, c := range v.candidates {
		v.leftAt = v.leftAt.With(c.Target.ID, now)
	}
	before := v.presentSince
	v.presentSince = fleet.Map[fleet.TargetID, time.Time]{}
	for _, c := range candidates {
		since, known := before.Get(c.Target.ID)
		if !known {
			since = now
		}
		v.presentSince = v.presentSince.With(c.Target.ID, since)
		v.leftAt = v.leftAt.Without(c.Target.ID)
	}
	for id, left := range v.leftAt.All() {
		if now.Sub(left) >= Retention {
			v.leftAt = v.leftAt.Without(id)
		}
	}
	v.candidates = candidates
	return v
}

// isOnlyHome reports whether no other target can have run an order with the key within Retention: the target has been there
// for that long, and no target that is or was there since ranks higher.
func (v poolHistory) isOnlyHome(now time.Time, attempt fleet.Attempt) bool {
	since, present := v.presentSince.Get(attempt.Target)
	if !present || now.Sub(since) < Retention {
		return false
	}
	own := fleet.HomeScore(attempt.Key, attempt.Target)
	for _, c := range v.candidates {
		if fleet.HomeScore(attempt.Key, c.Target.ID) > own {
			return false
		}
	}
	for id := range v.leftAt.All() {
		if fleet.HomeScore(attempt.Key, id) > own {
			return false
		}
	}
	return true
}

// sameSlice reports whether two lists of candidates are one and the sameSlice. Directories share the lists that did not change.
func sameSlice(a, b []fleet.Candidate) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// withDirectory takes in the candidates of the pools that have targets on this host.
func (s State) withDirectory(now time.Time, directory fleet.Directory, local []fleet.Target) State {
	for _, t := range local {
		v, known := s.pools.Get(t.Pool)
		candidates := directory.Candidates(t.Pool)
		if known && sameSlice(v.candidates, candidates) {
			continue
		}
		s.pools = s.pools.With(t.Pool, v.withCandidates(now, candidates))
	}
	return s
}
