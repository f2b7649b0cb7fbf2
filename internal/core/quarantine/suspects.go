package quarantine

import (
	"time"

	"jayfold.dev/jayfold/internal/core/fleet"
)

// Suspects is a view of the suspected and quarantined fingerprints for the checks made on each request. It contains only the
// evidence, so that a context that refers to it retains little memory.
type Suspects struct {
	evidence fleet.Map[fleet.Fingerprint, suspect]
}

// Suspects returns a view of the suspected and quarantined fingerprints.
func (s State) Suspects() Suspects { return Suspects{evidence: s.suspects} }

// Any reports whether there is evidence on any fingerprint.
func (s Suspects) Any() bool { return s.evidence.Len() > 0 }

// Quarantined reports whether requests with a fingerprint are refused.
func (s Suspects) Quarantined(now time.Time, f fleet.Fingerprint) bool {
	known, ok := s.evidence.Get(f)
	return ok && known.quarantined(now)
}

// Suspected reports whether requests with a fingerprint may have crashed a target, whether or not they are quarantined.
func (s Suspects) Suspected(now time.Time, f fleet.Fingerprint) bool {
	known, ok := s.evidence.Get(f)
	return ok && known.suspected(now)
}
