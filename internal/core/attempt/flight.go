package attempt

import (
	"slices"
	"time"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/fleet"
)

const (
	// maxAttempts bounds the targets that may run one request, where its route sets no limit. A fourth failure says more
	// of the pool than of the targets.
	maxAttempts = 4
	// maxCrashes is how many targets one request may crash: the first may be a coincidence, the second confirms it.
	maxCrashes = 2
	// closeWait is how long past the deadline a request that is not idempotent waits for the sidecar to confirm the
	// cancel, which tells its caller whether it ran. The forwarder ends the attempt after 200 ms.
	closeWait = 300 * time.Millisecond
	// maxBounces bounds the refusals that one request takes: each target of a usual pool once as a probe, and some queues.
	maxBounces = 12
	// defaultRetryAfter goes with a refusal for which the sidecar named no time.
	defaultRetryAfter = time.Second
)

// flight is one request between its arrival and its answer.
type flight struct {
	id fleet.RequestID
	// parent is the request that makes this one, where it is a call that names it.
	parent fleet.RequestID
	// template is what all attempts of the request have in common.
	template fleet.Attempt
	received time.Time
	// limit is the most targets that may run the request.
	limit int
	// attempts counts the attempts started so far.
	attempts int
	live     []try
	// tried lists the targets that may have run the request, or may still; bounces the attempts that did not run.
	tried   []fleet.TargetID
	bounces []bounce
	// reached means that a target got the request, if only to refuse it.
	reached bool
	// credit means that a failing target has lent the request an attempt of its part of the retry budget.
	credit bool
	// trail is what the log says of the attempts that ended, under the tables of revision, which had been in force for age
	// when the request came.
	trail    []step
	revision fleet.Revision
	age      time.Duration
	// verdict joins the verdicts of the attempts that ended.
	verdict fleet.Verdict
	// problem is that of the last attempt that failed.
	problem fleet.Problem
	// crashes counts the targets that may have died while they ran the request.
	crashes int
	// fallback is an attempt with a server error as its answer, passed on when nothing better comes.
	fallback fleet.AttemptID
	// parked means that the request waits for a healthy target.
	parked bool
	// closing means that the deadline passed and that the last attempt was asked to stop.
	closing bool
	// wake is when the request needs attention next, and due its place in the timetable.
	wake time.Time
	due  time.Duration
}

// try is an attempt in flight.
type try struct {
	id     fleet.AttemptID
	target fleet.TargetID
	node   fleet.NodeID
	manner manner
	near   bool
	// borrowed means that the attempt uses the request's credit.
	borrowed bool
	started  time.Time
	// wait is the queue that the target named when it was asked for a slot.
	wait time.Duration
	// slow is when a second target is asked beside this one, and lost when this one is given up for it. Attempts that are
	// not idempotent have neither.
	slow time.Time
	lost time.Time
}

// started returns the flight with one more attempt.
func (f flight) started(now time.Time, attempt fleet.Attempt, t try) flight {
	f.attempts++
	f.credit = f.credit && !attempt.BudgetCharged
	t.id, t.target, t.node, t.started = attempt.ID, attempt.Target, attempt.Node, now
	t.borrowed = attempt.BudgetCharged
	if attempt.Idempotent {
		p := patienceOf(attempt, attempt.Deadline.Sub(now))
		t.slow, t.lost = now.Add(t.wait+p.slow), now.Add(t.wait+p.lost)
	}
	f.live = append(slices.Clone(f.live), t)
	f.tried = append(slices.Clone(f.tried), attempt.Target)
	return f.rescheduled(now)
}

// rescheduled sets the next time at which something is due after now.
func (f flight) rescheduled(now time.Time) flight {
	f.wake = f.template.Deadline
	if f.closing {
		f.wake = f.template.Deadline.Add(closeWait)
	}
	for _, t := range f.live {
		for _, due := range []time.Time{t.slow, t.lost} {
			if due.After(now) && due.Before(f.wake) {
				f.wake = due
			}
		}
	}
	return f
}

// find returns the attempt in flight with the given id.
func (f flight) find(id fleet.AttemptID) (try, bool) {
	for _, t := range f.live {
		if t.id == id {
			return t, true
		}
	}
	return try{}, false
}

// without returns the flight without an attempt in flight.
func (f flight) without(id fleet.AttemptID) flight {
	if len(f.live) == 1 && f.live[0].id == id {
		f.live = nil
		return f
	}
	f.live = slices.DeleteFunc(slices.Clone(f.live), func(t try) bool { return t.id == id })
	return f
}

// failed returns the flight after an attempt ended with a problem. A target that refused may still be asked in another
// manner; wait is what it said of its queue.
func (f flight) failed(now time.Time, t try, problem fleet.Problem, status int, wait time.Duration) flight {
	f = f.without(t.id).withStep(now, t, problem, wait)
	f.verdict = f.verdict.Join(problem.Verdict)
	f.problem = problem
	arrived := problem.Verdict != fleet.NotRun || problem.Cause == fleet.Shed || problem.Cause == fleet.Misdirected
	f.reached = f.reached || arrived
	f.credit = f.credit || t.borrowed && !arrived
	if problem.Verdict == fleet.NotRun {
		f.tried = slices.DeleteFunc(slices.Clone(f.tried), func(id fleet.TargetID) bool { return id == t.target })
		b := bounce{target: t.target, cause: problem.Cause, manner: t.manner, near: t.near, wait: wait}
		f.bounces = append(slices.Clone(f.bounces), b)
	}
	if mayHaveCrashed[problem.Cause] {
		f.crashes++
	}
	if status != 0 {
		f.fallback = t.id
	}
	return f
}

