package admission

import (
	"cmp"
	"time"

	"jayfold.dev/jayfold/internal/core/fleet"
)

const (
	// queuePerSlot bounds a queue's length: a longer one would only hold attempts that could run elsewhere by then.
	queuePerSlot = 4
	// slowStart is how long a new process takes to reach its announced slots, where it does not tell how long it is slow.
	slowStart = 10 * time.Second
	// serviceWeight is the weight of a new service time in the smoothed one. About the last eight runs count.
	serviceWeight = 1.0 / 8
)

// localTarget is one target on this host.
type localTarget struct {
	heartbeat     fleet.Heartbeat
	lastHeartbeat time.Time
	// firstHeartbeat is when the target's process was first heard of.
	firstHeartbeat time.Time
	// slots is how many attempts may run now.
	slots        int
	running      fleet.Set[fleet.AttemptID]
	queue        queue
	serviceTimes serviceTimes
	usage        usage
	// retryBudget is the target's part of its pool's retry budget.
	retryBudget retryBudget
	// unreachable means that the process took no connection or died, and has not announced itself since.
	unreachable bool
}

// withSlots returns the target with the slots that it has now.
func (l localTarget) withSlots(now time.Time) localTarget {
	limit := min(l.heartbeat.Slots, l.heartbeat.Connections)
	l.slots = limit
	if !l.heartbeat.Started.IsZero() {
		// The target tells when it started and that it is slow for a time, with all of its slots. Fewer requests at once
		// would not make it faster.
		return l
	}
	if age := now.Sub(l.firstHeartbeat); age < slowStart {
		l.slots = 1 + int(int64(limit-1)*int64(age)/int64(slowStart))
	}
	return l
}

// serviceTimes is the smoothed time that a run takes, over all runs and by class; 0 means not known yet.
type serviceTimes struct {
	mean    time.Duration
	byClass [len(fleet.Classes)]time.Duration
}

// with returns the service times after a run.
func (s serviceTimes) with(class fleet.Class, took time.Duration) serviceTimes {
	s.mean = smoothed(s.mean, took)
	s.byClass[class] = smoothed(s.byClass[class], took)
	return s
}

func (s serviceTimes) of(class fleet.Class) time.Duration { return s.byClass[class] }

// expected returns how long a run of a class takes, and any run while none of the class was seen.
func (s serviceTimes) expected(class fleet.Class) time.Duration {
	return cmp.Or(s.byClass[class], s.mean)
}

func smoothed(old, sample time.Duration) time.Duration {
	if old == 0 {
		return sample
	}
	return old + time.Duration(serviceWeight*float64(sample-old))
}
