// Package attempt holds the ingress's decisions: it picks a target for each request, retries within the deadline and the
// budget, and decides which answer the caller gets.
//
// # Usage
//
//	state := attempt.New(zone)
//	state, effects := state.RequestArrived(ctx, request, route, idempotent)
//	state, effects = state.AttemptFinished(ctx, attemptID, outcome, report)
//	state, effects = state.Tick(ctx)
//
// A request that is not idempotent has at most one attempt in flight and gets another only after NotRun. An idempotent
// one is retried and hedged on other targets, within the retry budget that their sidecars keep. Outcomes of attempts that
// were given up are dropped.
package attempt

import (
	"cmp"
	"time"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/fleet"
)

// State is the ingress's view of the requests that it has accepted and of the targets that it has used. It is immutable,
// and so are the values behind its pointers.
type State struct {
	zone    fleet.AvailabilityZone
	flights fleet.HashMap[fleet.RequestID, *flight]
	wakes   timetable
	own     occupancy
	reaches reaches
	// pools holds what was heard of each pool, and names their names in order.
	pools fleet.HashMap[fleet.PoolName, *pool]
	names fleet.Set[fleet.PoolName]
	// until is when a leaving node gives up its requests; zero while it is not leaving.
	until time.Time
	// cursor is the pool that is pruned next.
	cursor fleet.PoolName
}

// withPool returns the state with another view of a pool.
func (s State) withPool(name fleet.PoolName, p *pool) State {
	if _, known := s.pools.Get(name); !known {
		s.names = s.names.With(name)
	}
	s.pools = s.pools.With(name, p)
	return s
}

// Context is what the ingress knows beside its own state when an event comes.
type Context struct {
	Now       time.Time
	Random    uint64
	Directory fleet.Directory
	// JustStarted means that this node has just started and may not have heard of every target.
	JustStarted bool
	// Revision is that of the tables in force, and RevisionAge for how long they have been.
	Revision    fleet.Revision
	RevisionAge time.Duration
	// Quarantined reports whether a fingerprint is refused by now; nil means that none is.
	Quarantined func(fleet.Fingerprint) bool
}

// quarantined reports whether a request must not be tried again, because it crashes targets.
func (c Context) quarantined(f flight) bool {
	return c.Quarantined != nil && c.Quarantined(f.template.Fingerprint)
}

// New returns the state of an ingress in the given availability zone.
func New(zone fleet.AvailabilityZone) State {
	return State{zone: zone}
}

// RequestArrived starts a request.
func (s State) RequestArrived(ctx Context, request fleet.Request, route fleet.Route, idempotent bool) (State, []effect.Effect) {
	limit := route.Deadline
	if request.Timeout > 0 && request.Timeout < limit {
		limit = request.Timeout
	}
	if !s.until.IsZero() {
		limit = min(limit, s.until.Sub(ctx.Now))
	}
	f := flight{
		id:       request.ID,
		parent:   request.Parent,
		received: ctx.Now,
		template: fleet.Attempt{
			Pool:          route.Pool,
			Class:         route.Class,
			Idempotent:    idempotent,
			Priority:      route.Priority,
			ParentRetried: request.ParentRetried,
			Caller:        request.Caller,
			Deadline:      ctx.Now.Add(limit),
			Goal:          ctx.Now.Add(min(cmp.Or(route.Goal, limit), limit)),
			Fingerprint:   request.Fingerprint,
			Key:           request.Key,
		},
		limit:    cmp.Or(route.Attempts, maxAttempts),
		revision: ctx.Revision,
		age:      ctx.RevisionAge,
		verdict:  fleet.NotRun,
		problem:  fleet.NewProblem(fleet.NoTarget, fleet.NotRun, "no target of the pool is left to try"),
	}
	next, effects, ok := s.proceed(ctx, f)
	if !ok {
		return s.end(ctx.Now, f, f.refusal())
	}
	return next, effects
}

// WithDrainDeadline makes every request end by a time, those in flight and those to come.
func (s State) WithDrainDeadline(until time.Time) State {
	s.until = until
	for _, f := range s.flights.All() {
		if clipped := *f; clipped.template.Deadline.After(until) {
			clipped.template.Deadline = until
			clipped.wake = minTime(clipped.wake, until)
			s = s.store(clipped)
		}
	}
	return s
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// RequestCanceled ends a request whose caller went away.
func (s State) RequestCanceled(now time.Time, id fleet.RequestID) (State, []effect.Effect) {
	f, ok := s.flights.Get(id)
	if !ok {
		return s, nil
	}
	return s.end(now, *f)
}

// InFlight returns the number of requests that wait for their answer.
func (s State) InFlight() int { return s.flights.Len() }

// HasChild reports whether a call that a request makes is in flight.
func (s State) HasChild(parent fleet.RequestID) bool {
	for _, f := range s.flights.All() {
		if f.parent == parent {
			return true
		}
	}
	return false
}

// start begins an attempt of a request on a target.
func (s State) start(ctx Context, f flight, where placement) (State, flight, effect.Effect) {
	c := where.candidate
	attempt := f.template
	attempt.Probe = where.manner == probing
	attempt.Forced = where.manner == forced
	attempt.Trial = f.mayFail(ctx.Now)
	attempt.IsRetry = f.arrived()
	attempt.BudgetCharged = f.credit && (attempt.IsRetry || attempt.ParentRetried)
	attempt.ID = fleet.NewAttemptID(f.id, f.attempts+1)
	attempt.Target = c.Target.ID
	attempt.PoolSize = len(ctx.Directory.Candidates(attempt.Pool))
	attempt.Node = c.Node
	attempt.Address = c.ForwardAddress
	attempt.Baseline = s.pool(attempt.Pool).baselines[attempt.Class].value
	s.own = s.own.occupied(c.Target.ID)
	s.reaches = s.reaches.tried(ctx, c.Node)
	near := c.AvailabilityZone == s.zone
	started := f.started(ctx.Now, attempt, try{manner: where.manner, near: near, wait: f.waitAt(c.Target.ID)})
	return s, started, effect.ForwardAttempt{Attempt: attempt, CrossZone: !near}
}

// waitAt returns the queue that a target named when it was asked for a slot; 0 when it was not.
func (f flight) waitAt(id fleet.TargetID) time.Duration {
	for _, b := range f.bounces {
		if b.target == id && b.cause == fleet.Overloaded {
			return b.wait
		}
	}
	return 0
}

// store keeps a request and the time at which it needs attention next.
func (s State) store(f flight) State {
	if old, ok := s.flights.Get(f.id); ok {
		s.wakes = s.wakes.without(old.due)
	}
	s.wakes, f.due = s.wakes.with(f.wake, f.id)
	s.flights = s.flights.With(f.id, &f)
	return s
}

// end forgets a request. Its attempts in flight are abandoned before the effects that end it.
func (s State) end(now time.Time, f flight, last ...effect.Effect) (State, []effect.Effect) {
	if old, ok := s.flights.Get(f.id); ok {
		s.wakes = s.wakes.without(old.due)
		s.flights = s.flights.Without(f.id)
	}
	effects := make([]effect.Effect, 0, len(f.live)+len(last)+1)
	for _, t := range f.live {
		s.own = s.own.released(t.target)
		effects = append(effects, effect.CancelAttempt{Attempt: t.id})
	}
	effects = append(effects, f.endLine(now, last))
	return s, append(effects, last...)
}