// withCredit returns the flight after a failing target lent it an attempt: those that refused it for their part of the retry
// budget may be asked again.
func (f flight) withCredit() flight {
	f.credit = true
	f.bounces = slices.DeleteFunc(slices.Clone(f.bounces), func(b bounce) bool { return b.cause == fleet.RetryBudgetSpent })
	return f
}

// lacksBudget reports whether a target refused the request only for its part of the retry budget.
func (f flight) lacksBudget() bool {
	return !f.credit && slices.ContainsFunc(f.bounces, func(b bounce) bool { return b.cause == fleet.RetryBudgetSpent })
}

// mayHaveCrashed are the problems after which the target's process may be dead. Its sidecar answers before it has found out.
var mayHaveCrashed = map[fleet.Cause]bool{fleet.TargetCrashed: true, fleet.Broken: true}

// finalCauses are problems that no other target would solve.
var finalCauses = map[fleet.Cause]bool{
	fleet.BadRequest:     true,
	fleet.TooLarge:       true,
	fleet.Duplicate:      true,
	fleet.Quarantined:    true,
	fleet.DeadlinePassed: true,
	fleet.KeyConflict:    true,
}

// mayRetry reports whether another attempt is allowed after the flight's last problem. A request with a key stays with
// its home target while that is merely full, since only that target remembers the key.
func (f flight) mayRetry(now time.Time) bool {
	if f.closing || finalCauses[f.problem.Cause] || !f.mayStart(now) {
		return false
	}
	if f.template.Key != "" && f.problem.Cause == fleet.Overloaded {
		return false
	}
	return f.template.Idempotent || f.verdict == fleet.NotRun
}

// mayStart reports whether the flight has room for one more attempt.
func (f flight) mayStart(now time.Time) bool {
	return len(f.tried) < f.limit && len(f.bounces) < maxBounces && now.Before(f.template.Deadline)
}

// mayFail reports whether the next attempt can fail without harm, because another one may follow.
func (f flight) mayFail(now time.Time) bool {
	return f.template.Idempotent && len(f.tried)+1 < f.limit && now.Before(f.template.Goal)
}

// arrived reports whether a target got the request, so that another attempt repeats it.
func (f flight) arrived() bool { return f.reached || len(f.live) > 0 }

func (f flight) triedAt(id fleet.TargetID) bool { return slices.Contains(f.tried, id) }

// bouncedAt reports whether a target has refused the request.
func (f flight) bouncedAt(id fleet.TargetID) bool {
	return slices.ContainsFunc(f.bounces, func(b bounce) bool { return b.target == id })
}

// waitedAt reports whether a target has refused the request even a place in its queue.
func (f flight) waitedAt(id fleet.TargetID) bool {
	return slices.ContainsFunc(f.bounces, func(b bounce) bool { return b.target == id && b.manner != probing })
}

// bouncedHard reports whether asking a target in another manner cannot help. One that has no place in its queue has none for a
// request that is forced on it either.
func (f flight) bouncedHard(id fleet.TargetID) bool {
	return slices.ContainsFunc(f.bounces, func(b bounce) bool {
		noPlace := b.cause == fleet.Overloaded && b.manner == waiting
		return b.target == id && (b.manner == forced || noPlace || !softCauses[b.cause])
	})
}

// softCauses are refusals that a target may drop when it is asked in another manner.
var softCauses = map[fleet.Cause]bool{fleet.Failing: true, fleet.Overloaded: true}

// mayCrash reports whether one more attempt could make the request crash more targets than maxCrashes.
func (f flight) mayCrash() bool {
	return f.crashes > 0 && f.crashes+len(f.live) >= maxCrashes
}

// expired returns the problem of a request whose deadline passed.
func (f flight) expired() flight {
	f.problem = fleet.NewProblem(fleet.DeadlinePassed, f.verdict, "the deadline passed")
	return f
}

// last returns the effect that ends the request without an answer in time.
func (f flight) last() effect.Effect {
	if f.fallback != "" {
		return effect.RelayResponse{Request: f.id, Attempt: f.fallback, Parent: f.parent, ServerError: true}
	}
	return f.refusal()
}

func (f flight) refusal() effect.Effect {
	problem := f.problem.WithVerdict(f.verdict)
	if wait, full := f.shortestQueue(); full && f.verdict == fleet.NotRun && !f.closing {
		problem = fleet.NewProblem(fleet.Overloaded, fleet.NotRun, "every target in service is full").WithRetryAfter(wait)
	}
	if len(f.live) > 0 {
		problem.Verdict = f.verdict.Join(fleet.MayHaveRun)
	}
	if problem.RetryAfter == 0 {
		problem.RetryAfter = defaultRetryAfter
	}
	return effect.RefuseRequest{Request: f.id, Problem: problem, Parent: f.parent}
}

// shortestQueue returns the shortest wait that a full target named, and whether one did.
func (f flight) shortestQueue() (time.Duration, bool) {
	shortest, found := time.Duration(0), false
	for _, b := range f.bounces {
		if b.cause == fleet.Overloaded && (!found || b.wait < shortest) {
			shortest, found = b.wait, true
		}
	}
	return shortest, found
}
