package orders

import (
	"slices"
	"time"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/fleet"
)

const (
	// rewriteLead is the time before the first claim is written again. The member records, of which 540 nodes write 360 a second, come
	// first.
	rewriteLead = 2 * time.Second
	// rewriteDelayPerMember times the size of the fleet is the time between two claims that a node writes again, so that the fleet writes
	// 200 a second.
	rewriteDelayPerMember = 5 * time.Millisecond
)

// lostClaims holds the claims that the platform may have lost when it was restored from a copy, and that are not written again yet.
type lostClaims struct {
	// names holds the names of the claims, the one to be written next at the end.
	names []string
	// writing holds the names of the claims that are being written, by the attempts that made them.
	writing  fleet.Map[fleet.AttemptID, string]
	next     time.Time
	interval time.Duration
	// distrustedUntil is the time until which a claim that could be created doesn't prove that no other node has run the order: its claim
	// may be lost, and the node that held it gone.
	distrustedUntil time.Time
}

// EpochChanged handles a new epoch of the platform's data in a fleet with the given number of members. It returns the number of claims that
// will be written again, those of the orders that were sent last first.
func (s State) EpochChanged(now time.Time, members int) (State, int) {
	s.lost = lostClaims{
		next:            now.Add(rewriteLead),
		interval:        rewriteDelayPerMember * time.Duration(members),
		distrustedUntil: now.Add(Retention),
	}
	for name, r := range s.records.All() {
		if r.claimed {
			s.lost.names = append(s.lost.names, name)
		}
	}
	slices.SortStableFunc(s.lost.names, func(a, b string) int {
		first, _ := s.records.Get(a)
		second, _ := s.records.Get(b)
		return first.lastSent.Compare(second.lastSent)
	})
	return s, len(s.lost.names)
}

// rewriteClaim writes the next lost claim if that is due.
func (s State) rewriteClaim(now time.Time) (State, []effect.Effect) {
	if len(s.lost.names) == 0 || now.Before(s.lost.next) {
		return s, nil
	}
	last := len(s.lost.names) - 1
	name := s.lost.names[last]
	s.lost.names = s.lost.names[:last:last]
	r, ok := s.records.Get(name)
	if !ok || !r.claimed {
		return s, nil
	}
	s.lost.next = now.Add(s.lost.interval)
	s.lost.writing = s.lost.writing.With(r.attempt.ID, name)
	return s, []effect.Effect{effect.ClaimOrder{ClaimName: name, Attempt: r.attempt.ID}}
}

// rewriteFinished handles the result of a claim that was written again. One that failed, or is lost again, is written once more.
func (s State) rewriteFinished(id fleet.AttemptID, result fleet.ClaimResult, lost bool) (State, []effect.Effect) {
	name, ok := s.lost.writing.Get(id)
	if !ok {
		return s, nil
	}
	s.lost.writing = s.lost.writing.Without(id)
	switch {
	case result == fleet.ClaimExists:
		return s, []effect.Effect{effect.WriteLog{
			Level: effect.Error, Component: "orders", Message: "another node claimed an order whose claim the platform had lost",
			Fields: []effect.LogField{{Name: "Attempt", Value: string(id)}},
		}}
	case result == fleet.ClaimFailed || lost:
		s.lost.names = append(slices.Clip(s.lost.names), name)
	}
	return s, nil
}

// claimProvesFirstRun reports whether a claim that was created for an attempt proves that no other node has run the order.
func (s State) claimProvesFirstRun(now time.Time, attempt fleet.Attempt) bool {
	history, _ := s.pools.Get(attempt.Pool)
	return !now.Before(s.lost.distrustedUntil) || history.isOnlyHome(now, attempt)
}
