package ejection

import (
	"time"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/fleet"
	"jayfold.dev/jayfold/internal/core/message"
)

// suspectTime is how long a target found failing is suspect at least. It is longer than retryTime, so that targets which
// failed in the same burst do not grant to one another when the burst ends.
const suspectTime = 15 * time.Second

// recallMargin is how much worse a grantor's share of bad requests must be than a holder's before it recalls the lease.
const recallMargin = 0.2

// requested answers a lease request. A request with a lower number than the last one is late and has no answer: a promise
// for it could be dropped by a release that is just as late.
func (s State) requested(ctx Context, m message.LeaseRequest) (State, []effect.Effect) {
	askers, _ := s.promises.Get(m.Grantor)
	p, _ := askers.Get(m.Requester)
	live := ctx.Now.Before(p.until)
	if live && m.Number < p.number {
		return s, nil
	}
	if live {
		p.number = m.Number
		s = s.withPromises(m.Grantor, askers.With(m.Requester, p))
	}
	if !s.canGrant(ctx, m) {
		return s.refuse(ctx, m, s.ejectedLately(ctx, m.Grantor))
	}
	if s.suspected(ctx, m.Grantor, live) {
		return s.refuse(ctx, m, true)
	}
	p = promise{number: m.Number, until: ctx.Now.Add(leaseDuration), badShare: m.BadShare}
	s = s.withPromises(m.Grantor, askers.With(m.Requester, p))
	return s.deliver(ctx, m.Requester.Node(), message.LeaseGrant{
		Number:         m.Number,
		Requester:      m.Requester,
		Grantor:        m.Grantor,
		Duration:       leaseDuration,
		RecentlyFailed: ctx.Evidence(m.Grantor).RecentlyFailed(),
	})
}

func (s State) refuse(ctx Context, m message.LeaseRequest, suspect bool) (State, []effect.Effect) {
	return s.deliver(ctx, m.Requester.Node(), message.LeaseRefusal{
		Number:    m.Number,
		Requester: m.Requester,
		Grantor:   m.Grantor,
		Suspect:   suspect,
	})
}

// canGrant reports whether the grantor is in service in the pool.
func (s State) canGrant(ctx Context, m message.LeaseRequest) bool {
	t, ok := ctx.ready(m.Grantor)
	l, _ := s.targets.Get(m.Grantor)
	return ok && !s.draining && t.Pool == m.Pool && m.Grantor != m.Requester && l.phase != ejected
}

// ejectedLately reports whether a target was ejected so lately that it still counts among those that fail together.
// Otherwise the targets hit by one burst are ejected one after the other, each when the last one no longer counts.
func (s State) ejectedLately(ctx Context, id fleet.TargetID) bool {
	l, _ := s.targets.Get(id)
	return l.phase == ejected && ctx.Now.Sub(l.failedAt) < suspectTime
}

// suspected reports whether a target in service may be failing. A promise that is to be renewed is kept through a few
// single errors.
func (s State) suspected(ctx Context, id fleet.TargetID, renewal bool) bool {
	l, known := s.targets.Get(id)
	if known && (l.phase == asking || ctx.Now.Sub(l.failedAt) < suspectTime) {
		return true
	}
	evidence := ctx.Evidence(id)
	if renewal {
		return evidence.Score >= evidence.Threshold/2 && evidence.IsSuspect(ctx.Now)
	}
	return evidence.IsSuspect(ctx.Now)
}

// released drops a promise that its asker no longer relies on.
func (s State) released(m message.LeaseRelease) State {
	askers, _ := s.promises.Get(m.Grantor)
	p, ok := askers.Get(m.Requester)
	if !ok || p.number != m.Number {
		return s
	}
	return s.withPromises(m.Grantor, askers.Without(m.Requester))
}

// recall asks the holders in better health to release the promises of a failing target.
func (s State) recall(ctx Context, grantor fleet.TargetID) (State, []effect.Effect) {
	l, _ := s.targets.Get(grantor)
	askers, _ := s.promises.Get(grantor)
	var effects []effect.Effect
	for asker, p := range askers.All() {
		if !ctx.Now.Before(p.until) || l.evidence.BadShare() < p.badShare+recallMargin {
			continue
		}
		next, more := s.deliver(ctx, asker.Node(), message.LeaseRecall{Requester: asker, Grantor: grantor})
		s = next
		effects = concat(effects, more, []effect.Effect{
			decision(effect.Info, "lease recalled from a healthier target", grantor, l,
				effect.LogField{Name: "Asker", Value: asker}),
		})
	}
	return s, effects
}
