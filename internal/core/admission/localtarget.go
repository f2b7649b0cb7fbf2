package admission

import (
	"cmp"
	"time"

	"jayfold.dev/jayfold/internal/core/fleet"
)

const (
	// queuePerSlot is the maximum queue length per slot. A longer queue would only hold attempts that could run earlier elsewhere.
	queuePerSlot = 4
	// slowStart is the time over which the slots of a new process grow to the reported number, unless it reports its start time.
	slowStart = 10 * time.Second
	// serviceWeight is the weight of a new sample in the smoothed service time, which thus covers about eight runs.
	serviceWeight = 1.0 / 8
)

// localTarget is the state of a target on this host.
type localTarget struct {
	heartbeat     fleet.Heartbeat
	lastHeartbeat time.Time
	// firstHeartbeat is the time of the first heartbeat of the target's process.
	firstHeartbeat time.Time
	// slots is the number of attempts that may currently run at once.
	slots        int
	running      fleet.Set[fleet.AttemptID]
	queue        queue
	serviceTimes serviceTimes
	// costs holds the observed run times; nil until the first run, and unless targets are placed by cost.
	costs *runCosts
	usage usage
	// fair holds the shares of the accounts whose attempts run on the target.
	fair fairShares
	// retryBudget is the target's share of its pool's retry budget.
	retryBudget retryBudget
	// unreachable is true if the process refused a connection or died and has sent no heartbeat since.
	unreachable bool
}

// withSlots returns the target with its current number of slots.
func (l localTarget) withSlots(now time.Time) localTarget {
	limit := min(l.heartbeat.Slots, l.heartbeat.Connections)
	l.slots = limit
	if !l.heartbeat.Started.IsZero() {
		// A target that reports its start time is known to be slow at first. It gets all of its slots, since fewer concurrent
		// requests would not make it faster.
		return l
	}
	if age := now.Sub(l.firstHeartbeat); age < slowStart {
		l.slots = 1 + int(int64(limit-1)*int64(age)/int64(slowStart))
	}
	return l
}

// serviceTimes holds the smoothed duration of runs, over all classes and by class; 0 if not known yet.
type serviceTimes struct {
	mean    time.Duration
	byClass [len(fleet.Classes)]time.Duration
}

// with returns the service times after a run of the given duration.
func (s serviceTimes) with(class fleet.Class, duration time.Duration) serviceTimes {
	s.mean = smoothed(s.mean, duration)
	s.byClass[class] = smoothed(s.byClass[class], duration)
	return s
}

func (s serviceTimes) of(class fleet.Class) time.Duration { return s.byClass[class] }

// expected returns the expected duration of a run of a class: the mean of all classes if none of the class has finished yet.
func (s serviceTimes) expected(class fleet.Class) time.Duration {
	return cmp.Or(s.byClass[class], s.mean)
}

func smoothed(old, sample time.Duration) time.Duration {
	if old == 0 {
		return sample
	}
	return old + time.Duration(serviceWeight*float64(sample-old))
}
