package admission

import (
	"time"

	"jayfold.dev/jayfold/internal/core/fleet"
)

const (
	// budgetSteps divide the window, so that old requests are forgotten a step at a time.
	budgetSteps = 10
	// usedPart is the part of the budget that is used at most. Targets that do not name the request that makes a call leave
	// some of the calls of repeated requests uncounted.
	usedPart = 0.9
	// lookupReserve is the part of the budget that requests which may be repeated at will leave to others. An order is repeated
	// only after a target refused it, and has no other chance. The calls that repeated requests make at other pools count there as
	// repeated too, and to refuse one fails the request that waits for it.
	lookupReserve = 0.1
	// callGrowth is how much the calls of repeated requests may grow within a window before lookups make room for them.
	callGrowth = 0.5
)

// allowance is what decides how many repeated attempts one target takes.
type allowance struct {
	retries fleet.RetryBudget
	// targets is the number of targets of the pool, which share its slack, as the ingress or this node knows it: a node that has
	// just started knows few, and took the slack of all for its own.
	targets int
	// reserve is the part of the budget that the attempt leaves to others, beside room for as many calls more of repeated
	// requests as growth times those of the window.
	reserve, growth float64
}

// allowanceOf returns the allowance of a target for an attempt. It answers a pool that sheds a part of its requests: what is left
// of the budget then decides how many are served, and orders, which are worth most, leave none of it to others.
func (s State) allowanceOf(ctx Context, attempt fleet.Attempt) allowance {
	a := allowance{retries: s.settings.RetryBudget, targets: max(ctx.PoolSize(attempt.Pool), attempt.PoolSize)}
	if attempt.Idempotent && !attempt.ParentRetried {
		a.reserve, a.growth = lookupReserve, callGrowth
	}
	return a
}

// budget counts the first and the repeated attempts on one target within the window. Its zero value has seen none.
type budget struct {
	// steps hold a whole window beside the step that is being counted.
	steps [budgetSteps + 1]arrivals
	// current is the number of the step that is being counted, since the zero time of the clock.
	current int64
	// since is when the counting began.
	since time.Time
}

// arrivals are the attempts of one step of the window.
type arrivals struct {
	first, repeated int
	// derived are those of the repeated ones that calls of repeated requests make.
	derived int
	// borrowed attempts ran here and were counted by another target, lent ones the other way round.
	borrowed, lent int
	// targets is the largest number of targets that the pool had at one of them.
	targets int
}

// with returns the arrivals with one more attempt.
func (a arrivals) with(attempt fleet.Attempt) arrivals {
	switch {
	case attempt.BudgetCharged:
		a.borrowed++
	case attempt.ParentRetried:
		a.repeated++
		a.derived++
	case attempt.IsRetry:
		a.repeated++
	default:
		a.first++
	}
	return a
}

// draws reports whether an attempt counts against the retry budget.
func draws(attempt fleet.Attempt) bool { return attempt.IsRetry || attempt.ParentRetried }

// plus returns the arrivals of two steps or targets.
func (a arrivals) plus(b arrivals) arrivals {
	return arrivals{
		first:    a.first + b.first,
		repeated: a.repeated + b.repeated,
		derived:  a.derived + b.derived,
		borrowed: a.borrowed + b.borrowed,
		lent:     a.lent + b.lent,
		targets:  max(a.targets, b.targets),
	}
}

// ran returns how many of the attempts ran here.
func (a arrivals) ran() int { return a.first + a.repeated + a.borrowed }

// share returns the part of those that ran here which were repeated, 0 without any.
func (a arrivals) share() float64 { return float64(a.repeated+a.borrowed) / float64(max(a.ran(), 1)) }

// begun returns the budget of a target that this node hears of: the counting goes on where it has begun already.
func (b budget) begun(now time.Time) budget {
	if b.since.IsZero() {
		b.since = now
	}
	return b
}

// at returns the budget at a time, without the steps that have left the window.
func (b budget) at(now time.Time, window time.Duration) budget {
	step := now.UnixNano() / int64(window/budgetSteps)
	for i := max(b.current+1, step-budgetSteps); i <= step; i++ {
		b.steps[i%int64(len(b.steps))] = arrivals{}
	}
	b.current = max(b.current, step)
	return b
}

// counted returns the budget after an attempt that starts.
func (b budget) counted(now time.Time, a allowance, attempt fleet.Attempt) budget {
	return b.adding(now, a, arrivals{}.with(attempt))
}

// lending returns the budget after an attempt for which another target may run the request.
func (b budget) lending(now time.Time, a allowance) budget {
	return b.adding(now, a, arrivals{lent: 1})
}

func (b budget) adding(now time.Time, a allowance, more arrivals) budget {
	b = b.at(now, a.retries.Window)
	step := &b.steps[b.current%int64(len(b.steps))]
	more.targets = a.targets
	*step = step.plus(more)
	return b
}

// lately returns the attempts of the step that is being counted and of the one before it.
func (b budget) lately(now time.Time, window time.Duration) arrivals {
	b = b.at(now, window)
	size := int64(len(b.steps))
	return b.steps[b.current%size].plus(b.steps[(b.current-1+size)%size])
}

// allows reports whether one more repeated attempt may start. The slack grows over the first window, since a node that has
// just started does not know what its last incarnation used of it. It is shared by all targets that the pool had within the
// window, since those that have gone used theirs.
func (b budget) allows(now time.Time, a allowance) bool {
	total := arrivals{targets: max(a.targets, 1)}
	for _, step := range b.at(now, a.retries.Window).steps {
		total = total.plus(step)
	}
	grown := min(1, float64(now.Sub(b.since))/float64(a.retries.Window))
	limit := a.retries.Ratio*float64(total.first) + grown*a.retries.Slack/float64(total.targets)
	room := (usedPart-a.reserve)*limit - a.growth*float64(total.derived)
	return float64(total.repeated+total.lent+1) <= room
}
