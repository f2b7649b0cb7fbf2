// Package admission implements admission control at the sidecar: it decides which attempts run now, wait or are refused on the
// targets of its host.
//
// Each target has the slots reported in its heartbeats and a queue of bounded length. An attempt that would miss its latency
// goal by waiting is refused at once, so that it can still run on another target. Within a priority, orders run before internal
// requests and internal requests before lookups. Refusals have the verdict NotRun, except for a duplicate of an attempt that
// is queued or has started.
//
// # Usage
//
//	state := admission.New(self, settings)
//	state, effects, result := state.HeartbeatReceived(ctx, heartbeat)
//	state, effects = state.AttemptArrived(ctx, attempt)
//	state, effects, finished := state.RunFinished(ctx, attemptID, outcome)
package admission

import (
	"iter"
	"time"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/fleet"
)

// maxAttemptTimeout limits the time to the deadline of every attempt. The tables limit the deadlines of routes to the same value.
const maxAttemptTimeout = 60 * time.Second

// State is the state of admission control for the targets on this host.
type State struct {
	self     fleet.NodeID
	settings fleet.Settings
	targets  fleet.Map[fleet.TargetID, localTarget]
	running  fleet.Map[fleet.AttemptID, Run]
	// queued holds the queue positions of waiting attempts.
	queued fleet.Map[fleet.AttemptID, queuePosition]
	seen   seenAttempts
	// tombstones marks targets that are draining or have recently withdrawn or lost their address. crashes holds the recent
	// crashes.
	tombstones fleet.Map[fleet.TargetID, tombstone]
	crashes    fleet.Map[fleet.TargetID, crashRecord]
	// pendingCrashChecks holds runs with a broken connection until it is known whether the target crashed.
	pendingCrashChecks fleet.Map[fleet.AttemptID, pendingCrashCheck]
	// lastTicket is the ticket of the last attempt that was queued.
	lastTicket uint64
	firstTick  time.Time
	lastTick   time.Time
	draining   bool
	// parentsNamed is true if a target on this host has named the parent of a child request.
	parentsNamed bool
}

// ServiceState tells which attempts a target may take, depending on whether it is ejected.
type ServiceState uint8

// The service states.
const (
	// InService allows all attempts.
	InService ServiceState = iota
	// OutOfService allows no attempts, because the target is ejected.
	OutOfService
	// TrialDue allows one idempotent attempt at a time, which tests whether the ejected target has recovered.
	TrialDue
)

// Context provides the time of an event and the state of the node's other components.
type Context struct {
	Now time.Time
	// PoolSize returns the number of targets in a pool, which share its retry budget.
	PoolSize func(fleet.PoolName) int
	// ServiceState returns the service state of a target.
	ServiceState func(fleet.TargetID) ServiceState
	// Health returns the health of a target. AllowsTrial reports whether a target that is not healthy may take a trial request now.
	Health      func(fleet.TargetID) fleet.Health
	AllowsTrial func(fleet.TargetID) bool
	// Quarantined reports whether requests with a fingerprint are refused. Suspected reports whether they may have crashed a
	// target; no two such requests run on one target at the same time. Either may be nil if no fingerprint is suspected.
	Quarantined func(fleet.Fingerprint) bool
	Suspected   func(fleet.Fingerprint) bool
}

func (c Context) quarantined(f fleet.Fingerprint) bool {
	return c.Quarantined != nil && c.Quarantined(f)
}

func (c Context) suspected(f fleet.Fingerprint) bool { return c.Suspected != nil && c.Suspected(f) }

// queuePosition locates a waiting attempt.
type queuePosition struct {
	target fleet.TargetID
	ticket ticket
}

// New returns the initial state for the sidecar with the given node id.
func New(self fleet.NodeID, settings fleet.Settings) State {
	return State{self: self, settings: settings}
}

// WithSettings returns the state with the given settings.
func (s State) WithSettings(settings fleet.Settings) State {
	s.settings = settings
	return s
}

// AttemptArrived starts, queues or refuses an attempt.
func (s State) AttemptArrived(ctx Context, attempt fleet.Attempt) (State, []effect.Effect) {
	if started, ok := s.received(attempt.ID); ok {
		return s, s.refuseDuplicate(ctx.Now, attempt, started)
	}
	if limit := ctx.Now.Add(maxAttemptTimeout); attempt.Deadline.After(limit) {
		attempt = attempt.WithDeadline(limit)
	}
	l, _ := s.targets.Get(attempt.Target)
	cause, refused := s.refusalCause(ctx, l, attempt)
	// The attempt need not wait behind the queue: while a slot is free, the queue holds only suspected requests that wait for
	// another suspected request to finish.
	if !refused && s.canStart(ctx, l, attempt) {
		return s.startRun(ctx, l, attempt)
	}
	s.seen = s.seen.withRefused(ctx.Now, attempt.ID)
	if refused && s.chargesRefusal(ctx, l, attempt, cause) {
		return s.refuseCharged(ctx, l, attempt, cause)
	}
	if refused {
		return s, s.refuse(ctx.Now, attempt, cause)
	}
	return s.enqueue(ctx, l, attempt)
}

