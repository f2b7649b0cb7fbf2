// Package attempt implements target selection and retries of the ingress: it picks a target for each request, retries and hedges
// within the deadline and the retry budget, and decides which response the caller gets.
//
// # Usage
//
//	state := attempt.New(zone)
//	state, effects := state.RequestArrived(ctx, request, route, idempotent)
//	state, effects = state.AttemptFinished(ctx, attemptID, outcome, report)
//	state, effects = state.Tick(ctx)
//
// A request that is not idempotent has at most one attempt in flight and is retried only after the verdict NotRun. An
// idempotent one is retried and hedged on other targets, within the retry budget that their sidecars keep. Results of
// canceled attempts are dropped.
package attempt

import (
	"cmp"
	"time"

	"jayfold.dev/jayfold/internal/core/accounts"
	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/fleet"
)

// State holds the requests that the ingress has accepted and what it knows of the targets that it has used. It is
// immutable, and so are the values behind its pointers.
type State struct {
	zone        fleet.AvailabilityZone
	requests    fleet.HashMap[fleet.RequestID, *activeRequest]
	timers      timerQueue
	attempts    attemptCounts
	unreachable unreachableNodes
	// pools holds the view of each pool, and poolNames the sorted names of these pools.
	pools     fleet.HashMap[fleet.PoolName, *poolView]
	poolNames fleet.Set[fleet.PoolName]
	// drainDeadline is when a draining node ends its requests; zero unless it is draining.
	drainDeadline time.Time
	// pruneCursor is the pool to prune next.
	pruneCursor fleet.PoolName
	// meteredZones is true if bytes between availability zones are expensive, so that requests cross zones only while that pays.
	meteredZones bool
	// byCost is true if targets are compared by expected completion time instead of requests per slot.
	byCost bool
}

// withPool returns the state with the view of a pool replaced.
func (s State) withPool(name fleet.PoolName, p *poolView) State {
	if _, known := s.pools.Get(name); !known {
		s.poolNames = s.poolNames.With(name)
	}
	s.pools = s.pools.With(name, p)
	return s
}

// Context holds the time, the random number and the state of the node's other components for one event.
type Context struct {
	Now       time.Time
	Random    uint64
	Directory fleet.Directory
	// JustStarted is true if this node has just started and may not know every target yet.
	JustStarted bool
	// Revision is that of the tables in force, and RevisionAge the time since they came into force.
	Revision    fleet.Revision
	RevisionAge time.Duration
	// Accounts is the index of the accounts in force.
	Accounts accounts.Index
	// Quarantined reports whether requests with a fingerprint are refused. It may be nil if no fingerprint is suspected.
	Quarantined func(fleet.Fingerprint) bool
}

// quarantined reports whether a request must not be retried because requests with its fingerprint crash targets.
func (c Context) quarantined(req activeRequest) bool {
	return c.Quarantined != nil && c.Quarantined(req.template.Fingerprint)
}

// New returns the state of an ingress in the given availability zone.
func New(zone fleet.AvailabilityZone) State {
	return State{zone: zone}
}

// WithPlacement returns the state with another way of choosing targets, which applies from the next attempt on.
func (s State) WithPlacement(placement fleet.Placement) State {
	s.byCost = placement == fleet.PlacementByCost
	return s
}

// RequestArrived accepts a request and starts its first attempt. If no target may take it, the request is deferred or refused.
func (s State) RequestArrived(ctx Context, request fleet.Request, route fleet.Route, idempotent bool) (State, []effect.Effect) {
	timeout := route.Deadline
	if request.Timeout > 0 && request.Timeout < timeout {
		timeout = request.Timeout
	}
	if !s.drainDeadline.IsZero() {
		timeout = min(timeout, s.drainDeadline.Sub(ctx.Now))
	}
	req := activeRequest{
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
			Account:       request.Account,
			Child:         request.Child,
			Deadline:      ctx.Now.Add(timeout),
			Goal:          ctx.Now.Add(min(cmp.Or(route.Goal, timeout), timeout)),
			Fingerprint:   request.Fingerprint,
			Key:           request.Key,
		},
		credential:  request.Credential,
		keysChecked: ctx.Accounts.RequiresKeys(),
		maxTargets:  cmp.Or(route.Attempts, defaultMaxTargets),
		revision:    ctx.Revision,
		revisionAge: ctx.RevisionAge,
		verdict:     fleet.NotRun,
		problem:     fleet.NewProblem(fleet.NoTarget, fleet.NotRun, "no target of the pool is left to try"),
	}
	next, effects, ok := s.startOrDefer(ctx, req)
	if !ok {
		return s.endRequest(ctx.Now, req, req.refuseEffect())
	}
	return next, effects
}

