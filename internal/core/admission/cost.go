package admission

import (
	"time"

	"jayfold.dev/jayfold/internal/core/cost"
	"jayfold.dev/jayfold/internal/core/fleet"
)

// runCosts holds the observed run times on one target by class.
type runCosts struct {
	all     cost.Distribution
	byClass [len(fleet.Classes)]cost.Distribution
}

// with returns the costs after a run. The receiver may be nil.
func (c *runCosts) with(class fleet.Class, duration time.Duration) *runCosts {
	var next runCosts
	if c != nil {
		next = *c
	}
	next.all = next.all.With(duration)
	next.byClass[class] = next.byClass[class].With(duration)
	return &next
}

// of returns the distribution of a class, or that of all classes if none of the class has finished yet.
func (c *runCosts) of(class fleet.Class) cost.Distribution {
	if c == nil {
		return cost.Distribution{}
	}
	if d := c.byClass[class]; d.Mean() > 0 {
		return d
	}
	return c.all
}

// byCost reports whether waits are estimated by expected cost.
func (s State) byCost() bool { return s.settings.Placement == fleet.PlacementByCost }

// slotForecast predicts the waits in the queue of one target.
type slotForecast struct {
	target localTarget
	slots  cost.Slots
	first  time.Duration
}

// forecast returns the prediction from the target's runs and their ages, before any queued attempt.
func (s State) forecast(now time.Time, l localTarget) slotForecast {
	remaining := make([]time.Duration, 0, l.running.Len())
	for id := range l.running.All() {
		run, _ := s.running.Get(id)
		remaining = append(remaining, l.costs.of(run.Attempt.Class).Remaining(now.Sub(run.Started)))
	}
	slots := cost.NewSlots(l.slots, remaining)
	return slotForecast{target: l, slots: slots, first: slots.Next()}
}

// take adds a queued attempt that starts before the next one.
func (f slotForecast) take(a fleet.Attempt) { f.slots.Take(f.target.costs.of(a.Class).Mean()) }

// wait returns the expected wait of the next attempt. The time after the first free slot is longer if more urgent attempts, which
// arrive later, take a part of the slots.
func (f slotForecast) wait(now time.Time, a fleet.Attempt) time.Duration {
	l := f.target
	slots := float64(max(l.slots, 1))
	priority := a.Priority
	if l.queueKeyOf(now, unqueued, a).late {
		priority++
	}
	capacity := max(slots-l.usage.before(priority), minCapacityShare*slots)
	return f.first + time.Duration(float64(f.slots.Next()-f.first)*slots/capacity)
}

// expectedWait returns the time that a new attempt is expected to wait for a slot of a target.
func (s State) expectedWait(now time.Time, l localTarget, a fleet.Attempt) time.Duration {
	wait, _ := s.waitByShare(now, l, a)
	return wait
}

// waitInOrder returns the expected wait of a new attempt behind the queued attempts that run before it.
func (s State) waitInOrder(now time.Time, l localTarget, a fleet.Attempt) time.Duration {
	if !s.byCost() || l.costs == nil {
		return l.waitBehind(now, a, l.workBefore(now, a))
	}
	f := s.forecast(now, l)
	if l.hasShares(a) {
		for _, r := range l.rankedWith(now, &a) {
			if r.key.ticket == unqueued {
				break
			}
			f.slots.Take(r.work)
		}
		return f.wait(now, a)
	}
	own := l.queueKeyOf(now, unqueued, a)
	for t, queued := range l.queue.attempts.All() {
		if l.queueKeyOf(now, t, queued).compare(own) < 0 {
			f.take(queued)
		}
	}
	return f.wait(now, a)
}

// lateByCost returns the queued attempts whose deadline has passed and those that would start too late.
func (s State) lateByCost(now time.Time, l localTarget) []lateAttempt {
	var late []lateAttempt
	f := s.forecast(now, l)
	for _, q := range l.inQueueOrder(now) {
		switch {
		case !q.attempt.Deadline.After(now):
			late = append(late, lateAttempt{attempt: q.attempt, cause: fleet.DeadlinePassed})
		case l.tooLate(now, q.attempt, f.wait(now, q.attempt)):
			late = append(late, lateAttempt{attempt: q.attempt, cause: fleet.Overloaded})
		default:
			f.take(q.attempt)
		}
	}
	return late
}

// lateAttempt is a queued attempt that must be refused.
type lateAttempt struct {
	attempt fleet.Attempt
	cause   fleet.Cause
}

// meanTime returns the mean run time of a class on a target for reports; 0 unless targets are placed by cost.
func (s State) meanTime(l localTarget, class fleet.Class) time.Duration {
	if !s.byCost() {
		return 0
	}
	return l.costs.of(class).Mean()
}

// waitsTooLong reports whether an attempt that may wait only briefly would wait longer. An attempt that cannot meet its goal anyway
// may wait.
func (s State) waitsTooLong(now time.Time, l localTarget, a fleet.Attempt, wait time.Duration) bool {
	run, toGoal := l.costs.of(a.Class).Mean(), a.Goal.Sub(now)
	return a.Brief && s.byCost() && !a.Goal.IsZero() && run < toGoal && !cost.WaitsBriefly(wait, run, toGoal)
}

// Cost returns the time that a request of priority 0 would wait for a target, and the mean run time there; 0 unless targets are placed
// by cost.
func (s State) Cost(now time.Time, id fleet.TargetID) (wait, mean time.Duration) {
	l, ok := s.targets.Get(id)
	if !ok || !s.byCost() || l.costs == nil {
		return 0, 0
	}
	return s.expectedWait(now, l, fleet.Attempt{Target: id, Deadline: now.Add(maxAttemptTimeout)}), l.costs.all.Mean()
}
