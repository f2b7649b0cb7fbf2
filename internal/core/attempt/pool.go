package attempt

import (
	"time"

	"jayfold.dev/jayfold/internal/core/fleet"
)

// pool is what the ingress knows of one pool. It is immutable.
type pool struct {
	views     fleet.HashMap[fleet.TargetID, *view]
	baselines [len(fleet.Classes)]baseline
}

// unknownPool is the view of a pool of which nothing was heard yet.
var unknownPool pool

func (s State) pool(name fleet.PoolName) *pool {
	if p, ok := s.pools.Get(name); ok {
		return p
	}
	return &unknownPool
}

func (p *pool) view(id fleet.TargetID) *view {
	if v, ok := p.views.Get(id); ok {
		return v
	}
	return &unknownView
}

// with returns the pool with another view of a target.
func (p *pool) with(id fleet.TargetID, v view) *pool {
	next := *p
	next.views = p.views.With(id, &v)
	return &next
}

// reported returns the pool after a sidecar's report on one of its targets.
func (p *pool) reported(now time.Time, r fleet.TargetReport) *pool {
	v := view{load: r.Load, heard: now}
	if r.Ejected {
		v.refusedUntil = now.Add(refusalLifetime)
	}
	if r.Load.Utilization() >= full {
		v.fullUntil = now.Add(min(r.ExpectedWait, longestFull))
	}
	if r.Health != fleet.Healthy {
		v.health = r.Health
		v.suspectUntil = now.Add(suspicionLifetime)
	}
	next := p.with(r.Target, v)
	if r.P95 > 0 && int(r.Class) < len(next.baselines) {
		next.baselines[r.Class] = next.baselines[r.Class].with(now, r.Target, r.P95)
	}
	return next
}

// refused returns the pool after a target refused as ejected, draining or unknown.
func (p *pool) refused(now time.Time, id fleet.TargetID) *pool {
	v := *p.view(id)
	v.heard = now
	v.refusedUntil = now.Add(refusalLifetime)
	return p.with(id, v)
}

// pruned returns the pool without the targets that were not heard of for long.
func (p *pool) pruned(now time.Time) *pool {
	next := *p
	for id, v := range p.views.All() {
		if now.Sub(v.heard) > viewLifetime {
			next.views = next.views.Without(id)
		}
	}
	return &next
}

// pruned forgets what was not heard of for long in one pool per call, so that the state stays as large as the fleet.
func (s State) pruned(now time.Time) State {
	next := fleet.PoolName("")
	looked := 0
	for name := range s.names.From(s.cursor) {
		if looked++; looked > 1 {
			next = name
			break
		}
		p := s.pool(name)
		if kept := p.pruned(now); kept.views.Len() == 0 {
			s.pools, s.names = s.pools.Without(name), s.names.Without(name)
		} else if kept.views.Len() < p.views.Len() {
			s.pools = s.pools.With(name, kept)
		}
	}
	s.cursor = next
	s.reaches = s.reaches.pruned(now)
	return s
}
