// Package admission holds the sidecar's decisions on the targets of its host: which attempts run now, wait or are refused.
//
// Each target has the slots that it announced and a queue. The queue is bounded in length, and an attempt that would miss its
// response-time goal by waiting is refused at once, so that it can still run elsewhere. Orders go before internal requests, and
// those before lookups. Everything refused here has verdict NotRun, except for a duplicate of an attempt that may have started.
//
// # Usage
//
//	state := admission.New(self, settings)
//	state, effects, change := state.Announced(ctx, announcement)
//	state, effects = state.Asked(ctx, attempt)
//	state, effects, finished := state.RunFinished(ctx, attemptID, outcome)
package admission

import (
	"time"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/fleet"
)

// maxDeadline bounds the deadline of every attempt, as the tables bound that of every route.
const maxDeadline = 60 * time.Second

// State is what the sidecar knows of the targets on its host.
type State struct {
	self fleet.NodeID
	// settings are those in force.
	settings fleet.Settings
	targets  fleet.Map[fleet.TargetID, localTarget]
	running  fleet.Map[fleet.AttemptID, Run]
	// queued gives the place of each queued attempt.
	queued fleet.Map[fleet.AttemptID, queuePosition]
	seen   seenAttempts
	// tombstones holds the targets that drained or withdrew lately, crashes those whose process died lately.
	tombstones fleet.Map[fleet.TargetID, tombstone]
	crashes    fleet.Map[fleet.TargetID, crashRecord]
	// pendingCrashChecks holds the runs that broke off until it is known whether the process died.
	pendingCrashChecks fleet.Map[fleet.AttemptID, pendingCrashCheck]
	// lastTicket numbers the queued attempts in the order of their arrival.
	lastTicket uint64
	lastTick   time.Time
	draining   bool
	// parentsNamed means that the targets of this host name the request that makes a call.
	parentsNamed bool
}

// Gate is what the ejection part says of a target when an attempt asks for admission.
type Gate uint8

// The gates.
const (
	// GateOpen admits everything.
	GateOpen Gate = iota
	// GateClosed refuses everything, since the target is ejected.
	GateClosed
	// GateTrial admits one idempotent attempt, to see whether an ejected target has recovered.
	GateTrial
)

// Context is what the sidecar's other parts say when an event comes.
type Context struct {
	Now time.Time
	// PoolSize returns the number of targets of a pool, which share its retry budget.
	PoolSize func(fleet.PoolName) int
	// Gate says which attempts a target takes.
	Gate func(fleet.TargetID) Gate
	// Health is what a target's last requests say of it; MayTry reports whether one that is not healthy takes a trial now.
	Health       func(fleet.TargetID) fleet.Health
	TrialAllowed func(fleet.TargetID) bool
	// Quarantined reports whether requests with a fingerprint are refused; Suspected whether they may have crashed a
	// target, so that no two of them run on one target at a time. Nil means that none are.
	Quarantined func(fleet.Fingerprint) bool
	Suspected   func(fleet.Fingerprint) bool
}

func (c Context) quarantined(f fleet.Fingerprint) bool {
	return c.Quarantined != nil && c.Quarantined(f)
}

func (c Context) suspected(f fleet.Fingerprint) bool { return c.Suspected != nil && c.Suspected(f) }

// queuePosition is where an attempt waits.
type queuePosition struct {
	target fleet.TargetID
	ticket ticket
}

// New returns the state of the sidecar of the given node.
func New(self fleet.NodeID, settings fleet.Settings) State {
	return State{self: self, settings: settings}
}

// WithSettings returns the state under other settings.
func (s State) WithSettings(settings fleet.Settings) State {
	s.settings = settings
	return s
}

// AttemptArrived decides on an attempt.
func (s State) AttemptArrived(ctx Context, attempt fleet.Attempt) (State, []effect.Effect) {
	if started, ok := s.seen.get(attempt.ID); ok {
		return s, s.refuseDuplicate(ctx.Now, attempt, started)
	}
	if limit := ctx.Now.Add(maxDeadline); attempt.Deadline.After(limit) {
		attempt = attempt.WithDeadline(limit)
	}
	l, _ := s.targets.Get(attempt.Target)
	cause, refused := s.refusalCause(ctx, l, attempt)
	// While a slot is free, the queue holds only suspects that wait for another suspect.
	if !refused && s.canStart(ctx, l, attempt) {
		return s.startRun(ctx, l, attempt)
	}
	s.seen = s.seen.with(ctx.Now, attempt.ID, false)
	if refused && s.chargesRefusal(ctx, l, attempt, cause) {
		return s.refuseCharged(ctx, l, attempt, cause)
	}
	if refused {
		return s, s.refuse(ctx.Now, attempt, cause)
	}
	return s.enqueue(ctx, l, attempt)
}

