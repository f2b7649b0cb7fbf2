package attempt

import (
	"slices"
	"time"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/fleet"
)

const (
	// defaultMaxTargets bounds the targets that may run one request if its route sets no limit. A fourth failure indicates a
	// fault of the pool rather than of single targets.
	defaultMaxTargets = 4
	// maxCrashes bounds the targets that one request may crash. The first crash may be a coincidence; the second confirms it.
	maxCrashes = 2
	// cancelConfirmTimeout is how long a request that is not idempotent waits after its deadline for the sidecar to confirm the
	// cancellation. The confirmation tells the caller whether the request ran. The forwarder ends the attempt after 200 ms.
	cancelConfirmTimeout = 300 * time.Millisecond
	// maxRefusals bounds the refusals of one request. It leaves room for maxProbes refused probes and a few refused queue
	// positions.
	maxRefusals = 12
	// defaultRetryAfter is the time sent with the refusal of a request if no sidecar gave one.
	defaultRetryAfter = time.Second
)

// activeRequest is a request between its arrival and its response.
type activeRequest struct {
	id fleet.RequestID
	// parent is the request that a target was serving when it made this one; empty if the caller names none.
	parent fleet.RequestID
	// template holds what all attempts of the request have in common.
	template fleet.Attempt
	received time.Time
	// credential is the API key of the request, and keysChecked is true if the tables under which it arrived require keys.
	credential  fleet.Credential
	keysChecked bool
	// maxTargets bounds the targets that may run the request.
	maxTargets int
	// attemptCount is the number of attempts started so far.
	attemptCount int
	inFlight     []activeAttempt
	// tried lists the targets that may have run the request or may still run it, and refusals the attempts that did not run.
	tried    []fleet.TargetID
	refusals []refusal
	// delivered is true if a target has received the request, even if it refused it.
	delivered bool
	// budgetCharged is true if a failing target has charged an attempt of the request to its share of the retry budget and no
	// attempt has used the charge yet.
	budgetCharged bool
	// steps holds the attempts that ended, for the log. revision is that of the tables under which the request arrived, and
	// revisionAge the time for which they had been in force.
	steps       []step
	revision    fleet.Revision
	revisionAge time.Duration
	// verdict combines the verdicts of the attempts that ended.
	verdict fleet.Verdict
	// problem is that of the last attempt that failed.
	problem fleet.Problem
	// crashes counts the targets that may have crashed while they ran the request.
	crashes int
	// fallback is an attempt with a server error as its response, which is relayed if no better response follows.
	fallback fleet.AttemptID
	// deferred is true while the request waits for a healthy target.
	deferred bool
	// cancelPending is true if the deadline has passed and the last attempt is being canceled.
	cancelPending bool
	// timerAt is when the request's timer fires, and timerKey its key in the timer queue.
	timerAt  time.Time
	timerKey time.Duration
}

// activeAttempt is an attempt in flight.
type activeAttempt struct {
	id      fleet.AttemptID
	target  fleet.TargetID
	node    fleet.NodeID
	mode    mode
	ownZone bool
	// budgetCharged is true if a failing target has charged the attempt to its share of the retry budget.
	budgetCharged bool
	started       time.Time
	// queueWait is the expected wait that the target reported when it refused the request as full; 0 if it has not done so.
	queueWait time.Duration
	// expected is the time that the ingress expected of the attempt; zero unless targets are placed by cost.
	expected expectedCost
	// slowAt is when the attempt is hedged, and lostAt when it is canceled if another one is in flight. Both are zero if the
	// request is not idempotent.
	slowAt time.Time
	lostAt time.Time
}

// withAttempt returns the request with one more attempt.
func (req activeRequest) withAttempt(now time.Time, attempt fleet.Attempt, a activeAttempt) activeRequest {
	req.attemptCount++
	req.budgetCharged = req.budgetCharged && !attempt.BudgetCharged
	a.id, a.target, a.node, a.started = attempt.ID, attempt.Target, attempt.Node, now
	a.budgetCharged = attempt.BudgetCharged
	if attempt.Idempotent {
		timeouts := timeoutsFor(attempt, attempt.Deadline.Sub(now))
		a.slowAt, a.lostAt = now.Add(a.queueWait+timeouts.slow), now.Add(a.queueWait+timeouts.lost)
	}
	req.inFlight = append(slices.Clone(req.inFlight), a)
	req.tried = append(slices.Clone(req.tried), attempt.Target)
	return req.withNextTimer(now)
}

