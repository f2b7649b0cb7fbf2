package replay

import "time"

// tally counts how the requests of clients ended.
type tally struct {
	owed, earned                 float64
	ended, inGoal, late, refused int
	answered, asked              [len(classes)]int
	crossed                      int
	held                         time.Duration
	// lost is the payoff's worth of the time that requests were held which no target answered or broke off.
	lost               float64
	runs, repeatedRuns int
}

func (t *tally) started(repeated bool) {
	t.runs++
	if repeated {
		t.repeatedRuns++
	}
}

// add counts the end of a request.
func (t *tally) add(r *request, now time.Time, end ending) {
	k := kinds[r.class]
	t.ended++
	t.owed += k.worth
	t.asked[r.class]++
	if end.answer != whole {
		if !end.broken {
			t.lost += k.worth * heldPart(r, now)
		}
		if end.refused {
			t.refused++
			t.held += now.Sub(r.arrived)
		}
		return
	}
	t.answered[r.class]++
	if end.zone != r.zone {
		t.crossed++
	}
	if now.After(r.goal) {
		t.late++
		t.earned += k.late * k.worth
		return
	}
	t.inGoal++
	t.earned += k.worth
}

// A request that fails costs its caller nothing beside its answer within freeHold of the goal, and as much again as an answer is
// worth after longHold of the time until the deadline. The parts are those of the users' prices.
const (
	freeHold = 1.0 / 8
	longHold = 3.0 / 4
)

// heldPart returns which part of its worth a failed request has lost by being held.
func heldPart(r *request, now time.Time) float64 {
	free := freeHold * r.goal.Sub(r.arrived).Seconds()
	long := longHold * r.deadline.Sub(r.arrived).Seconds()
	return min(max((now.Sub(r.arrived).Seconds()-free)/(long-free), 0), 1)
}

func (t *tally) result() Result {
	part := func(count, of int) float64 { return float64(count) / float64(max(of, 1)) }
	return Result{
		Payoff:        t.earned / max(t.owed, 1),
		NetPayoff:     (t.earned - t.lost) / max(t.owed, 1),
		WithinGoal:    part(t.inGoal, t.ended),
		Late:          part(t.late, t.ended),
		Refused:       part(t.refused, t.ended),
		Failed:        part(t.ended-t.inGoal-t.late-t.refused, t.ended),
		Orders:        part(t.answered[order], t.asked[order]),
		Lookups:       part(t.answered[lookup], t.asked[lookup]),
		TimeToRefusal: t.held / time.Duration(max(t.refused, 1)),
		CrossZone:     part(t.crossed, t.inGoal+t.late),
		Retries:       part(t.repeatedRuns, t.runs),
	}
}
