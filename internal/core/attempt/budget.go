package attempt

import "time"

// Retries bound the repeated attempts of the whole fleet at one pool: within any Window there are at most Ratio times the
// pool's requests and Slack more. Every node keeps to the part for its own requests and to an equal part of the slack, so
// that no node needs to know what the others spent.
type Retries struct {
	Ratio  float64
	Window time.Duration
	Slack  float64
}

const (
	// budgetSteps divide the window, so that old requests are forgotten a step at a time.
	budgetSteps = 10
	// mostSlack bounds a node's part of the slack where the fleet is small.
	mostSlack = 4
	// kept is the part of the budget that is used. The rest is for the calls that repeated requests make at other pools,
	// which count there as repeated too.
	kept = 0.8
)

// budget counts the requests and the repeated attempts at one pool within the window. Its zero value has seen none.
type budget struct {
	steps [budgetSteps]spending
	// current is the number of the step that is being counted, since the zero time of the clock.
	current int64
}

// spending is what happened in one step of the window.
type spending struct{ requests, repeats int }

// at returns the budget at a time, without the steps that have left the window.
func (b budget) at(now time.Time, window time.Duration) budget {
	step := now.UnixNano() / int64(window/budgetSteps)
	for i := max(b.current+1, step-budgetSteps+1); i <= step; i++ {
		b.steps[i%budgetSteps] = spending{}
	}
	b.current = max(b.current, step)
	return b
}

// requested returns the budget after a request.
func (b budget) requested(now time.Time, r Retries) budget {
	b = b.at(now, r.Window)
	b.steps[b.current%budgetSteps].requests++
	return b
}

// spent returns the budget after one more repeated attempt, and whether that is allowed in a fleet of the given size.
func (b budget) spent(now time.Time, r Retries, nodes int) (budget, bool) {
	b = b.at(now, r.Window)
	var total spending
	for _, s := range b.steps {
		total.requests += s.requests
		total.repeats += s.repeats
	}
	slack := min(r.Slack/float64(max(nodes, 1)), mostSlack)
	if float64(total.repeats+1) > kept*(r.Ratio*float64(total.requests)+slack) {
		return b, false
	}
	b.steps[b.current%budgetSteps].repeats++
	return b, true
}
