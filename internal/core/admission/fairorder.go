package admission

import (
	"cmp"
	"slices"
	"time"

	"jayfold.dev/jayfold/internal/core/fleet"
)

// ranked is what the order among accounts needs of a queued attempt. Attempts themselves are large to sort.
type ranked struct {
	key     queueKey
	id      fleet.AttemptID
	account fleet.AccountName
	child   bool
	work    time.Duration
	// index is the position before the order among accounts.
	index int
}

func (l localTarget) rankedOf(key queueKey, a *fleet.Attempt) ranked {
	return ranked{key: key, id: a.ID, account: a.Account, child: a.Child, work: max(l.expectedWork(*a), minWork)}
}

// rankedWith lists the queued attempts and a new one in the order in which they would run.
func (l localTarget) rankedWith(now time.Time, a *fleet.Attempt) []ranked {
	list := make([]ranked, 0, l.queue.len()+1)
	for t, queued := range l.queue.attempts.All() {
		list = append(list, l.rankedOf(l.queueKeyOf(now, t, queued), &queued))
	}
	list = append(list, l.rankedOf(l.queueKeyOf(now, unqueued, *a), a))
	slices.SortFunc(list, func(a, b ranked) int { return a.key.compare(b.key) })
	l.orderByShare(list)
	return list
}

// withShares orders attempts that are in queue order by priority and then by share. Without accounts the order stays as it is.
func (l localTarget) withShares(attempts []queuedAttempt) []queuedAttempt {
	if !slices.ContainsFunc(attempts, func(q queuedAttempt) bool { return q.attempt.Account != "" }) {
		return attempts
	}
	list := make([]ranked, len(attempts))
	for i := range attempts {
		list[i] = l.rankedOf(attempts[i].key, &attempts[i].attempt)
		list[i].index = i
	}
	l.orderByShare(list)
	inOrder := make([]queuedAttempt, len(list))
	for i, r := range list {
		inOrder[i] = queuedAttempt{key: r.key, attempt: attempts[r.index].attempt}
	}
	return inOrder
}

// orderByShare sorts a list that is in queue order by priority and then by share. Within an account the order stays as it is.
func (l localTarget) orderByShare(list []ranked) {
	if !slices.ContainsFunc(list, func(r ranked) bool { return r.account != "" }) {
		return
	}
	var next tags
	for i := range list {
		r := &list[i]
		r.key.share = -1
		if !r.child {
			r.key.share = next.next(l.fair, r.account, r.work) - l.fair.virtual
		}
	}
	slices.SortStableFunc(list, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.key.priority, b.key.priority), cmp.Compare(a.key.share, b.key.share))
	})
	l.moveReserved(list)
}

// moveReserved moves the attempt in the reserved place to the position of its turn among those of its priority, unless it is before
// that already.
func (l localTarget) moveReserved(list []ranked) {
	from := slices.IndexFunc(list, func(r ranked) bool { return r.id == l.fair.reserved.id })
	if from < 0 {
		return
	}
	reserved := list[from]
	first := slices.IndexFunc(list, func(r ranked) bool { return r.key.priority == reserved.key.priority && !r.child })
	if to := first + l.fair.startsBeforeReserved(); to < from {
		copy(list[to+1:from+1], list[to:from])
		list[to] = reserved
	}
}

// workBeforeByShare returns the total expected duration of the queued attempts that run before a new one.
func (l localTarget) workBeforeByShare(now time.Time, a fleet.Attempt) time.Duration {
	var work time.Duration
	for _, r := range l.rankedWith(now, &a) {
		if r.key.ticket == unqueued {
			break
		}
		work += r.work
	}
	return work
}

// waitByShare returns the expected wait of a new attempt in the queue: by its account's share, or in the reserved place if the attempt
// would be too late by its share. The place is not taken; needed is true if the attempt gets into the queue only by it.
func (s State) waitByShare(now time.Time, l localTarget, a fleet.Attempt) (wait time.Duration, needed bool) {
	if l.queue.len() == 0 && l.running.Len() < l.slots {
		return 0, false
	}
	wait = s.waitInOrder(now, l, a)
	if l.fair.starts == 0 || !l.tooLate(now, a, wait) {
		return wait, false
	}
	if reserved, ok := l.reservedWait(now, a); ok {
		return reserved, true
	}
	return wait, false
}

// hasShares reports whether accounts compete for the target, or will once the attempt is queued.
func (l localTarget) hasShares(a fleet.Attempt) bool { return l.fair.starts > 0 || a.Account != "" }

// expectedWork returns the expected duration of a run of an attempt.
func (l localTarget) expectedWork(a fleet.Attempt) time.Duration {
	if l.costs != nil {
		return l.costs.of(a.Class).Mean()
	}
	return l.serviceTimes.expected(a.Class)
}
