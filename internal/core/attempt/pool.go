package attempt

import (
	"time"

	"jayfold.dev/jayfold/internal/core/fleet"
)

// poolView is what the ingress knows of one pool. It is immutable.
type poolView struct {
	targets   fleet.HashMap[fleet.TargetID, *targetView]
	baselines [len(fleet.Classes)]baseline
	crossZone crossZoneCredit
	costs     poolCosts
}

// unknownPool is the view of a pool without reports.
var unknownPool poolView

func (s State) pool(name fleet.PoolName) *poolView {
	if p, ok := s.pools.Get(name); ok {
		return p
	}
	return &unknownPool
}

func (p *poolView) target(id fleet.TargetID) *targetView {
	if v, ok := p.targets.Get(id); ok {
		return v
	}
	return &unknownView
}

// withTarget returns the pool with the view of a target replaced.
func (p *poolView) withTarget(id fleet.TargetID, v targetView) *poolView {
	next := *p
	next.targets = p.targets.With(id, &v)
	return &next
}

// withReport returns the pool after a sidecar's report on one of its targets.
func (p *poolView) withReport(now time.Time, r fleet.TargetReport) *poolView {
	v := targetView{load: r.Load, updatedAt: now}
	if r.Ejected {
		v.refusedUntil = now.Add(refusalLifetime)
	}
	if r.Load.Utilization() >= fullUtilization {
		v.fullUntil = now.Add(min(r.ExpectedWait, maxFullDuration))
	}
	if r.Health != fleet.Healthy {
		v.health = r.Health
		v.suspectUntil = now.Add(suspectLifetime)
	}
	next := p.withTarget(r.Target, v)
	if r.P95 > 0 && int(r.Class) < len(next.baselines) {
		next.baselines[r.Class] = next.baselines[r.Class].withReport(now, r.Target, r.P95)
	}
	return next
}

// withRefusal returns the pool after a refusal that applies to every attempt on a target.
func (p *poolView) withRefusal(now time.Time, id fleet.TargetID) *poolView {
	v := *p.target(id)
	v.updatedAt = now
	v.refusedUntil = now.Add(refusalLifetime)
	return p.withTarget(id, v)
}

// pruned returns the pool without the targets whose last report is older than viewLifetime.
func (p *poolView) pruned(now time.Time) *poolView {
	next := *p
	for id, v := range p.targets.All() {
		if now.Sub(v.updatedAt) > viewLifetime {
			next.targets = next.targets.Without(id)
		}
	}
	return &next
}

// pruned removes the expired targets of one pool per call, so that targets that have left the fleet do not stay in the state.
func (s State) pruned(now time.Time) State {
	next := fleet.PoolName("")
	visited := 0
	for name := range s.poolNames.From(s.pruneCursor) {
		if visited++; visited > 1 {
			next = name
			break
		}
		p := s.pool(name)
		if kept := p.pruned(now); kept.targets.Len() == 0 {
			s.pools, s.poolNames = s.pools.Without(name), s.poolNames.Without(name)
		} else if kept.targets.Len() < p.targets.Len() {
			s.pools = s.pools.With(name, kept)
		}
	}
	s.pruneCursor = next
	s.unreachable = s.unreachable.pruned(now)
	return s
}
