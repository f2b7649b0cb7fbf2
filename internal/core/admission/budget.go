package admission

import (
	"time"

	"jayfold.dev/jayfold/internal/core/fleet"
)

const (
	// budgetSteps divide the window, so that old requests are forgotten a step at a time.
	budgetSteps = 10
	// lookupPart is the part of the budget that requests use which may be repeated at will, and orderPart that of the others:
	// an order is repeated only after a target refused it, and has no other chance. The rest is for the calls that repeated
	// requests make at other pools: they count there as repeated too, and cannot be refused without failing the request
	// that waits for them. A repeated request was seen to make 1.4 calls at one pool. The lookups of a pool that is called
	// keep to less, since those calls alone can come to two thirds of its budget.
	lookupPart       = 0.55
	calledLookupPart = 0.3
	orderPart        = 0.6
)

// allowance is what decides how many repeated attempts one target takes.
type allowance struct {
	retries fleet.Retries
	// targets is the number of targets of the pool, which share its slack.
	targets int
	// part is the part of the budget that the attempt may use.
	part float64
}

// allowanceOf returns the allowance of a target for an attempt.
func (s State) allowanceOf(ctx Context, l local, attempt fleet.Attempt) allowance {
	a := allowance{
		retries: s.settings.Retries,
		targets: ctx.PoolSize(attempt.Pool),
		part:    orderPart,
	}
	switch {
	case !attempt.Idempotent:
	case l.service.of(fleet.Internal) > 0:
		a.part = calledLookupPart
	default:
		a.part = lookupPart
	}
	return a
}

// budget counts the first and the repeated attempts on one target within the window. Its zero value has seen none.
type budget struct {
	steps [budgetSteps]arrivals
	// current is the number of the step that is being counted, since the zero time of the clock.
	current int64
	// since is when the counting began.
	since time.Time
}

// arrivals are the attempts of one step of the window.
type arrivals struct{ first, repeated int }

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
	for i := max(b.current+1, step-budgetSteps+1); i <= step; i++ {
		b.steps[i%budgetSteps] = arrivals{}
	}
	b.current = max(b.current, step)
	return b
}

// counted returns the budget after an attempt that starts.
func (b budget) counted(now time.Time, r fleet.Retries, repeated bool) budget {
	b = b.at(now, r.Window)
	step := &b.steps[b.current%budgetSteps]
	if repeated {
		step.repeated++
	} else {
		step.first++
	}
	return b
}

// allows reports whether one more repeated attempt may start. The slack grows over the first window, since a node that has
// just started does not know what its last incarnation used of it.
func (b budget) allows(now time.Time, a allowance) bool {
	var total arrivals
	for _, s := range b.at(now, a.retries.Window).steps {
		total.first += s.first
		total.repeated += s.repeated
	}
	grown := min(1, float64(now.Sub(b.since))/float64(a.retries.Window))
	limit := a.retries.Ratio*float64(total.first) + grown*a.retries.Slack/float64(max(a.targets, 1))
	return float64(total.repeated+1) <= a.part*limit
}
