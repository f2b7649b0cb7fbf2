package fleet

import "time"

// CrashSuspicion is the evidence that requests with a fingerprint crash targets, as sent between nodes.
type CrashSuspicion struct {
	Fingerprint Fingerprint
	// Targets lists, in id order, the targets that crashed while such a request was in flight. Two suffice for a quarantine.
	Targets []TargetID
	// Remaining is the time until the evidence expires.
	Remaining time.Duration
	// Cleared is true if requests with the fingerprint have received responses since. Targets is empty then.
	Cleared bool
}
