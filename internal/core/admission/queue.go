package admission

import (
	"iter"

	"jayfold.dev/jayfold/internal/core/fleet"
)

// ticket orders waiting attempts: by class, orders first, then by arrival.
type ticket uint64

// classShift leaves the lower bits of a ticket to the number of the arrival.
const classShift = 56

func newTicket(class fleet.Class, arrival uint64) ticket {
	return ticket(uint64(fleet.Order-class)<<classShift | arrival)
}

// queue holds the attempts that wait for a target. Its zero value is empty.
type queue struct {
	attempts fleet.Map[ticket, fleet.Attempt]
	// counts is the number of attempts of each class.
	counts [len(fleet.Classes)]int
}

func (q queue) with(t ticket, attempt fleet.Attempt) queue {
	q.attempts = q.attempts.With(t, attempt)
	q.counts[attempt.Class]++
	return q
}

func (q queue) without(t ticket) queue {
	attempt, ok := q.attempts.Get(t)
	if !ok {
		return q
	}
	q.attempts = q.attempts.Without(t)
	q.counts[attempt.Class]--
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

// last returns the attempt that is to run last: the newest of the lowest class.
func (q queue) last() fleet.Attempt {
	for _, class := range fleet.Classes {
		if q.counts[class] > 0 {
			return q.newest(class)
		}
	}
	return fleet.Attempt{}
}

func (q queue) newest(class fleet.Class) fleet.Attempt {
	var newest fleet.Attempt
	for _, attempt := range q.attempts.From(newTicket(class, 0)) {
		if attempt.Class == class {
			newest = attempt
		}
	}
	return newest
}

// ahead returns the number of attempts that run before a new one of the class.
func (q queue) ahead(class fleet.Class) int {
	count := 0
	for _, c := range fleet.Classes {
		if c >= class {
			count += q.counts[c]
		}
	}
	return count
}

func (q queue) len() int { return q.attempts.Len() }
