package ejection

import (
	"time"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/fleet"
	"jayfold.dev/jayfold/internal/core/message"
)

// spareLeases is the number of leases that a target holds beyond those it needs, so that the loss of one grantor does not end
// an ejection.
const spareLeases = 2

// minRequests is the minimum number of lease requests in a round. The replies must show whether the pool fails as a whole: when
// half of a pool of 55 fails, fewer than a third of 24 replies come from suspects in 1.3% of cases, and of 8 replies in 15%.
const minRequests = 24

// replyWait is how long a target with enough grants waits for the other replies. A round trip takes a few milliseconds.
const replyWait = 50 * time.Millisecond

// roundTimeout ends a round in which replies are missing.
const roundTimeout = 500 * time.Millisecond

// minBackoff is the minimum delay before another round when too few targets granted a lease. The delay is random, up to twice
// minBackoff, so that targets that requested leases at the same time and refused one another do not collide again.
const minBackoff = 300 * time.Millisecond

// correlatedBackoff replaces minBackoff when the pool fails as a whole. Rounds are rarer then, because in each of them the
// suspects may by chance look healthy.
const correlatedBackoff = 2 * time.Second

// retryWindow is how long a target keeps requesting leases after the detector found it failing. It is longer than
// leaseDuration, so that a target that has granted a lease can request its own once that one has expired.
const retryWindow = 8 * time.Second

// startRound starts a round of lease requests if the target may start one now.
func (s State) startRound(ctx Context, id fleet.TargetID) (State, []effect.Effect) {
	l, _ := s.targets.Get(id)
	if l.phase != inService || !l.retrying || ctx.Now.Before(l.nextRound) {
		return s, nil
	}
	pool, ok := ctx.Tables.Pool(l.pool)
	if !ok {
		return s, nil
	}
	l.floor = pool.Floor
	s.targets = s.targets.With(id, l)
	if ctx.Now.Sub(s.started) < leaseDuration {
		return s.keepInService(ctx, id, holdNodeStarted)
	}
	if s.hasLiveGrant(ctx.Now, id) {
		return s.keepInService(ctx, id, holdLeaseGranted)
	}
	if len(ctx.Directory.Candidates(l.pool)) <= l.neededLeases() {
		// The other targets together could not grant enough leases.
		return s.keepInService(ctx, id, holdFloor)
	}
	s, effects := s.requestLeases(ctx, id, max(l.neededLeases()+spareLeases, minRequests))
	// The phase changes after the requests, since targets on this host reply at once and the first reply must not decide the
	// round.
	l, _ = s.targets.Get(id)
	l.phase = requesting
	l.roundStarted = ctx.Now
	s.targets = s.targets.With(id, l)
	s, decided := s.decideRound(ctx, id)
	return s, concat(effects, decided)
}

// requestLeases sends requests to further targets of the pool until count leases are held or requested. It starts at a random
// index in the pool.
func (s State) requestLeases(ctx Context, id fleet.TargetID, count int) (State, []effect.Effect) {
	l, _ := s.targets.Get(id)
	candidates := ctx.Directory.Candidates(l.pool)
	missing := count - l.leases.Len()
	var effects []effect.Effect
	for i := range candidates {
		if missing <= 0 {
			break
		}
		c := candidates[(i+int(ctx.Random%uint64(len(candidates))))%len(candidates)]
		_, held := l.leases.Get(c.Target.ID)
		// A first round includes targets that are ejected according to their records: their replies tell whether they were ejected
		// recently.
		skipEjected := c.Target.Ejected && l.phase == ejected
		if held || skipEjected || c.Target.ID == id {
			continue
		}
		missing--
		next, more := s.requestLease(ctx, id, c.Target.ID)
		s = next
		effects = append(effects, more...)
	}
	return s, effects
}

// requestLease sends one lease request. A lease that is being renewed stays valid until it expires.
func (s State) requestLease(ctx Context, id, grantor fleet.TargetID) (State, []effect.Effect) {
	s.requestNumber++
	l, _ := s.targets.Get(id)
	held, _ := l.leases.Get(grantor)
	held.number = s.requestNumber
	held.requested = ctx.Now
	held.reply = replyPending
	l.leases = l.leases.With(grantor, held)
	s.targets = s.targets.With(id, l)
	return s.deliver(ctx, grantor.Node(), message.LeaseRequest{
		Number:    s.requestNumber,
		Requester: id,
		Grantor:   grantor,
		Pool:      l.pool,
		BadShare:  l.evidence.BadShare(),
	})
}