// refusalCause returns the cause for which a target must refuse the attempt regardless of its load, if there is one.
func (s State) refusalCause(ctx Context, l localTarget, attempt fleet.Attempt) (fleet.Cause, bool) {
	switch service := ctx.ServiceState(attempt.Target); {
	case s.draining:
		return fleet.Draining, true
	case l.heartbeat.Name == "" || l.heartbeat.Pool != attempt.Pool:
		return fleet.UnknownTarget, true
	case l.heartbeat.State == fleet.TargetDraining:
		return fleet.Draining, true
	case l.unreachable:
		return fleet.Unreachable, true
	case ctx.quarantined(attempt.Fingerprint):
		return fleet.Quarantined, true
	case service == OutOfService, service == TrialDue && (!attempt.Idempotent || l.running.Len() > 0):
		return fleet.Ejected, true
	case !attempt.Deadline.After(ctx.Now):
		return fleet.DeadlinePassed, true
	case !healthAllows(ctx, attempt):
		return fleet.Failing, true
	case countsAsRetry(attempt) && !attempt.BudgetCharged && !l.retryBudget.allows(ctx.Now, s.budgetParamsFor(ctx, attempt)):
		return fleet.RetryBudgetSpent, true
	default:
		return "", false
	}
}

// healthAllows reports whether the health of its target permits an attempt. The rules for forced attempts differ by health:
//
//   - If only faulty targets are left in the pool, an order that is forced on one of them usually fails, and it is unknown
//     whether it has run. Such an order therefore runs only if the target may take a trial request now. Otherwise it is refused
//     and can be retried.
//   - If the pool sheds some of its requests, a request that is shed has not run and is retried on another target. Any request
//     that finds no healthy target may therefore be forced on a shedding one.
//   - A silent target may only be slow. It takes idempotent requests, which can still run elsewhere, and any other one if no healthy
//     target is left.
func healthAllows(ctx Context, attempt fleet.Attempt) bool {
	health := ctx.Health(attempt.Target)
	switch {
	case health == fleet.Healthy, health == fleet.Silent && attempt.Idempotent:
		return true
	case attempt.Forced && (attempt.Idempotent || health == fleet.Shedding || health == fleet.Silent):
		return true
	default:
		return (attempt.Forced || attempt.Trial) && ctx.AllowsTrial(attempt.Target)
	}
}

// canStart reports whether the target has a free slot and, if the attempt is suspected, is running no other suspected request.
func (s State) canStart(ctx Context, l localTarget, attempt fleet.Attempt) bool {
	return l.running.Len() < l.slots && (!ctx.suspected(attempt.Fingerprint) || !s.runsSuspect(ctx, l))
}

// runsSuspect reports whether a suspected request is running on the target. Suspected requests run one at a time on a target,
// so that a crash or a success can be attributed to one of them.
func (s State) runsSuspect(ctx Context, l localTarget) bool {
	for id := range l.running.All() {
		run, _ := s.running.Get(id)
		if ctx.suspected(run.Attempt.Fingerprint) {
			return true
		}
	}
	return false
}

// enqueue queues an attempt, or refuses it if it is a probe or would start too late. In a full queue, the less urgent of the
// attempt and the last one in the queue is refused.
func (s State) enqueue(ctx Context, l localTarget, attempt fleet.Attempt) (State, []effect.Effect) {
	if attempt.Probe {
		return s, s.refuse(ctx.Now, attempt, fleet.Overloaded)
	}
	wait, reserved := s.waitByShare(ctx.Now, l, attempt)
	if l.tooLate(ctx.Now, attempt, wait) || s.waitsTooLong(ctx.Now, l, attempt, wait) {
		return s, s.refuse(ctx.Now, attempt, fleet.Overloaded)
	}
	s, l, effects, ok := s.makeRoom(ctx, l, attempt, reserved)
	if !ok {
		return s, s.refuse(ctx.Now, attempt, fleet.Overloaded)
	}
	s.lastTicket++
	t := ticket(s.lastTicket)
	l.queue, l.fair.reserved = l.queue.with(t, attempt), l.fair.reserved.withTicket(attempt.ID, t)
	s.queued = s.queued.With(attempt.ID, queuePosition{target: attempt.Target, ticket: t})
	s.targets = s.targets.With(attempt.Target, l)
	return s, effects
}