// withNextTimer returns the request with timerAt set to the next time after now at which an attempt becomes slow or lost, or the
// request reaches its deadline.
func (req activeRequest) withNextTimer(now time.Time) activeRequest {
	req.timerAt = req.template.Deadline
	if req.cancelPending {
		req.timerAt = req.template.Deadline.Add(cancelConfirmTimeout)
	}
	for _, a := range req.inFlight {
		for _, due := range []time.Time{a.slowAt, a.lostAt} {
			if due.After(now) && due.Before(req.timerAt) {
				req.timerAt = due
			}
		}
	}
	return req
}

// findAttempt returns the attempt in flight with the given id.
func (req activeRequest) findAttempt(id fleet.AttemptID) (activeAttempt, bool) {
	for _, a := range req.inFlight {
		if a.id == id {
			return a, true
		}
	}
	return activeAttempt{}, false
}

// withoutAttempt returns the request with one attempt in flight removed.
func (req activeRequest) withoutAttempt(id fleet.AttemptID) activeRequest {
	if len(req.inFlight) == 1 && req.inFlight[0].id == id {
		req.inFlight = nil
		return req
	}
	req.inFlight = slices.DeleteFunc(slices.Clone(req.inFlight), func(a activeAttempt) bool { return a.id == id })
	return req
}

// withFailure returns the request after an attempt ended with a problem. A target that refused may still be asked in
// another mode; wait is the expected wait that it reported.
func (req activeRequest) withFailure(
	now time.Time, a activeAttempt, problem fleet.Problem, status int, wait time.Duration,
) activeRequest {
	req = req.withoutAttempt(a.id).withStep(now, a, problem, wait)
	req.verdict = req.verdict.Join(problem.Verdict)
	req.problem = problem
	delivered := problem.Verdict != fleet.NotRun || problem.Cause == fleet.Shed || problem.Cause == fleet.Misdirected
	req.delivered = req.delivered || delivered
	req.budgetCharged = req.budgetCharged || a.budgetCharged && !delivered
	if problem.Verdict == fleet.NotRun {
		req.tried = slices.DeleteFunc(slices.Clone(req.tried), func(id fleet.TargetID) bool { return id == a.target })
		r := refusal{target: a.target, cause: problem.Cause, mode: a.mode, ownZone: a.ownZone, queueWait: wait}
		req.refusals = append(slices.Clone(req.refusals), r)
	}
	if crashCauses[problem.Cause] {
		req.crashes++
	}
	if status != 0 {
		req.fallback = a.id
	}
	return req
}

// withBudgetCharge returns the request after a failing target charged an attempt to its share of the retry budget. Targets
// that refused because their own share was spent may be asked again.
func (req activeRequest) withBudgetCharge() activeRequest {
	req.budgetCharged = true
	req.refusals = slices.DeleteFunc(slices.Clone(req.refusals), func(r refusal) bool { return r.cause == fleet.RetryBudgetSpent })
	return req
}

// refusedForBudget reports whether a target refused the request because its share of the retry budget is spent, and no charge by
// a failing target is left to use.
func (req activeRequest) refusedForBudget() bool {
	return !req.budgetCharged && slices.ContainsFunc(req.refusals, func(r refusal) bool { return r.cause == fleet.RetryBudgetSpent })
}

// crashCauses are the causes after which the target's process may be dead. The sidecar responds before its crash check ends.
var crashCauses = map[fleet.Cause]bool{fleet.TargetCrashed: true, fleet.Broken: true}

// finalCauses are the causes for which another target would not help.
var finalCauses = map[fleet.Cause]bool{
	fleet.BadRequest:     true,
	fleet.TooLarge:       true,
	fleet.Duplicate:      true,
	fleet.Quarantined:    true,
	fleet.DeadlinePassed: true,
	fleet.KeyConflict:    true,
}

