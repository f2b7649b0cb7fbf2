package replay

import "time"

// requestStats counts how the requests of clients ended.
type requestStats struct {
	maxPayoff, payoff                float64
	ended, withinGoal, late, refused int
	served, received                 [len(classes)]int
	crossZone                        int
	timeToRefusal                    time.Duration
	// holdCost is the payoff's worth of the time that requests were held which no target answered or broke off.
	holdCost      float64
	runs, retries int
}

func (t *requestStats) runStarted(repeated bool) {
	t.runs++
	if repeated {
		t.retries++
	}
}

// add counts the end of a request.
func (t *requestStats) add(r *request, now time.Time, end requestResult) {
	k := classSpecs[r.class]
	t.ended++
	t.maxPayoff += k.payoff
	t.received[r.class]++
	if end.response != successResponse {
		if !end.broken {
			t.holdCost += k.payoff * holdCostShare(r, now)
		}
		if end.refused {
			t.refused++
			t.timeToRefusal += now.Sub(r.arrived)
		}
		return
	}
	t.served[r.class]++
	if end.zone != r.zone {
		t.crossZone++
	}
	if now.After(r.goal) {
		t.late++
		t.payoff += k.latePayoffShare * k.payoff
		return
	}
	t.withinGoal++
	t.payoff += k.payoff
}

// A request that fails costs its caller nothing beside its answer within freeHoldShare of the goal, and as much again as an answer is
// worth after fullCostHoldShare of the time until the deadline. The parts are those of the users' prices.
const (
	freeHoldShare     = 1.0 / 8
	fullCostHoldShare = 3.0 / 4
)

// holdCostShare returns which part of its worth a failed request has lost by being held.
func holdCostShare(r *request, now time.Time) float64 {
	free := freeHoldShare * r.goal.Sub(r.arrived).Seconds()
	long := fullCostHoldShare * r.deadline.Sub(r.arrived).Seconds()
	return min(max((now.Sub(r.arrived).Seconds()-free)/(long-free), 0), 1)
}

func (t *requestStats) result() Result {
	part := func(count, of int) float64 { return float64(count) / float64(max(of, 1)) }
	return Result{
		Payoff:        t.payoff / max(t.maxPayoff, 1),
		NetPayoff:     (t.payoff - t.holdCost) / max(t.maxPayoff, 1),
		WithinGoal:    part(t.withinGoal, t.ended),
		Late:          part(t.late, t.ended),
		Refused:       part(t.refused, t.ended),
		Failed:        part(t.ended-t.withinGoal-t.late-t.refused, t.ended),
		Orders:        part(t.served[order], t.received[order]),
		Lookups:       part(t.served[lookup], t.received[lookup]),
		TimeToRefusal: t.timeToRefusal / time.Duration(max(t.refused, 1)),
		CrossZone:     part(t.crossZone, t.withinGoal+t.late),
		Retries:       part(t.retries, t.runs),
	}
}
