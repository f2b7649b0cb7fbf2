package ejection

import (
	"time"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/fleet"
	"jayfold.dev/jayfold/internal/core/message"
)

// suspectDuration is the minimum time for which a target found failing is suspect. It is longer than retryWindow, so that
// targets which failed in the same burst do not grant leases to one another when the burst ends.
const suspectDuration = 15 * time.Second

// recallMargin is the amount by which a grantor's fraction of bad requests must exceed the requester's before the grantor recalls
// the lease.
const recallMargin = 0.2

// leaseRequested replies to a lease request. A request with a lower number than the last one arrived out of order and gets no
// reply: a grant for it would take its number, and a late release with that number would drop a lease that is still in use.
func (s State) leaseRequested(ctx Context, m message.LeaseRequest) (State, []effect.Effect) {
	byRequester, _ := s.grants.Get(m.Grantor)
	g, _ := byRequester.Get(m.Requester)
	live := ctx.Now.Before(g.expires)
	if live && m.Number < g.number {
		return s, nil
	}
	if live {
		g.number = m.Number
		s = s.withGrants(m.Grantor, byRequester.With(m.Requester, g))
	}
	if !s.canGrant(ctx, m) {
		return s.refuseLease(ctx, m, s.recentlyEjected(ctx, m.Grantor))
	}
	if s.isSuspect(ctx, m.Grantor, live) {
		return s.refuseLease(ctx, m, true)
	}
	g = grant{number: m.Number, expires: ctx.Now.Add(leaseDuration), badShare: m.BadShare}
	s = s.withGrants(m.Grantor, byRequester.With(m.Requester, g))
	return s.deliver(ctx, m.Requester.Node(), message.LeaseGrant{
		Number:         m.Number,
		Requester:      m.Requester,
		Grantor:        m.Grantor,
		Duration:       leaseDuration,
		RecentlyFailed: ctx.Evidence(m.Grantor).RecentlyFailed(),
	})
}

func (s State) refuseLease(ctx Context, m message.LeaseRequest, suspect bool) (State, []effect.Effect) {
	return s.deliver(ctx, m.Requester.Node(), message.LeaseRefusal{
		Number:    m.Number,
		Requester: m.Requester,
		Grantor:   m.Grantor,
		Suspect:   suspect,
	})
}

// canGrant reports whether the grantor is in service in the pool of the request.
func (s State) canGrant(ctx Context, m message.LeaseRequest) bool {
	t, ok := ctx.readyTarget(m.Grantor)
	l, _ := s.targets.Get(m.Grantor)
	return ok && !s.draining && t.Pool == m.Pool && m.Grantor != m.Requester && l.phase != ejected
}

// recentlyEjected reports whether a target was ejected so recently that it still counts as suspect. Otherwise targets affected by
// the same burst would be ejected one after the other, each as soon as the previous one no longer counts.
func (s State) recentlyEjected(ctx Context, id fleet.TargetID) bool {
	l, _ := s.targets.Get(id)
	return l.phase == ejected && ctx.Now.Sub(l.failedAt) < suspectDuration
}

// isSuspect reports whether a target in service may be failing. A few isolated errors do not prevent the renewal of a lease.
func (s State) isSuspect(ctx Context, id fleet.TargetID, renewal bool) bool {
	l, known := s.targets.Get(id)
	if known && (l.phase == requesting || ctx.Now.Sub(l.failedAt) < suspectDuration) {
		return true
	}
	evidence := ctx.Evidence(id)
	if renewal {
		return evidence.Score >= evidence.Threshold/2 && evidence.IsSuspect(ctx.Now)
	}
	return evidence.IsSuspect(ctx.Now)
}

// leaseReleased drops a grant that its requester no longer relies on.
func (s State) leaseReleased(m message.LeaseRelease) State {
	byRequester, _ := s.grants.Get(m.Grantor)
	g, ok := byRequester.Get(m.Requester)
	if !ok || g.number != m.Number {
		return s
	}
	return s.withGrants(m.Grantor, byRequester.Without(m.Requester))
}

// recallLeases asks requesters in better health to release the leases that a failing target has granted.
func (s State) recallLeases(ctx Context, grantor fleet.TargetID) (State, []effect.Effect) {
	l, _ := s.targets.Get(grantor)
	byRequester, _ := s.grants.Get(grantor)
	var effects []effect.Effect
	for requester, g := range byRequester.All() {
		if !ctx.Now.Before(g.expires) || l.evidence.BadShare() < g.badShare+recallMargin {
			continue
		}
		next, more := s.deliver(ctx, requester.Node(), message.LeaseRecall{Requester: requester, Grantor: grantor})
		s = next
		effects = concat(effects, more, []effect.Effect{
			decisionLog(effect.Info, "failing target recalled its lease from a healthier target", grantor, l,
				effect.LogField{Name: "Asker", Value: requester}),
		})
	}
	return s, effects
}