// mayRetry reports whether another attempt is allowed after the request's last problem. A request with an idempotency key is not
// sent to another target if its home target is only full, since only the home target's sidecar has a record of the key.
func (req activeRequest) mayRetry(now time.Time) bool {
	if req.cancelPending || finalCauses[req.problem.Cause] || !req.mayStart(now) {
		return false
	}
	if req.template.Key != "" && req.problem.Cause == fleet.Overloaded {
		return false
	}
	return req.template.Idempotent || req.verdict == fleet.NotRun
}

// mayStart reports whether the limits of the request allow one more attempt.
func (req activeRequest) mayStart(now time.Time) bool {
	return len(req.tried) < req.maxTargets && len(req.refusals) < maxRefusals && now.Before(req.template.Deadline)
}

// nextMayBeTrial reports whether the next attempt may test a target that has recently failed, because the request can still be
// retried on another target after it.
func (req activeRequest) nextMayBeTrial(now time.Time) bool {
	return req.template.Idempotent && len(req.tried)+1 < req.maxTargets && now.Before(req.template.Goal)
}

// nextIsRetry reports whether a target has received the request, so that the next attempt counts as a retry.
func (req activeRequest) nextIsRetry() bool { return req.delivered || len(req.inFlight) > 0 }

func (req activeRequest) hasTried(id fleet.TargetID) bool { return slices.Contains(req.tried, id) }

// refusedBy reports whether a target has refused the request.
func (req activeRequest) refusedBy(id fleet.TargetID) bool {
	return slices.ContainsFunc(req.refusals, func(r refusal) bool { return r.target == id })
}

// queueRefusedBy reports whether a target has refused to queue the request.
func (req activeRequest) queueRefusedBy(id fleet.TargetID) bool {
	return slices.ContainsFunc(req.refusals, func(r refusal) bool { return r.target == id && r.mode != probing })
}

// finallyRefusedBy reports whether a target has refused the request in a way that rules out every other mode. A target without a
// free queue position has none for a forced attempt either.
func (req activeRequest) finallyRefusedBy(id fleet.TargetID) bool {
	return slices.ContainsFunc(req.refusals, func(r refusal) bool {
		noPosition := r.cause == fleet.Overloaded && r.mode == waiting
		return r.target == id && (r.mode == forced || noPosition || !modeDependentCauses[r.cause])
	})
}

// modeDependentCauses are the causes of refusals that may not apply in another mode.
var modeDependentCauses = map[fleet.Cause]bool{fleet.Failing: true, fleet.Overloaded: true}

// mayExceedCrashes reports whether, with one more attempt, the request could crash more than maxCrashes targets.
func (req activeRequest) mayExceedCrashes() bool {
	return req.crashes > 0 && req.crashes+len(req.inFlight) >= maxCrashes
}

// withDeadlinePassed returns the request with DeadlinePassed as its problem.
func (req activeRequest) withDeadlinePassed() activeRequest {
	req.problem = fleet.NewProblem(fleet.DeadlinePassed, req.verdict, "the deadline passed")
	return req
}

// finalEffect returns the effect that ends a request without a successful response: it relays the fallback if there is one, and
// refuses the request otherwise.
func (req activeRequest) finalEffect() effect.Effect {
	if req.fallback != "" {
		return effect.RelayResponse{Request: req.id, Attempt: req.fallback, Parent: req.parent, ServerError: true}
	}
	return req.refuseEffect()
}

func (req activeRequest) refuseEffect() effect.Effect {
	problem := req.problem.WithVerdict(req.verdict)
	if wait, full := req.shortestQueue(); full && req.verdict == fleet.NotRun && !req.cancelPending {
		problem = fleet.NewProblem(fleet.Overloaded, fleet.NotRun, "every target in service is full").WithRetryAfter(wait)
	}
	if len(req.inFlight) > 0 {
		problem.Verdict = req.verdict.Join(fleet.MayHaveRun)
	}
	if problem.RetryAfter == 0 {
		problem.RetryAfter = defaultRetryAfter
	}
	return effect.RefuseRequest{Request: req.id, Problem: problem, Parent: req.parent}
}

// shortestQueue returns the shortest expected wait that a full target reported, and whether there was such a report.
func (req activeRequest) shortestQueue() (time.Duration, bool) {
	shortest, found := time.Duration(0), false
	for _, r := range req.refusals {
		if r.cause == fleet.Overloaded && (!found || r.queueWait < shortest) {
			shortest, found = r.queueWait, true
		}
	}
	return shortest, found
}
