package admission

import (
	"time"

	"jayfold.dev/jayfold/internal/core/fleet"
)

const (
	// windowSteps is the number of steps in the sliding window of a retry budget. The window moves by whole steps.
	windowSteps = 10
	// usableShare is the fraction of the budget that may be used. It leaves a margin for child requests of retried requests that
	// are not counted because their target does not name the parent request.
	usableShare = 0.9
	// reservedShare is the fraction of the budget that is reserved for requests that are not idempotent, such as orders, and for
	// child requests of retried requests. An order is retried only after a target has refused it, and such a retry is its only
	// chance to succeed. Child requests of retried requests count as retries in the pools that they are sent to, and refusing
	// one fails the parent request that waits for it.
	reservedShare = 0.1
	// childGrowthReserve is the part of the budget that is reserved for additional child requests of retried requests, as a
	// multiple of those in the window.
	childGrowthReserve = 0.5
)

// budgetParams holds the parameters for checking one attempt against a target's share of the retry budget.
type budgetParams struct {
	budget fleet.RetryBudget
	// poolSize is the number of targets that share the slack: the larger of the numbers known to the ingress and to this node. A
	// node that has just started knows few targets and would otherwise use the slack of the whole pool alone.
	poolSize int
	// reserve is the fraction of the budget that the attempt may not use. In addition, the attempt must leave room for
	// childGrowth times the child requests of retried requests in the window.
	reserve, childGrowth float64
}

// budgetParamsFor returns the budget parameters for an attempt. In a pool that sheds some of its requests, the remaining budget
// determines how many requests succeed. Orders may therefore use the reserve, since they are the most valuable requests.
func (s State) budgetParamsFor(ctx Context, attempt fleet.Attempt) budgetParams {
	p := budgetParams{budget: s.settings.RetryBudget, poolSize: max(ctx.PoolSize(attempt.Pool), attempt.PoolSize)}
	if attempt.Idempotent && !attempt.ParentRetried {
		p.reserve, p.childGrowth = reservedShare, childGrowthReserve
	}
	return p
}

// retryBudget is a target's share of its pool's retry budget: it counts the first attempts and the retries on the target within a
// sliding window. The zero value is empty.
type retryBudget struct {
	// steps is a ring buffer with the counts of a whole window and of the current step.
	steps [windowSteps + 1]attemptCounts
	// current is the number of the current step since the Unix epoch.
	current int64
	// since is the time at which counting began.
	since time.Time
}

// attemptCounts counts attempts by how they affect the retry budget.
type attemptCounts struct {
	// first counts the attempts that are not charged to the budget, charged those that run on this target and are charged to its
	// share.
	first, charged int
	// parentRetried counts those of the charged attempts that are child requests of retried requests.
	parentRetried int
	// chargedElsewhere counts attempts that run on this target and are charged to another target's share. chargedNotRun counts
	// attempts that this target refused but charged to its own share.
	chargedElsewhere, chargedNotRun int
	// poolSize is the largest pool size at any of the attempts.
	poolSize int
}

// with returns the counts after one more attempt.
func (a attemptCounts) with(attempt fleet.Attempt) attemptCounts {
	switch {
	case attempt.BudgetCharged:
		a.chargedElsewhere++
	case attempt.ParentRetried:
		a.charged++
		a.parentRetried++
	case attempt.IsRetry:
		a.charged++
	default:
		a.first++
	}
	return a
}

// countsAsRetry reports whether an attempt counts towards the retry budget.
func countsAsRetry(attempt fleet.Attempt) bool { return attempt.IsRetry || attempt.ParentRetried }

// plus returns the sum of the counts of two steps or targets.
func (a attemptCounts) plus(b attemptCounts) attemptCounts {
	return attemptCounts{
		first:            a.first + b.first,
		charged:          a.charged + b.charged,
		parentRetried:    a.parentRetried + b.parentRetried,
		chargedElsewhere: a.chargedElsewhere + b.chargedElsewhere,
		chargedNotRun:    a.chargedNotRun + b.chargedNotRun,
		poolSize:         max(a.poolSize, b.poolSize),
	}
}

// ran returns the number of attempts that ran on this target.
func (a attemptCounts) ran() int { return a.first + a.charged + a.chargedElsewhere }

// retryShare returns the fraction of retries among the attempts that ran on this target; 0 if none ran.
func (a attemptCounts) retryShare() float64 {
	return float64(a.charged+a.chargedElsewhere) / float64(max(a.ran(), 1))
}

// startedAt returns the budget with counting started now, unless it has already started.
func (b retryBudget) startedAt(now time.Time) retryBudget {
	if b.since.IsZero() {
		b.since = now
	}
	return b
}

// advancedTo returns the budget at the given time, without the steps that have left the window.
func (b retryBudget) advancedTo(now time.Time, window time.Duration) retryBudget {
	step := now.UnixNano() / int64(window/windowSteps)
	for i := max(b.current+1, step-windowSteps); i <= step; i++ {
		b.steps[i%int64(len(b.steps))] = attemptCounts{}
	}
	b.current = max(b.current, step)
	return b
}

// withAttempt returns the budget after the start of an attempt.
func (b retryBudget) withAttempt(now time.Time, p budgetParams, attempt fleet.Attempt) retryBudget {
	return b.withCounts(now, p, attemptCounts{}.with(attempt))
}

// withChargedRefusal returns the budget after an attempt was refused and charged, so that another target may run it.
func (b retryBudget) withChargedRefusal(now time.Time, p budgetParams) retryBudget {
	return b.withCounts(now, p, attemptCounts{chargedNotRun: 1})
}

func (b retryBudget) withCounts(now time.Time, p budgetParams, added attemptCounts) retryBudget {
	b = b.advancedTo(now, p.budget.Window)
	step := &b.steps[b.current%int64(len(b.steps))]
	added.poolSize = p.poolSize
	*step = step.plus(added)
	return b
}

// recent returns the counts of the current and the previous step.
func (b retryBudget) recent(now time.Time, window time.Duration) attemptCounts {
	b = b.advancedTo(now, window)
	size := int64(len(b.steps))
	return b.steps[b.current%size].plus(b.steps[(b.current-1+size)%size])
}

// allows reports whether one more retry may be charged. The slack grows from 0 over the first window, since a node that has just
// started does not know how much of it the previous incarnation used. It is divided by the largest pool size within the window,
// since targets that have left may have used their part.
func (b retryBudget) allows(now time.Time, p budgetParams) bool {
	total := attemptCounts{poolSize: max(p.poolSize, 1)}
	for _, step := range b.advancedTo(now, p.budget.Window).steps {
		total = total.plus(step)
	}
	slackFraction := min(1, float64(now.Sub(b.since))/float64(p.budget.Window))
	limit := p.budget.Ratio*float64(total.first) + slackFraction*p.budget.Slack/float64(total.poolSize)
	room := (usableShare-p.reserve)*limit - p.childGrowth*float64(total.parentRetried)
	return float64(total.charged+total.chargedNotRun+1) <= room
}
