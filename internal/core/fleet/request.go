package fleet

import "time"

// Request is a caller's request without its headers and body, which stay with the traffic goroutine.
type Request struct {
	ID     RequestID
	Method string
	Host   string
	Path   string
	Caller Caller
	// Idempotent is what the caller's header says.
	Idempotent Option[bool]
	Key        IdempotencyKey
	// Parent is the request during whose run a target makes this one; empty where the caller names none.
	Parent RequestID
	// ParentRetried means that the request is a call of another one that was repeated.
	ParentRetried bool
	// Timeout is the caller's own limit; 0 means none.
	Timeout     time.Duration
	Fingerprint Fingerprint
}

// Attempt is one try at a request on one target.
type Attempt struct {
	ID     AttemptID
	Target TargetID
	Pool   PoolName
	// PoolSize is the number of targets of the pool that the ingress knows. A node that has just started knows fewer.
	PoolSize int
	Node     NodeID
	// Address is the forward address of the node on the target's host.
	Address    string
	Class      Class
	Idempotent bool
	// Priority orders attempts that wait for one target; 0 goes first.
	Priority int
	// Probe means that the attempt is to be refused where it cannot start at once, since other targets may be idle.
	Probe bool
	// Trial means that the request may go to a target that has just failed: it can run again elsewhere in time.
	Trial bool
	// IsRetry means that a target got the request before, so that the attempt counts towards the pool's retry budget.
	IsRetry bool
	// ParentRetried means that the request is a call made by another one that was repeated. It counts towards the budget like a
	// repeated one, and may use more of it.
	ParentRetried bool
	// BudgetCharged means that another target has counted the attempt against its own part of the retry budget.
	BudgetCharged bool
	// Forced means that no healthy target is left, so that suspicion alone refuses nothing.
	Forced bool
	Caller Caller
	// Deadline is in the time of the node that holds this value; it travels as the remaining budget.
	Deadline time.Time
	// Goal is when the answer is due for its full use, in the same time; zero means the deadline.
	Goal time.Time
	// Baseline is the pool's p95 for the class; 0 means not known yet.
	Baseline    time.Duration
	Fingerprint Fingerprint
	Key         IdempotencyKey
}

// WithDeadline returns the attempt with another deadline.
func (a Attempt) WithDeadline(deadline time.Time) Attempt {
	a.Deadline = deadline
	return a
}

// Outcome is how an attempt ended, as seen by the process that waited for it.
type Outcome struct {
	// Status is the HTTP status of the answer; 0 means that there is none.
	Status int
	// Problem is set when there is no whole answer of the target.
	Problem Option[Problem]
	// Duration is the time from the start to the end.
	Duration time.Duration
	// TargetCrashed means that the target's process died while the attempt ran. CrashPending means that this is being found out
	// and that event.CrashChecked follows.
	TargetCrashed     bool
	CrashCheckPending bool
}

// Verdict returns whether the attempt may have run.
func (o Outcome) Verdict() Verdict {
	if problem, ok := o.Problem.Get(); ok {
		return problem.Verdict
	}
	return Ran
}