// leaseForReply returns the lease that a reply belongs to. Only a reply to the last request counts.
func (s State) leaseForReply(requester, grantor fleet.TargetID, number uint64) (lease, bool) {
	l, _ := s.targets.Get(requester)
	held, ok := l.leases.Get(grantor)
	return held, ok && held.number == number
}

func (s State) withLease(requester, grantor fleet.TargetID, held lease) State {
	l, _ := s.targets.Get(requester)
	l.leases = l.leases.With(grantor, held)
	s.targets = s.targets.With(requester, l)
	return s
}

func (s State) leaseGranted(ctx Context, m message.LeaseGrant) (State, []effect.Effect) {
	held, ok := s.leaseForReply(m.Requester, m.Grantor, m.Number)
	if !ok {
		return s, nil
	}
	held.reply, held.recentlyFailed = replyGranted, m.RecentlyFailed
	held.validUntil = held.requested.Add(usableDuration(m.Duration))
	return s.withLease(m.Requester, m.Grantor, held).decideRound(ctx, m.Requester)
}

func (s State) leaseRefused(ctx Context, m message.LeaseRefusal) (State, []effect.Effect) {
	held, ok := s.leaseForReply(m.Requester, m.Grantor, m.Number)
	if !ok {
		return s, nil
	}
	held.reply, held.recentlyFailed = replyRefused, m.Suspect
	if m.Suspect {
		held.reply = replySuspect
	}
	return s.withLease(m.Requester, m.Grantor, held).decideRound(ctx, m.Requester)
}

// leaseRecalled releases a lease at the request of its grantor.
func (s State) leaseRecalled(ctx Context, m message.LeaseRecall) (State, []effect.Effect) {
	s, effects := s.releaseLease(ctx, m.Requester, m.Grantor)
	l, _ := s.targets.Get(m.Requester)
	if l.phase != ejected || l.isEjected(ctx.Now) {
		return s, effects
	}
	s, more := s.returnToService(ctx, m.Requester, "lease recalled")
	return s, concat(effects, more)
}

// renewLeases requests the leases of an ejected target again when they are due and replaces those that have expired or were
// refused.
func (s State) renewLeases(ctx Context, id fleet.TargetID) (State, []effect.Effect) {
	l, _ := s.targets.Get(id)
	var effects, more []effect.Effect
	usable := 0
	for grantor, held := range l.leases.All() {
		due := ctx.Now.Sub(held.requested) >= renewInterval
		switch {
		case due && !held.isValid(ctx.Now):
			s, more = s.releaseLease(ctx, id, grantor)
		case due:
			s, more = s.requestLease(ctx, id, grantor)
			usable++
		default:
			more = nil
			if held.reply != replyRefused && held.reply != replySuspect {
				usable++
			}
		}
		effects = append(effects, more...)
	}
	l, _ = s.targets.Get(id)
	refused := l.leases.Len() - usable
	s, more = s.requestLeases(ctx, id, l.neededLeases()+spareLeases+refused)
	return s, append(effects, more...)
}

// releaseLease drops one lease and notifies its grantor.
func (s State) releaseLease(ctx Context, id, grantor fleet.TargetID) (State, []effect.Effect) {
	l, _ := s.targets.Get(id)
	held, ok := l.leases.Get(grantor)
	if !ok {
		return s, nil
	}
	l.leases = l.leases.Without(grantor)
	s.targets = s.targets.With(id, l)
	return s.deliver(ctx, grantor.Node(), message.LeaseRelease{Number: held.number, Requester: id, Grantor: grantor})
}

func (s State) releaseLeases(ctx Context, id fleet.TargetID) (State, []effect.Effect) {
	l, _ := s.targets.Get(id)
	var effects []effect.Effect
	for grantor := range l.leases.All() {
		next, more := s.releaseLease(ctx, id, grantor)
		s = next
		effects = append(effects, more...)
	}
	return s, effects
}
