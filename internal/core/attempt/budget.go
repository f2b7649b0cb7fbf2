package attempt

import "time"

const (
	// creditPerRequest holds retries to a tenth of the requests.
	creditPerRequest = 0.1
	// floorPerSecond lets a node with fewer than two requests per second retry as well.
	floorPerSecond = 0.2
	// maxCredit bounds a burst of retries, and startCredit those of a node that has just started.
	maxCredit   = 20
	startCredit = 4
	// orderReserve is left for requests that are not idempotent, whose retries follow only after NotRun.
	orderReserve = 2
)

// budget is a token bucket for retries and hedges. Requests refill it, or the time between them when they are rare.
type budget struct {
	credit  float64
	updated time.Time
}

func newBudget() budget { return budget{credit: startCredit} }

// credited returns the budget after a request.
func (b budget) credited(now time.Time) budget {
	credit := creditPerRequest
	if !b.updated.IsZero() {
		credit = max(credit, now.Sub(b.updated).Seconds()*floorPerSecond)
	}
	return budget{credit: min(b.credit+credit, maxCredit), updated: now}
}

// spent returns the budget after one retry, and whether that is allowed.
func (b budget) spent(idempotent bool) (budget, bool) {
	need := 1.0
	if idempotent {
		need += orderReserve
	}
	if b.credit < need {
		return b, false
	}
	b.credit--
	return b, true
}
