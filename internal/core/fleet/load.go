package fleet

import "time"

// Load is a target's load as its sidecar sees it.
type Load struct {
	InFlight int
	Queued   int
	// Slots is how many requests may run at once now; a cold target has fewer than it announced.
	Slots int
}

// Utilization returns the requests per slot. A target without slots counts as full.
func (l Load) Utilization() float64 {
	if l.Slots <= 0 {
		return 1
	}
	return float64(l.InFlight+l.Queued) / float64(l.Slots)
}

// TargetReport is what a sidecar says of a target with each reply.
type TargetReport struct {
	Target TargetID
	Load   Load
	// P95 is the target's own 95th percentile of the time a request of the class runs; 0 means not known yet.
	P95     time.Duration
	Class   Class
	Ejected bool
	Health  Health
	// ExpectedWait is how long a request of the same rank would wait for a slot.
	ExpectedWait time.Duration
	// BudgetCharged means that the target refused the attempt and counted it against its part of the retry budget all the same, so
	// that the request's next attempt may run elsewhere.
	BudgetCharged bool
	// Revision is the sidecar's tables revision.
	Revision Revision
	// Quarantined lists fingerprints that were quarantined lately.
	Quarantined []Fingerprint
}
