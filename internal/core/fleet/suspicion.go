package fleet

import "time"

// CrashSuspicion is what one node tells another of a fingerprint that was in flight when targets crashed.
type CrashSuspicion struct {
	Fingerprint Fingerprint
	// Targets are the targets that crashed, in id order; two are enough for a quarantine.
	Targets []TargetID
	// Remaining is how long the evidence still counts.
	Remaining time.Duration
	// Cleared means that requests with the fingerprint were answered since; Targets is empty then.
	Cleared bool
}
