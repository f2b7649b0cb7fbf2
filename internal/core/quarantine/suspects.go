package quarantine

import (
	"time"

	"jayfold.dev/jayfold/internal/core/fleet"
)

// Suspects is what the other parts ask of each request. It is small, so that a context of theirs holds on to little.
type Suspects struct {
	known fleet.Map[fleet.Fingerprint, suspect]
}

// Suspects returns the fingerprints that are suspected or quarantined.
func (s State) Suspects() Suspects { return Suspects{known: s.suspects} }

// Any reports whether there may be any.
func (s Suspects) Any() bool { return s.known.Len() > 0 }

// Quarantined reports whether requests with a fingerprint are refused.
func (s Suspects) Quarantined(now time.Time, f fleet.Fingerprint) bool {
	known, ok := s.known.Get(f)
	return ok && known.quarantined(now)
}

// Suspected reports whether a request with this fingerprint may have crashed a target, quarantined or not.
func (s Suspects) Suspected(now time.Time, f fleet.Fingerprint) bool {
	known, ok := s.known.Get(f)
	return ok && known.suspected(now)
}
