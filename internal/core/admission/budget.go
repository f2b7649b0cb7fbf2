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
	// that waits for them.
	lookupPart = 0.55
	orderPart  = 0.8
)

// budget counts the first and the repeated attempts on one target within the window. Its zero value has seen none.
type budget struct {
	steps [budgetSteps]arrivals
	// current is the number of the step that is being counted, since the zero time of the clock.
	current int64
}

// arrivals are the attempts of one step of the window.
type arrivals struct{ first, repeated int }

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

// allows reports whether one more repeated attempt may start on one of the given number of targets of the pool.
func (b budget) allows(now time.Time, r fleet.Retries, targets int, idempotent bool) bool {
	part := orderPart
	if idempotent {
		part = lookupPart
	}
	var total arrivals
	for _, s := range b.at(now, r.Window).steps {
		total.first += s.first
		total.repeated += s.repeated
	}
	limit := r.Ratio*float64(total.first) + r.Slack/float64(max(targets, 1))
	return float64(total.repeated+1) <= part*limit
}
