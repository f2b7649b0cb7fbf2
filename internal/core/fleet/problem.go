package fleet

import (
	"fmt"
	"time"
)

// Cause is the kind of a Problem.
type Cause string

// The causes of refused and failed requests.
const (
	BadRequest       Cause = "BadRequest"     // the request is malformed
	TooLarge         Cause = "TooLarge"       // the body or the headers exceed their limit
	NoRoute          Cause = "NoRoute"        // no route of the tables matches
	NoTables         Cause = "NoTables"       // the node has no revision of the tables yet
	NoTarget         Cause = "NoTarget"       // the pool has no target in service
	Overloaded       Cause = "Overloaded"     // every slot and queue place is taken
	Ejected          Cause = "Ejected"        // the target is ejected
	Failing          Cause = "Failing"        // the target has just failed and takes only trials
	RetryBudgetSpent Cause = "RetryBudget"    // the pool's budget for repeated attempts is spent
	Shed             Cause = "Shed"           // the target itself refused the request without running it
	Misdirected      Cause = "Misdirected"    // another process has the target's address
	Draining         Cause = "Draining"       // the target or its node is leaving
	UnknownTarget    Cause = "UnknownTarget"  // the sidecar has no such target
	Duplicate        Cause = "Duplicate"      // the attempt was seen before
	Quarantined      Cause = "Quarantined"    // requests like this one crash targets
	DeadlinePassed   Cause = "DeadlinePassed" // the deadline passed
	Canceled         Cause = "Canceled"       // the caller went away
	Unreachable      Cause = "Unreachable"    // no connection to the node or the target
	Broken           Cause = "Broken"         // the connection broke before the whole answer came
	TargetCrashed    Cause = "TargetCrashed"  // the target's process died while the request ran
	TargetFailed     Cause = "TargetFailed"   // the target answered with a server error
	KeyConflict      Cause = "KeyConflict"    // the idempotency key is in use by another request or its outcome is unknown
)

// Problem is the error of a request or an attempt. Verdict says whether the request may have run.
type Problem struct {
	Cause   Cause
	Verdict Verdict
	Detail  string
	// RetryAfter is how long the caller should wait before it tries again; 0 means that no time is known.
	RetryAfter time.Duration
}

// NewProblem returns a problem with the given cause, verdict and detail.
func NewProblem(cause Cause, verdict Verdict, detail string) Problem {
	return Problem{Cause: cause, Verdict: verdict, Detail: detail}
}

// WithVerdict returns the problem with another verdict.
func (p Problem) WithVerdict(v Verdict) Problem {
	p.Verdict = v
	return p
}

// WithRetryAfter returns the problem with a wait before the next try.
func (p Problem) WithRetryAfter(wait time.Duration) Problem {
	p.RetryAfter = wait
	return p
}

// Error implements error.
func (p Problem) Error() string {
	return fmt.Sprintf("%s (%s): %s", p.Cause, p.Verdict, p.Detail)
}
