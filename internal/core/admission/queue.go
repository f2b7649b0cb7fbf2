package admission

import (
	"cmp"
	"slices"
	"time"

	"jayfold.dev/jayfold/internal/core/fleet"
)

// ticket numbers the queued attempts of a sidecar in the order of arrival.
type ticket uint64

// queue holds the attempts that wait for a target, by ticket. The zero value is empty.
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

// queueKey is the sort key of a queued attempt. In a lasting overload, requests that are served in the order of arrival would all
// wait until their responses are of little use. Within a priority and class, attempts that can still meet their latency goal
// therefore run first, by the end of their goal, and late attempts use the remaining capacity.
type queueKey struct {
	priority int
	// share is the work of the attempt's account beyond that of others; 0 if no attempt has an account.
	share time.Duration
	class fleet.Class
	// late is true if the attempt would finish after its goal even if it started now.
	late bool
	// due is the goal, or the deadline if the attempt is late.
	due    time.Time
	ticket ticket
}

// compare returns a negative number if the attempt with key k runs before that with key other.
func (k queueKey) compare(other queueKey) int {
	return cmp.Or(
		cmp.Compare(k.priority, other.priority),
		cmp.Compare(k.share, other.share),
		cmp.Compare(other.class, k.class),
		compareBool(k.late, other.late),
		k.due.Compare(other.due),
		cmp.Compare(k.ticket, other.ticket),
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

// displacedBy reports whether, in a full queue, the attempt with key other replaces that with key k.
func (k queueKey) displacedBy(other queueKey) bool {
	return cmp.Or(
		cmp.Compare(other.priority, k.priority),
		cmp.Compare(other.share, k.share),
		cmp.Compare(k.class, other.class),
		compareBool(other.late, k.late),
	) < 0
}

// queueKeyOf returns the sort key of an attempt at the given time.
func (l localTarget) queueKeyOf(now time.Time, t ticket, a fleet.Attempt) queueKey {
	goal := a.Goal
	if goal.IsZero() {
		goal = a.Deadline
	}
	key := queueKey{priority: a.Priority, class: a.Class, due: goal, ticket: t}
	if now.Add(l.serviceTimes.of(a.Class)).After(goal) {
		key.late, key.due = true, a.Deadline
	}
	return key
}

// queuedAttempt is an attempt in the queue with its sort key.
type queuedAttempt struct {
	key     queueKey
	attempt fleet.Attempt
}

// inQueueOrder lists the queued attempts in the order in which they will run.
func (l localTarget) inQueueOrder(now time.Time) []queuedAttempt {
	attempts := make([]queuedAttempt, 0, l.queue.len())
	for t, a := range l.queue.attempts.All() {
		attempts = append(attempts, queuedAttempt{key: l.queueKeyOf(now, t, a), attempt: a})
	}
	slices.SortFunc(attempts, func(a, b queuedAttempt) int { return a.key.compare(b.key) })
	return l.withShares(attempts)
}

// unqueued is the ticket used to compare an attempt that is not in the queue. It sorts after all others.
const unqueued = ^ticket(0)

// workBefore returns the total expected duration of the queued attempts that run before a new one.
func (l localTarget) workBefore(now time.Time, a fleet.Attempt) time.Duration {
	if l.hasShares(a) {
		return l.workBeforeByShare(now, a)
	}
	own := l.queueKeyOf(now, unqueued, a)
	var work time.Duration
	for t, queued := range l.queue.attempts.All() {
		if l.queueKeyOf(now, t, queued).compare(own) < 0 {
			work += l.serviceTimes.expected(queued.Class)
		}
	}
	return work
}

// waitBehind returns the expected wait of an attempt behind the given work: the time until a slot becomes free, plus the time
// that the work takes on the slots that more urgent attempts leave free. For a late attempt, those of its own priority are also
// more urgent.
func (l localTarget) waitBehind(now time.Time, a fleet.Attempt, work time.Duration) time.Duration {
	slots := float64(max(l.slots, 1))
	priority := a.Priority
	if l.queueKeyOf(now, unqueued, a).late {
		priority++
	}
	capacity := max(slots-l.usage.before(priority), minCapacityShare*slots)
	return time.Duration(float64(l.serviceTimes.mean)/slots + float64(work)/capacity)
}

// tooLate reports whether the response to an attempt that starts after the given wait would come too late. In a lasting overload,
// requests that wait until they miss their latency goal take slots from those that could meet it, and their callers learn
// late that they are refused. An attempt that would miss its goal only because of the wait is therefore too late. An attempt
// that would miss it anyway because its target is slow may wait as long as its deadline allows. So may an internal request,
// because refusing it would waste the work of its parent request.
func (l localTarget) tooLate(now time.Time, a fleet.Attempt, wait time.Duration) bool {
	duration := l.serviceTimes.of(a.Class)
	latest := a.Deadline
	if wait > 0 && a.Class != fleet.Internal && !a.Goal.IsZero() && !now.Add(duration).After(a.Goal) {
		latest = a.Goal
	}
	return now.Add(wait + duration).After(latest)
}