// dequeue removes an attempt from a target's queue.
func (s State) dequeue(l localTarget, attempt fleet.Attempt) (State, localTarget) {
	p, _ := s.queued.Get(attempt.ID)
	l.queue = l.queue.without(p.ticket)
	s.queued = s.queued.Without(attempt.ID)
	s.targets = s.targets.With(attempt.Target, l)
	return s, l
}

// refuseQueued refuses all attempts in a target's queue.
func (s State) refuseQueued(now time.Time, id fleet.TargetID, cause fleet.Cause) (State, []effect.Effect) {
	l, _ := s.targets.Get(id)
	var effects []effect.Effect
	for _, q := range l.inQueueOrder(now) {
		s, l = s.dequeue(l, q.attempt)
		effects = append(effects, s.refuse(now, q.attempt, cause)...)
	}
	return s, effects
}

// refuseQueuedFrom refuses all queued attempts of an ingress that does not send a body. Each of them would otherwise hold a slot
// until its own body stalls.
func (s State) refuseQueuedFrom(now time.Time, ingress fleet.NodeID) (State, []effect.Effect) {
	var effects []effect.Effect
	for _, p := range s.queued.All() {
		l, _ := s.targets.Get(p.target)
		attempt, _ := l.queue.get(p.ticket)
		if attempt.Ingress != ingress {
			continue
		}
		s, _ = s.dequeue(l, attempt)
		effects = append(effects, s.refuse(now, attempt, fleet.BodyStalled)...)
	}
	return s, effects
}

// AttemptCanceled cancels an attempt. A queued attempt is refused with the verdict NotRun. An attempt that has not arrived yet is
// recorded as seen, so that it never starts.
func (s State) AttemptCanceled(ctx Context, id fleet.AttemptID) (State, []effect.Effect) {
	if _, ok := s.running.Get(id); ok {
		return s, []effect.Effect{effect.CancelRun{Attempt: id}}
	}
	if p, ok := s.queued.Get(id); ok {
		l, _ := s.targets.Get(p.target)
		attempt, _ := l.queue.get(p.ticket)
		s, _ = s.dequeue(l, attempt)
		return s, s.refuse(ctx.Now, attempt, fleet.Canceled)
	}
	if _, ok := s.seen.get(id); !ok {
		s.seen = s.seen.withRefused(ctx.Now, id)
	}
	return s, nil
}

// Report returns a report with the load of the attempt's target and the expected wait of the attempt. Package node adds
// the remaining fields.
func (s State) Report(now time.Time, attempt fleet.Attempt) fleet.TargetReport {
	l, _ := s.targets.Get(attempt.Target)
	return fleet.TargetReport{
		Target:       attempt.Target,
		Class:        attempt.Class,
		Load:         s.Load(attempt.Target),
		ExpectedWait: s.expectedWait(now, l, attempt),
		MeanTime:     s.meanTime(l, attempt.Class),
	}
}

// Load returns a target's load.
func (s State) Load(id fleet.TargetID) fleet.Load {
	l, _ := s.targets.Get(id)
	return fleet.Load{InFlight: l.running.Len(), Queued: l.queue.len(), Slots: l.slots}
}

// Targets returns the reachable targets on this host in id order, as published in the member record.
func (s State) Targets() []fleet.Target {
	targets := make([]fleet.Target, 0, s.targets.Len())
	for id, l := range s.targets.All() {
		if l.unreachable {
			continue
		}
		targets = append(targets, fleet.Target{
			ID:    id,
			Pool:  l.heartbeat.Pool,
			State: l.heartbeat.State,
			Slots: l.heartbeat.Slots,
		})
	}
	return targets
}

// HasTarget reports whether a target is registered on this host.
func (s State) HasTarget(id fleet.TargetID) bool {
	_, ok := s.targets.Get(id)
	return ok
}

// Running returns the run of an attempt that is in progress on a target on this host.
func (s State) Running(id fleet.AttemptID) (Run, bool) { return s.running.Get(id) }

// Runs lists the runs in progress on the targets on this host.
func (s State) Runs() iter.Seq[Run] {
	return func(yield func(Run) bool) {
		for _, run := range s.running.All() {
			if !yield(run) {
				return
			}
		}
	}
}

// InFlight returns the number of runs in progress on the targets on this host.
func (s State) InFlight() int { return s.running.Len() }
