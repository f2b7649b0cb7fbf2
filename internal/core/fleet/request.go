package fleet

import "time"

// Request is a caller's request without its headers and body, which stay with the goroutine that serves the request.
type Request struct {
	ID     RequestID
	Method string
	Host   string
	// Path is the canonical path (CanonicalPath), in which routes are matched. The target receives the path as the caller sent it.
	Path   string
	Caller Caller
	// Credential is the API key that the request carries. Account is the account that holds it; the reducer sets it.
	Credential Credential
	Account    AccountName
	// Child is true if the request was accepted without an API key as a child request; the reducer sets it.
	Child bool
	// Idempotent is the value of the caller's header; absent if the caller sent none.
	Idempotent Option[bool]
	Key        IdempotencyKey
	// Parent is the request that a target was serving when it made this one; empty if the caller names none.
	Parent RequestID
	// ParentRetried is true if the parent request or one of its own ancestors was retried. If the parent is unknown, the value is
	// estimated by admission.State.ParentRetried.
	ParentRetried bool
	// Timeout is the time limit set by the caller; 0 if there is none.
	Timeout     time.Duration
	Fingerprint Fingerprint
}

// Attempt is one attempt to serve a request on one target.
type Attempt struct {
	ID     AttemptID
	Target TargetID
	Pool   PoolName
	// PoolSize is the number of the pool's targets that the ingress knows. A node that has just started knows fewer than
	// there are.
	PoolSize int
	Node     NodeID
	// Ingress is the node that forwards the attempt. It is set when the attempt is sent.
	Ingress NodeID
	// Address is the forward address of the node on the target's host.
	Address    string
	Class      Class
	Idempotent bool
	// Priority orders the attempts in a target's queue; 0 is served first.
	Priority int
	// Probe is true if the target must refuse the attempt unless it can start it at once, since other targets may be idle.
	Probe bool
	// Brief is true if the target must refuse the attempt unless its expected wait leaves enough time to its goal, since other
	// targets may complete it earlier.
	Brief bool
	// Trial is true if the attempt may test a target that has recently failed, since the request can still be retried on another.
	Trial bool
	// IsRetry is true if a target has received the request before. The attempt then counts towards the pool's retry budget.
	IsRetry bool
	// ParentRetried has the value of Request.ParentRetried. If it is true, the attempt counts towards the retry budget like a
	// retry, and may use a larger part of it.
	ParentRetried bool
	// BudgetCharged is true if another target has already charged the attempt to its share of the retry budget.
	BudgetCharged bool
	// Forced is true if no healthy target takes the request. A suspect target then does not refuse the attempt for its health,
	// unless the target is faulty, the attempt is not idempotent and no trial request is due.
	Forced bool
	Caller Caller
	// Account is the client account of the request; empty if the tables have none, for public routes and for child requests.
	Account AccountName
	// Child is true if the attempt belongs to a child request that was accepted without an API key.
	Child bool
	// Deadline is in the local time of the node that holds this value. Nodes send each other the remaining time instead.
	Deadline time.Time
	// Goal is the latest local time at which the response is of full use; zero means the deadline.
	Goal time.Time
	// Baseline is the pool's 95th percentile of the run time for the class; 0 if not known yet.
	Baseline    time.Duration
	Fingerprint Fingerprint
	Key         IdempotencyKey
}

// WithDeadline returns the attempt with the given deadline.
func (a Attempt) WithDeadline(deadline time.Time) Attempt {
	a.Deadline = deadline
	return a
}

// WithIngress returns the attempt with the given ingress.
func (a Attempt) WithIngress(ingress NodeID) Attempt {
	a.Ingress = ingress
	return a
}

// Outcome is the result of an attempt as seen by the process that waited for it.
type Outcome struct {
	// Status is the HTTP status of the response; 0 if there is none.
	Status int
	// Problem is present if the target sent no complete response or responded with a server error.
	Problem Option[Problem]
	// Duration is the time from the start to the end of the attempt.
	Duration time.Duration
	// TargetCrashed is true if the target's process died while the attempt ran. CrashCheckPending is true if this is still
	// being checked; event.CrashChecked then follows.
	TargetCrashed     bool
	CrashCheckPending bool
}

// Verdict tells whether the attempt may have run.
func (o Outcome) Verdict() Verdict {
	if problem, ok := o.Problem.Get(); ok {
		return problem.Verdict
	}
	return Ran
}
