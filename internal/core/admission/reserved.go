package admission

import (
	"time"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/fleet"
)

// reservedPlace identifies the attempt in the reserved place of a queue. The place is free once the attempt has left the queue.
type reservedPlace struct {
	id     fleet.AttemptID
	ticket ticket
}

// withTicket returns the place with the ticket of an attempt that has just been queued in it.
func (p reservedPlace) withTicket(id fleet.AttemptID, t ticket) reservedPlace {
	if p.id == id {
		p.ticket = t
	}
	return p
}

// makeRoom makes room in a target's queue for a new attempt. In a full queue, the less urgent of the attempt and the last one in the
// queue is refused, or goes to the reserved place if that is free. If reserved is true, the new attempt goes there in any case. It
// returns false if the new attempt must be refused.
func (s State) makeRoom(ctx Context, l localTarget, attempt fleet.Attempt, reserved bool) (State, localTarget, []effect.Effect, bool) {
	if reserved {
		l.fair.reserved = reservedPlace{id: attempt.ID}
		return s, l, nil, true
	}
	if l.queue.len() < queuePerSlot*l.slots {
		return s, l, nil, true
	}
	last, displaced := l.displacedBy(ctx.Now, attempt)
	if !displaced {
		_, ok := l.reservedWait(ctx.Now, attempt)
		if ok {
			l.fair.reserved = reservedPlace{id: attempt.ID}
		}
		return s, l, nil, ok
	}
	if _, ok := l.reservedWait(ctx.Now, last); ok {
		position, _ := s.queued.Get(last.ID)
		l.fair.reserved = reservedPlace{id: last.ID, ticket: position.ticket}
		return s, l, nil, true
	}
	s, l = s.dequeue(l, last)
	return s, l, s.refuse(ctx.Now, last, fleet.Overloaded), true
}

// displacedBy returns the last attempt of a full queue, and whether a new attempt takes its place. The reserved place keeps its attempt.
func (l localTarget) displacedBy(now time.Time, a fleet.Attempt) (fleet.Attempt, bool) {
	var last, own queueKey
	found := false
	for _, r := range l.rankedWith(now, &a) {
		switch {
		case r.key.ticket == unqueued:
			own = r.key
		case r.key.ticket != l.fair.reserved.ticket:
			last, found = r.key, true
		}
	}
	attempt, _ := l.queue.get(last.ticket)
	return attempt, found && last.displacedBy(own)
}

// reservedWait returns the expected wait of a new attempt in the reserved place. It returns false if the attempt may not take the place
// or would be too late there, too.
func (l localTarget) reservedWait(now time.Time, a fleet.Attempt) (time.Duration, bool) {
	_, taken := l.queue.get(l.fair.reserved.ticket)
	if taken || l.fair.starts == 0 || !l.fair.applies(a) {
		return 0, false
	}
	l.fair.reserved = reservedPlace{id: a.ID, ticket: unqueued}
	wait := l.waitBehind(now, a, l.workBeforeByShare(now, a))
	return wait, !l.tooLate(now, a, wait)
}
