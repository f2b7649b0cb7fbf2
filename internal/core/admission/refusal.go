package admission

import (
	"time"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/fleet"
)

// refusalDetails holds the problem detail for each cause of a refusal.
var refusalDetails = map[fleet.Cause]string{
	fleet.BodyStalled:      "the ingress does not send the bodies of its attempts",
	fleet.Canceled:         "the attempt was canceled before it started",
	fleet.DeadlinePassed:   "the deadline passed before the attempt started",
	fleet.Draining:         "the target or its node is draining",
	fleet.Ejected:          "the target is ejected",
	fleet.Overloaded:       "the target's slots and queue are full",
	fleet.Quarantined:      "requests with this fingerprint have crashed several targets",
	fleet.Failing:          "the target has recently failed and takes only trial requests",
	fleet.RetryBudgetSpent: "the pool's retry budget is spent",
	fleet.UnknownTarget:    "the node has no such target in the pool",
	fleet.Unreachable:      "the target's process accepts no connections",
}

// refuse refuses an attempt that has not started. If the cause is Overloaded, the problem's RetryAfter is the expected wait.
func (s State) refuse(now time.Time, attempt fleet.Attempt, cause fleet.Cause) []effect.Effect {
	report := s.Report(now, attempt)
	problem := fleet.NewProblem(cause, fleet.NotRun, refusalDetails[cause])
	if cause == fleet.Overloaded {
		problem = problem.WithRetryAfter(report.ExpectedWait)
	}
	return []effect.Effect{effect.RefuseAttempt{Attempt: attempt.ID, Problem: problem, Report: report}}
}

// refuseDuplicate refuses an attempt whose id has been seen before. The verdict applies to the first attempt with the id: an
// order that is queued, running or finished must not be retried elsewhere because of its duplicate.
func (s State) refuseDuplicate(now time.Time, attempt fleet.Attempt, started bool) []effect.Effect {
	verdict := fleet.NotRun
	if _, queued := s.queued.Get(attempt.ID); queued || started {
		verdict = fleet.MayHaveRun
	}
	problem := fleet.NewProblem(fleet.Duplicate, verdict, "the attempt has been received before")
	return []effect.Effect{effect.RefuseAttempt{Attempt: attempt.ID, Problem: problem, Report: s.Report(now, attempt)}}
}
