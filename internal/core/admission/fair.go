package admission

import (
	"time"

	"jayfold.dev/jayfold/internal/core/fleet"
)

const (
	// reservedTurn is the number of starts of which one goes to the reserved place of the queue.
	reservedTurn = 4
	// maxAdvance bounds how far an account's work may run ahead of the others', in runs. Without a bound, an account that a burst has
	// served would wait long after the burst.
	maxAdvance = 8
	// maxAhead bounds the number of accounts among which the virtual work is taken to be divided, and so the accounts that are kept.
	maxAhead = 64
	// minWork is the expected work of an attempt if no run has finished yet.
	minWork = time.Millisecond
)

// fairShares orders the queued attempts of a target among accounts by start-time fair queueing: an attempt's start tag is the work that
// the target has done for its account, or that it would have done for an account that always has attempts, if that is more.
//
// An account that sends many times its usual would get no more than others, and a small part of its requests would be served. Its
// requests that find no place by share therefore compete for a reserved place, which gets every fourth start. It is taken by whoever
// asks first when it is free, so that accounts get it in proportion to the requests that they send.
//
// It is immutable.
type fairShares struct {
	// virtual is the work that the target has done for an account that always has attempts.
	virtual time.Duration
	// finish holds the tags at which the work of accounts ends that are ahead of virtual. An account without an entry is at virtual.
	finish fleet.Map[fleet.AccountName, time.Duration]
	// starts counts the attempts that started while the target knew accounts.
	starts uint64
	// reserved is the last attempt that took the reserved place, which is free once the attempt has left the queue.
	reserved reservedPlace
}

// applies reports whether an attempt counts for the shares. Child requests go before all others of their priority and cost nothing:
// running work of some account waits for them. Attempts without an account, of public routes, count as those of one account.
func (f fairShares) applies(a fleet.Attempt) bool {
	return !a.Child && (a.Account != "" || f.finish.Len() > 0)
}

// tag returns the start tag of the next attempt of an account.
func (f fairShares) tag(account fleet.AccountName) time.Duration {
	finish, _ := f.finish.Get(account)
	return max(f.virtual, finish)
}

// startsBeforeReserved returns the number of starts before the turn of the reserved place.
func (f fairShares) startsBeforeReserved() int { return reservedTurn - 1 - int(f.starts%reservedTurn) }

// withStart returns the shares after the start of an attempt with the given expected work. The virtual work grows by the part of the
// work that each account with recent work would get; otherwise new accounts, each with a single request, would hold it back.
func (f fairShares) withStart(a fleet.Attempt, work time.Duration) fairShares {
	if !f.applies(a) {
		return f
	}
	work = max(work, minWork)
	tag := f.tag(a.Account)
	if a.ID != f.reserved.id {
		f.virtual = max(tag, f.virtual+work/time.Duration(min(f.finish.Len(), maxAhead)+2))
	}
	f.starts++
	f.finish = f.finish.With(a.Account, min(tag+work, f.virtual+maxAdvance*work))
	return f
}

// withoutPast returns the shares without the accounts that are no longer ahead of the virtual work.
func (f fairShares) withoutPast() fairShares {
	for account, finish := range f.finish.All() {
		if finish <= f.virtual {
			f.finish = f.finish.Without(account)
		}
	}
	return f
}

// tags holds the start tags of the next attempts of accounts while an order is computed. A queue has few accounts.
type tags []accountTag

type accountTag struct {
	account fleet.AccountName
	tag     time.Duration
}

// next returns the start tag of an account's next attempt and adds its work.
func (t *tags) next(f fairShares, account fleet.AccountName, work time.Duration) time.Duration {
	for i := range *t {
		if entry := &(*t)[i]; entry.account == account {
			tag := entry.tag
			entry.tag += work
			return tag
		}
	}
	tag := f.tag(account)
	*t = append(*t, accountTag{account: account, tag: tag + work})
	return tag
}
