package admission

import (
	"cmp"
	"slices"
	"time"

	"jayfold.dev/jayfold/internal/core/fleet"
)

// ticket is the number under which an attempt waits, in the order of arrival.
type ticket uint64

// queue holds the attempts that wait for a target. Its zero value is empty.
type queue struct {
	attempts fleet.Map[ticket, fleet.Attempt]
}

func (q queue) with(t ticket, a fleet.Attempt) queue {
	q.attempts = q.attempts.With(t, a)
	return q
}

func (q queue) without(t ticket) queue {
	q.attempts = q.attempts.Without(t)
	return q
}

func (q queue) get(t ticket) (fleet.Attempt, bool) { return q.attempts.Get(t) }

func (q queue) len() int { return q.attempts.Len() }

// queueOrder is the place of a waiting attempt in the order in which a target runs them. It answers an overload that lasts: served
// in the order of arrival every request would wait until it is of little use. Here the requests that can still meet their
// response-time goal go first, the one whose goal ends first at the head, and those that cannot take what is left.
type queueOrder struct {
	priority int
	class    fleet.Class
	// late means that the attempt would end after its goal if it started now.
	late bool
	// due is the end of the goal, or of the deadline for an attempt that is late.
	due    time.Time
	ticket ticket
}

// compare returns a negative number when t goes compare other.
func (t queueOrder) compare(other queueOrder) int {
	return cmp.Or(
		cmp.Compare(t.priority, other.priority),
		cmp.Compare(other.class, t.class),
		compareBool(t.late, other.late),
		t.due.Compare(other.due),
		cmp.Compare(t.ticket, other.ticket),
	)
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// displacedBy reports whether an attempt gives up its place in a full queue to another one.
func (t queueOrder) displacedBy(other queueOrder) bool {
	return cmp.Or(cmp.Compare(other.priority, t.priority), cmp.Compare(t.class, other.class), compareBool(other.late, t.late)) < 0
}

// queueOrderOf returns the turn of an attempt at a time.
func (l localTarget) queueOrderOf(now time.Time, t ticket, a fleet.Attempt) queueOrder {
	goal := a.Goal
	if goal.IsZero() {
		goal = a.Deadline
	}
	place := queueOrder{priority: a.Priority, class: a.Class, due: goal, ticket: t}
	if now.Add(l.serviceTimes.of(a.Class)).After(goal) {
		place.late, place.due = true, a.Deadline
	}
	return place
}

// queuedAttempt is an attempt in the queue with its turn.
type queuedAttempt struct {
	order   queueOrder
	attempt fleet.Attempt
}

// inQueueOrder lists the attempts that wait in the order in which they are to run.
func (l localTarget) inQueueOrder(now time.Time) []queuedAttempt {
	waiters := make([]queuedAttempt, 0, l.queue.len())
	for t, a := range l.queue.attempts.All() {
		waiters = append(waiters, queuedAttempt{order: l.queueOrderOf(now, t, a), attempt: a})
	}
	slices.SortFunc(waiters, func(a, b queuedAttempt) int { return a.order.compare(b.order) })
	return waiters
}

// unqueued is the ticket of an attempt that has not been queued yet.
const unqueued = ^ticket(0)

// workBefore returns how long the attempts that go before a new one take together.
func (l localTarget) workBefore(now time.Time, a fleet.Attempt) time.Duration {
	own := l.queueOrderOf(now, unqueued, a)
	var work time.Duration
	for t, waiting := range l.queue.attempts.All() {
		if l.queueOrderOf(now, t, waiting).compare(own) < 0 {
			work += l.serviceTimes.expected(waiting.Class)
		}
	}
	return work
}

// waitBehind returns how long an attempt waits behind the given work: until the next slot is free, and while the work runs on the
// slots that those which go before it leave over. One that is late also waits for those of its own priority that are not.
func (l localTarget) waitBehind(now time.Time, a fleet.Attempt, work time.Duration) time.Duration {
	slots := float64(max(l.slots, 1))
	urgent := a.Priority
	if l.queueOrderOf(now, unqueued, a).late {
		urgent++
	}
	capacity := max(slots-l.usage.before(urgent), minCapacityShare*slots)
	return time.Duration(float64(l.serviceTimes.mean)/slots + float64(work)/capacity)
}

// expectedWait returns how long a new attempt would wait for a slot.
func (l localTarget) expectedWait(now time.Time, a fleet.Attempt) time.Duration {
	if l.queue.len() == 0 && l.running.Len() < l.slots {
		return 0
	}
	return l.waitBehind(now, a, l.workBefore(now, a))
}

// tooLate reports whether the answer to an attempt that starts after the given wait would come too late. It answers an overload
// that lasts: requests that wait until they have missed their response-time goal take slots from those that could meet it, and
// their callers hear late that they are refused. So an attempt that misses its goal only by waiting does not wait. One that would
// miss it anyway, because its target is slow, waits as long as its deadline leaves time, and so does a call: to refuse it would
// waste the work of the request that makes it.
func (l localTarget) tooLate(now time.Time, a fleet.Attempt, wait time.Duration) bool {
	took := l.serviceTimes.of(a.Class)
	latest := a.Deadline
	if wait > 0 && a.Class != fleet.Internal && !a.Goal.IsZero() && !now.Add(took).After(a.Goal) {
		latest = a.Goal
	}
	return now.Add(wait + took).After(latest)
}
