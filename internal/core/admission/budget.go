package admission

import (
	"time"

	"jayfold.dev/jayfold/internal/core/fleet"
)

const (
	// windowSteps divide the window, so that old requests are forgotten a step at a time.
	windowSteps = 10
	// usableShare is the part of the budget that is used at most. Targets that do not name the request that makes a call leave
	// some of the calls of repeated requests uncounted.
	usableShare = 0.9
	// lookupReserve is the part of the budget that requests which may be repeated at will leave to others. An order is repeated
	// only after a target refused it, and has no other chance. The calls that repeated requests make at other pools count there as
	// repeated too, and to refuse one fails the request that waits for it.
	lookupReserve = 0.1
	// childGrowthReserve is how much the calls of repeated requests may grow within a window before lookups make room for them.
	childGrowthReserve = 0.5
)

// budgetParams is what decides how many repeated attempts one target takes.
type budgetParams struct {
	budget fleet.RetryBudget
	// poolSize is the number of poolSize of the pool, which share its slack, as the ingress or this node knows it: a node that has
	// just started knows few, and took the slack of all for its own.
	poolSize int
	// reserve is the part of the budget that the attempt leaves to others, beside room for as many calls more of repeated
	// requests as childGrowth times those of the window.
	reserve, childGrowth float64
}

// budgetParamsFor returns the allowance of a target for an attempt. It answers a pool that sheds a part of its requests: what is left
// of the budget then decides how many are served, and orders, which are worth most, leave none of it to others.
func (s State) budgetParamsFor(ctx Context, attempt fleet.Attempt) budgetParams {
	a := budgetParams{budget: s.settings.RetryBudget, poolSize: max(ctx.PoolSize(attempt.Pool), attempt.PoolSize)}
	if attempt.Idempotent && !attempt.ParentRetried {
		a.reserve, a.childGrowth = lookupReserve, childGrowthReserve
	}
	return a
}

// retryBudget counts the first and the repeated attempts on one target within the window. Its zero value has seen none.
type retryBudget struct {
	// steps hold a whole window beside the step that is being counted.
	steps [windowSteps + 1]attemptCounts
	// current is the number of the step that is being counted, since the zero time of the clock.
	current int64
	// since is when the counting began.
	since time.Time
}

// attemptCounts are the attempts of one step of the window.
type attemptCounts struct {
	first, charged int
	// parentRetried are those of the repeated ones that calls of repeated requests make.
	parentRetried int
	// chargedElsewhere attempts ran here and were counted by another target, chargedNotRun ones the other way round.
	chargedElsewhere, chargedNotRun int
	// poolSize is the largest number of poolSize that the pool had at one of them.
	poolSize int
}

// with returns the arrivals with one more attempt.
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

// countsAsRetry reports whether an attempt counts against the retry budget.
func countsAsRetry(attempt fleet.Attempt) bool { return attempt.IsRetry || attempt.ParentRetried }

// plus returns the arrivals of two steps or targets.
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

// ran returns how many of the attempts ran here.
func (a attemptCounts) ran() int { return a.first + a.charged + a.chargedElsewhere }

// retryShare returns the part of those that ran here which were repeated, 0 without any.
func (a attemptCounts) retryShare() float64 {
	return float64(a.charged+a.chargedElsewhere) / float64(max(a.ran(), 1))
}

// startedAt returns the budget of a target that this node hears of: the counting goes on where it has startedAt already.
func (b retryBudget) startedAt(now time.Time) retryBudget {
	if b.since.IsZero() {
		b.since = now
	}
	return b
}

// advancedTo returns the budget advancedTo a time, without the steps that have left the window.
func (b retryBudget) advancedTo(now time.Time, window time.Duration) retryBudget {
	step := now.UnixNano() / int64(window/windowSteps)
	for i := max(b.current+1, step-windowSteps); i <= step; i++ {
		b.steps[i%int64(len(b.steps))] = attemptCounts{}
	}
	b.current = max(b.current, step)
	return b
}

// withAttempt returns the budget after an attempt that starts.
func (b retryBudget) withAttempt(now time.Time, a budgetParams, attempt fleet.Attempt) retryBudget {
	return b.withCounts(now, a, attemptCounts{}.with(attempt))
}

// withChargedRefusal returns the budget after an attempt for which another target may run the request.
func (b retryBudget) withChargedRefusal(now time.Time, a budgetParams) retryBudget {
	return b.withCounts(now, a, attemptCounts{chargedNotRun: 1})
}

func (b retryBudget) withCounts(now time.Time, a budgetParams, more attemptCounts) retryBudget {
	b = b.advancedTo(now, a.budget.Window)
	step := &b.steps[b.current%int64(len(b.steps))]
	more.poolSize = a.poolSize
	*step = step.plus(more)
	return b
}

// recent returns the attempts of the step that is being counted and of the one before it.
func (b retryBudget) recent(now time.Time, window time.Duration) attemptCounts {
	b = b.advancedTo(now, window)
	size := int64(len(b.steps))
	return b.steps[b.current%size].plus(b.steps[(b.current-1+size)%size])
}

// allows reports whether one more repeated attempt may start. The slack grows over the first window, since a node that has
// just started does not know what its last incarnation used of it. It is shared by all targets that the pool had within the
// window, since those that have gone used theirs.
func (b retryBudget) allows(now time.Time, a budgetParams) bool {
	total := attemptCounts{poolSize: max(a.poolSize, 1)}
	for _, step := range b.advancedTo(now, a.budget.Window).steps {
		total = total.plus(step)
	}
	grown := min(1, float64(now.Sub(b.since))/float64(a.budget.Window))
	limit := a.budget.Ratio*float64(total.first) + grown*a.budget.Slack/float64(total.poolSize)
	room := (usableShare-a.reserve)*limit - a.childGrowth*float64(total.parentRetried)
	return float64(total.charged+total.chargedNotRun+1) <= room
}