// refusalCause returns why a target takes no attempt like this one, however idle it is.
func (s State) refusalCause(ctx Context, l localTarget, attempt fleet.Attempt) (fleet.Cause, bool) {
	switch gate := ctx.Gate(attempt.Target); {
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
	case gate == GateClosed, gate == GateTrial && (!attempt.Idempotent || l.running.Len() > 0):
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

// healthAllows reports whether an attempt may run on its target as far as the target's last requests say. It answers two loads:
//
//   - A pool of which only failing targets are left: an order that is forced on one of them mostly fails, and nobody knows
//     whether it ran. So orders take no more of a faulty target than its trials, and only when no other trial does; the rest is
//     refused and may come again.
//   - A pool that sheds a part of its requests: what a target refuses has not run and is asked for elsewhere, so that every
//     request that finds no healthy target may be forced on a shedding one.
func healthAllows(ctx Context, attempt fleet.Attempt) bool {
	health := ctx.Health(attempt.Target)
	switch {
	case health == fleet.Healthy, attempt.Forced && (attempt.Idempotent || health == fleet.Shedding):
		return true
	default:
		return (attempt.Forced || attempt.Trial) && ctx.TrialAllowed(attempt.Target)
	}
}

// canStart reports whether an attempt can start now.
func (s State) canStart(ctx Context, l localTarget, attempt fleet.Attempt) bool {
	return l.running.Len() < l.slots && (!ctx.suspected(attempt.Fingerprint) || !s.runsSuspect(ctx, l))
}

// runsSuspect reports whether a suspected request runs on the target. When a suspect runs without another, a crash or a
// success counts for it only.
func (s State) runsSuspect(ctx Context, l localTarget) bool {
	for id := range l.running.All() {
		run, _ := s.running.Get(id)
		if ctx.suspected(run.Attempt.Fingerprint) {
			return true
		}
	}
	return false
}

// enqueue lets an attempt wait, in place of one of a lower class when the queue is full.
func (s State) enqueue(ctx Context, l localTarget, attempt fleet.Attempt) (State, []effect.Effect) {
	wait := l.expectedWait(ctx.Now, attempt)
	if attempt.Probe || l.tooLate(ctx.Now, attempt, wait) {
		return s, s.refuse(ctx.Now, attempt, fleet.Overloaded)
	}
	var effects []effect.Effect
	if l.queue.len() >= queuePerSlot*l.slots {
		waiters := l.inQueueOrder(ctx.Now)
		last := waiters[len(waiters)-1]
		if !last.order.displacedBy(l.queueOrderOf(ctx.Now, unqueued, attempt)) {
			return s, s.refuse(ctx.Now, attempt, fleet.Overloaded)
		}
		s, l = s.dequeue(l, last.attempt)
		effects = s.refuse(ctx.Now, last.attempt, fleet.Overloaded)
	}
	s.lastTicket++
	t := ticket(s.lastTicket)
	l.queue = l.queue.with(t, attempt)
	s.queued = s.queued.With(attempt.ID, queuePosition{target: attempt.Target, ticket: t})
	s.targets = s.targets.With(attempt.Target, l)
	return s, effects
}

// dequeue takes an attempt out of a target's queue.
func (s State) dequeue(l localTarget, attempt fleet.Attempt) (State, localTarget) {
	p, _ := s.queued.Get(attempt.ID)
	l.queue = l.queue.without(p.ticket)
	s.queued = s.queued.Without(attempt.ID)
	s.targets = s.targets.With(attempt.Target, l)
	return s, l
}

// refuseQueued refuses everything that waits for a target.
func (s State) refuseQueued(now time.Time, id fleet.TargetID, cause fleet.Cause) (State, []effect.Effect) {
	l, _ := s.targets.Get(id)
	var effects []effect.Effect
	for _, w := range l.inQueueOrder(now) {
		s, l = s.dequeue(l, w.attempt)
		effects = append(effects, s.refuse(now, w.attempt, cause)...)
	}
	return s, effects
}

// AttemptCanceled ends an attempt that its ingress gave up. One that waits is confirmed as not run; one that is not known yet is
// never started.
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
		s.seen = s.seen.with(ctx.Now, id, false)
	}
	return s, nil
}

// Report returns the load of the attempt's target. The detector adds what it knows.
func (s State) Report(now time.Time, attempt fleet.Attempt) fleet.TargetReport {
	l, _ := s.targets.Get(attempt.Target)
	return fleet.TargetReport{
		Target:       attempt.Target,
		Class:        attempt.Class,
		Load:         s.Load(attempt.Target),
		ExpectedWait: l.expectedWait(now, attempt),
	}
}

// Load returns a target's load.
func (s State) Load(id fleet.TargetID) fleet.Load {
	l, _ := s.targets.Get(id)
	return fleet.Load{InFlight: l.running.Len(), Queued: l.queue.len(), Slots: l.slots}
}

// Targets returns the targets on this host that can be reached, in id order, for the member record.
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

// HasTarget reports whether a target has announced itself and is not gone.
func (s State) HasTarget(id fleet.TargetID) bool {
	_, ok := s.targets.Get(id)
	return ok
}

// Running returns an attempt that runs on a target of this host.
func (s State) Running(id fleet.AttemptID) (Run, bool) { return s.running.Get(id) }

// InFlight returns the number of attempts that run on targets of this host.
func (s State) InFlight() int { return s.running.Len() }
