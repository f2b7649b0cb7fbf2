package orders

import (
	"time"

	"jayfold.dev/jayfold/internal/core/fleet"
)

// view is how the targets of a pool came and went in the life of this process.
type view struct {
	candidates []fleet.Candidate
	// joined says since when each present target has been there, and lost when each absent one left.
	joined fleet.Map[fleet.TargetID, time.Time]
	lost   fleet.Map[fleet.TargetID, time.Time]
}

// changed returns the view after the pool's candidates changed. Targets that left long ago are forgotten, since their
// orders are forgotten too.
func (v view) changed(now time.Time, candidates []fleet.Candidate) view {
	for _, c := range v.candidates {
		v.lost = v.lost.With(c.Target.ID, now)
	}
	before := v.joined
	v.joined = fleet.Map[fleet.TargetID, time.Time]{}
	for _, c := range candidates {
		since, known := before.Get(c.Target.ID)
		if !known {
			since = now
		}
		v.joined = v.joined.With(c.Target.ID, since)
		v.lost = v.lost.Without(c.Target.ID)
	}
	for id, left := range v.lost.All() {
		if now.Sub(left) >= Retention {
			v.lost = v.lost.Without(id)
		}
	}
	v.candidates = candidates
	return v
}

// settled reports whether no other target can have run an order with the key within Retention: the target has been there
// for that long, and no target that is or was there since ranks higher.
func (v view) settled(now time.Time, attempt fleet.Attempt) bool {
	since, present := v.joined.Get(attempt.Target)
	if !present || now.Sub(since) < Retention {
		return false
	}
	own := fleet.HomeScore(attempt.Key, attempt.Target)
	for _, c := range v.candidates {
		if fleet.HomeScore(attempt.Key, c.Target.ID) > own {
			return false
		}
	}
	for id := range v.lost.All() {
		if fleet.HomeScore(attempt.Key, id) > own {
			return false
		}
	}
	return true
}

// same reports whether two lists of candidates are one and the same. Directories share the lists that did not change.
func same(a, b []fleet.Candidate) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// watched takes in the candidates of the pools that have targets on this host.
func (s State) watched(now time.Time, directory fleet.Directory, local []fleet.Target) State {
	for _, t := range local {
		v, known := s.pools.Get(t.Pool)
		candidates := directory.Candidates(t.Pool)
		if known && same(v.candidates, candidates) {
			continue
		}
		s.pools = s.pools.With(t.Pool, v.changed(now, candidates))
	}
	return s
}
