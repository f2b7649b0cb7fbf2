package fleet

import "time"

// Load is a target's load as counted by its sidecar, the node on the target's host.
type Load struct {
	InFlight int
	Queued   int
	// Slots is the number of requests that may currently run at once. It is at most the reported number of slots and of
	// connections, and may be lower while a target warms up.
	Slots int
}

// Utilization returns the number of running and queued requests per slot. A target without slots counts as full.
func (l Load) Utilization() float64 {
	if l.Slots <= 0 {
		return 1
	}
	return float64(l.InFlight+l.Queued) / float64(l.Slots)
}

// TargetReport is the state of a target that its sidecar attaches to each response.
type TargetReport struct {
	Target TargetID
	Load   Load
	// P95 is the 95th percentile of the target's run time for requests of Class; 0 if not known yet.
	P95     time.Duration
	Class   Class
	Ejected bool
	Health  Health
	// ExpectedWait is the time that another request of the same priority and class would wait for a slot.
	ExpectedWait time.Duration
	// MeanTime is the mean run time of requests of Class on the target; 0 if not known or if targets are not placed by cost.
	MeanTime time.Duration
	// BudgetCharged is true if the target refused the attempt but charged it to its share of the retry budget, so that the
	// request's next attempt may run on another target without a further charge.
	BudgetCharged bool
	// Revision is the sidecar's tables revision.
	Revision Revision
	// Quarantined lists recently quarantined fingerprints.
	Quarantined []Fingerprint
}
