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
	TooLarge         Cause = "TooLarge"       // the body or the headers exceed their size limit
	NoRoute          Cause = "NoRoute"        // no route matches
	Unauthorized     Cause = "Unauthorized"   // the request has no API key of a client account
	UnknownParent    Cause = "UnknownParent"  // the request has no API key and names a parent that has not run on this host
	OverCap          Cause = "OverCap"        // the client account has used up its rate and burst
	NoTables         Cause = "NoTables"       // the node has no tables yet
	NoTarget         Cause = "NoTarget"       // the pool has no target in service
	Overloaded       Cause = "Overloaded"     // no slot is free and the request is not queued
	Ejected          Cause = "Ejected"        // the target is ejected
	Failing          Cause = "Failing"        // the target has recently failed and takes only trial requests
	RetryBudgetSpent Cause = "RetryBudget"    // the pool's retry budget is spent
	Shed             Cause = "Shed"           // the target shed the request without running it
	Misdirected      Cause = "Misdirected"    // another process has taken over the target's address
	Draining         Cause = "Draining"       // the target or its node is draining
	UnknownTarget    Cause = "UnknownTarget"  // the sidecar has no such target
	Duplicate        Cause = "Duplicate"      // the attempt has been received before
	Quarantined      Cause = "Quarantined"    // requests with this fingerprint crash targets
	DeadlinePassed   Cause = "DeadlinePassed" // the deadline passed
	Canceled         Cause = "Canceled"       // the caller disconnected
	BodyStalled      Cause = "BodyStalled"    // the ingress did not send the body in time
	Unreachable      Cause = "Unreachable"    // the node or the target cannot be connected to
	Broken           Cause = "Broken"         // the connection broke before the response was complete
	TargetCrashed    Cause = "TargetCrashed"  // the target's process died while the request ran
	TargetFailed     Cause = "TargetFailed"   // the target returned a server error
	KeyConflict      Cause = "KeyConflict"    // another request uses the idempotency key, or the order may have run before
	InternalError    Cause = "InternalError"  // this node failed unexpectedly
)

// Problem is the error of a request or an attempt. Verdict tells whether the request may have run.
type Problem struct {
	Cause   Cause
	Verdict Verdict
	Detail  string
	// RetryAfter is the time that the caller should wait before it retries; 0 if unknown.
	RetryAfter time.Duration
}

// NewProblem returns a problem with the given cause, verdict and detail.
func NewProblem(cause Cause, verdict Verdict, detail string) Problem {
	return Problem{Cause: cause, Verdict: verdict, Detail: detail}
}

// WithVerdict returns the problem with the given verdict.
func (p Problem) WithVerdict(v Verdict) Problem {
	p.Verdict = v
	return p
}

// WithRetryAfter returns the problem with the given time to wait before a retry.
func (p Problem) WithRetryAfter(wait time.Duration) Problem {
	p.RetryAfter = wait
	return p
}

// Error implements error.
func (p Problem) Error() string {
	return fmt.Sprintf("%s (%s): %s", p.Cause, p.Verdict, p.Detail)
}
