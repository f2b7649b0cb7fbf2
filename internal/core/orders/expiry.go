package orders

import (
	"time"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/fleet"
)

// sweepInterval is the interval between scans for expired records.
const sweepInterval = 10 * time.Second

// Tick updates the histories of the pools that have targets on this host, and writes a lost claim again. It drops the records of ended
// orders that have not been sent for Retention and releases their claims.
func (s State) Tick(now time.Time, directory fleet.Directory, local []fleet.Target) (State, []effect.Effect) {
	s = s.withDirectory(now, directory, local)
	s, effects := s.rewriteClaim(now)
	if now.Sub(s.lastSweep) < sweepInterval {
		return s, effects
	}
	s.lastSweep = now
	for name, r := range s.records.All() {
		if r.state == claiming || r.state == running || now.Sub(r.lastSent) < Retention {
			continue
		}
		s.records = s.records.Without(name)
		if r.claimed {
			effects = append(effects, effect.ReleaseOrderClaim{ClaimName: name, Attempt: r.attempt.ID})
		}
	}
	return s, effects
}
