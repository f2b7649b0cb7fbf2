package admission

import (
	"time"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/fleet"
)

// refusalDetails explains the causes for which a target takes no attempt.
var refusalDetails = map[fleet.Cause]string{
	fleet.Canceled:         "the attempt was canceled before it started",
	fleet.DeadlinePassed:   "the deadline passed before the attempt started",
	fleet.Draining:         "the target or its node is leaving",
	fleet.Ejected:          "the target is ejected",
	fleet.Overloaded:       "the target's slots and queue are taken",
	fleet.Quarantined:      "requests like this one have crashed several targets",
	fleet.Failing:          "the target has just failed and takes only trials",
	fleet.RetryBudgetSpent: "the pool has had as many repeated attempts as its budget allows",
	fleet.UnknownTarget:    "the node has no such target of the pool",
	fleet.Unreachable:      "the target's process does not take connections",
}

// refuse answers an attempt that did not start. One that found the target full learns how long it would wait.
func (s State) refuse(now time.Time, attempt fleet.Attempt, cause fleet.Cause) []effect.Effect {
	report := s.Report(now, attempt)
	problem := fleet.NewProblem(cause, fleet.NotRun, refusalDetails[cause])
	if cause == fleet.Overloaded {
		problem = problem.WithRetryAfter(report.ExpectedWait)
	}
	return []effect.Effect{effect.RefuseAttempt{Attempt: attempt.ID, Problem: problem, Report: report}}
}

// refuseDuplicate answers an attempt whose id was seen before. The verdict is on the first of the two: an order that waits,
// runs or has run must not be sent elsewhere because of its duplicate.
func (s State) refuseDuplicate(now time.Time, attempt fleet.Attempt, started bool) []effect.Effect {
	verdict := fleet.NotRun
	if _, waits := s.queued.Get(attempt.ID); waits || started {
		verdict = fleet.MayHaveRun
	}
	problem := fleet.NewProblem(fleet.Duplicate, verdict, "the attempt was received before")
	return []effect.Effect{effect.RefuseAttempt{Attempt: attempt.ID, Problem: problem, Report: s.Report(now, attempt)}}
}
