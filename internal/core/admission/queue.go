package admission

import (
	"iter"
	"time"

	"jayfold.dev/jayfold/internal/core/fleet"
)

// ticket orders waiting attempts: by priority, then by class, orders first, then by deadline, then by arrival. The work
// that ends first is that of internal requests, for which another request already waits in a slot elsewhere.
type ticket uint64

// The bits of a ticket below its priority: the class, the deadline in milliseconds since the queue's epoch, which suffice
// for 8 years, and the number of the arrival.
const (
	priorityShift = 56
	classShift    = 54
	deadlineShift = 16
	deadlineMask  = 1<<(classShift-deadlineShift) - 1
	arrivalMask   = 1<<deadlineShift - 1
)

// urgency is what makes one attempt give way to another: its priority and class.
func (t ticket) urgency() ticket { return t >> classShift }

// queue holds the attempts that wait for a target. Its zero value is empty.
type queue struct {
	attempts fleet.Map[ticket, fleet.Attempt]
	// epoch is the time from which the deadlines of tickets are counted.
	epoch time.Time
}

// rank returns the first ticket of an attempt, without its arrival.
func (q queue) rank(a fleet.Attempt) ticket {
	due := max(a.Deadline.Sub(q.epoch).Milliseconds(), 0) & deadlineMask
	return ticket(min(max(a.Priority, 0), 255))<<priorityShift |
		ticket(fleet.Order-a.Class)<<classShift |
		ticket(due)<<deadlineShift
}

// with returns the queue with an attempt, and its ticket.
func (q queue) with(now time.Time, arrival uint64, a fleet.Attempt) (queue, ticket) {
	if q.epoch.IsZero() {
		q.epoch = now
	}
	t := q.rank(a) | ticket(arrival&arrivalMask)
	for _, taken := q.attempts.Get(t); taken; _, taken = q.attempts.Get(t) {
		t++
	}
	q.attempts = q.attempts.With(t, a)
	return q, t
}

func (q queue) without(t ticket) queue {
	q.attempts = q.attempts.Without(t)
	return q
}

func (q queue) get(t ticket) (fleet.Attempt, bool) { return q.attempts.Get(t) }

// all yields the attempts in the order in which they are to run.
func (q queue) all() iter.Seq[fleet.Attempt] {
	return func(yield func(fleet.Attempt) bool) {
		for _, attempt := range q.attempts.All() {
			if !yield(attempt) {
				return
			}
		}
	}
}

// last returns the attempt that is to run last.
func (q queue) last() (ticket, fleet.Attempt) {
	var last ticket
	var attempt fleet.Attempt
	for t, a := range q.attempts.All() {
		last, attempt = t, a
	}
	return last, attempt
}

// ahead returns the number of attempts that run before a new one.
func (q queue) ahead(a fleet.Attempt) int {
	count := 0
	for t := range q.attempts.All() {
		if t > q.rank(a)|arrivalMask {
			break
		}
		count++
	}
	return count
}

func (q queue) len() int { return q.attempts.Len() }