// WithDrainDeadline returns the state in which the requests in flight and all later ones end by the given time.
func (s State) WithDrainDeadline(until time.Time) State {
	s.drainDeadline = until
	for _, req := range s.requests.All() {
		if clipped := *req; clipped.template.Deadline.After(until) {
			clipped.template.Deadline = until
			clipped.timerAt = minTime(clipped.timerAt, until)
			s = s.withRequest(clipped)
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

// RequestCanceled ends a request whose caller has disconnected.
func (s State) RequestCanceled(now time.Time, id fleet.RequestID) (State, []effect.Effect) {
	req, ok := s.requests.Get(id)
	if !ok {
		return s, nil
	}
	return s.endRequest(now, *req)
}

// InFlight returns the number of requests that wait for their response.
func (s State) InFlight() int { return s.requests.Len() }

// HasChild reports whether a child request of the given request is in flight.
func (s State) HasChild(parent fleet.RequestID) bool {
	for _, req := range s.requests.All() {
		if req.parent == parent {
			return true
		}
	}
	return false
}

func (s State) startAttempt(ctx Context, req activeRequest, chosen placement) (State, activeRequest, effect.Effect) {
	c := chosen.candidate
	attempt := req.template
	attempt.Probe = chosen.mode == probing
	attempt.Brief = chosen.mode == briefly
	attempt.Forced = chosen.mode == forced
	attempt.Trial = req.nextMayBeTrial(ctx.Now)
	attempt.IsRetry = req.nextIsRetry()
	attempt.BudgetCharged = req.budgetCharged && (attempt.IsRetry || attempt.ParentRetried)
	attempt.ID = fleet.NewAttemptID(req.id, req.attemptCount+1)
	attempt.Target = c.Target.ID
	attempt.PoolSize = len(ctx.Directory.Candidates(attempt.Pool))
	attempt.Node = c.Node
	attempt.Address = c.ForwardAddress
	attempt.Baseline = s.pool(attempt.Pool).baselines[attempt.Class].value
	s.attempts = s.attempts.incremented(c.Target.ID)
	s.unreachable = s.unreachable.withAttempt(ctx, c.Node)
	ownZone := c.AvailabilityZone == s.zone
	active := activeAttempt{mode: chosen.mode, ownZone: ownZone, queueWait: req.queueWaitAt(c.Target.ID)}
	if s.byCost {
		active.expected = s.expectedCost(ctx.Now, attempt, c, chosen.mode)
		active.queueWait = max(active.queueWait, active.expected.wait)
		s = s.withPool(attempt.Pool, s.pool(attempt.Pool).withAttempt(c.Target.ID, c.AvailabilityZone))
	}
	started := req.withAttempt(ctx.Now, attempt, active)
	return s, started, effect.ForwardAttempt{
		Attempt: attempt, CrossZone: !ownZone, RemoveCredentials: req.keysChecked || ctx.Accounts.RequiresKeys(),
	}
}

// queueWaitAt returns the expected wait that a target reported when it refused the request as full; 0 if it has not done so.
func (req activeRequest) queueWaitAt(id fleet.TargetID) time.Duration {
	for _, r := range req.refusals {
		if r.target == id && r.cause == fleet.Overloaded {
			return r.queueWait
		}
	}
	return 0
}

// withRequest stores a request and its next timer.
func (s State) withRequest(req activeRequest) State {
	if old, ok := s.requests.Get(req.id); ok {
		s.timers = s.timers.without(old.timerKey)
	}
	s.timers, req.timerKey = s.timers.with(req.timerAt, req.id)
	s.requests = s.requests.With(req.id, &req)
	return s
}

// endRequest removes a request. The effects that cancel its attempts in flight precede the final ones.
func (s State) endRequest(now time.Time, req activeRequest, final ...effect.Effect) (State, []effect.Effect) {
	if old, ok := s.requests.Get(req.id); ok {
		s.timers = s.timers.without(old.timerKey)
		s.requests = s.requests.Without(req.id)
	}
	effects := make([]effect.Effect, 0, len(req.inFlight)+len(final)+1)
	for _, a := range req.inFlight {
		s.attempts = s.attempts.decremented(a.target)
		effects = append(effects, effect.CancelAttempt{Attempt: a.id})
	}
	effects = append(effects, req.logLine(now, final))
	return s, append(effects, final...)
}
