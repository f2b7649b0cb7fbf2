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

// longestDeadline bounds the deadline of every attempt, as the tables bound that of every route.
const longestDeadline = 60 * time.Second

// State is what the sidecar knows of the targets on its host.
type State struct {
	self fleet.NodeID
	// settings are those in force.
	settings fleet.Settings
	targets  fleet.Map[fleet.TargetID, local]
	running  fleet.Map[fleet.AttemptID, Run]
	// waiting gives the place of each queued attempt.
	waiting fleet.Map[fleet.AttemptID, place]
	seen    memory
	// departed holds the targets that drained or withdrew lately, crashes those whose process died lately.
	departed fleet.Map[fleet.TargetID, departure]
	crashes  fleet.Map[fleet.TargetID, crashed]
	// unchecked holds the runs that broke off until it is known whether the process died.
	unchecked fleet.Map[fleet.AttemptID, broken]
	// arrivals numbers the queued attempts in the order of their arrival.
	arrivals uint64
	ticked   time.Time
	draining bool
	// named means that the targets of this host name the request that makes a call.
	named bool
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

// place is where an attempt waits.
type place struct {
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
	if limit := ctx.Now.Add(longestDeadline); attempt.Deadline.After(limit) {
		attempt = attempt.WithDeadline(limit)
	}
	l, _ := s.targets.Get(attempt.Target)
	cause, refused := s.barred(ctx, l, attempt)
	// While a slot is free, the queue holds only suspects that wait for another suspect.
	if !refused && s.fits(ctx, l, attempt) {
		return s.run(ctx, l, attempt)
	}
	s.seen = s.seen.with(ctx.Now, attempt.ID, false)
	if refused && s.mayLend(ctx, l, attempt, cause) {
		return s.lend(ctx, l, attempt, cause)
	}
	if refused {
		return s, s.refuse(ctx.Now, attempt, cause)
	}
	return s.enqueue(ctx, l, attempt)
}

// barred returns why a target takes no attempt like this one, however idle it is.
func (s State) barred(ctx Context, l local, attempt fleet.Attempt) (fleet.Cause, bool) {
	switch gate := ctx.Gate(attempt.Target); {
	case s.draining:
		return fleet.Draining, true
	case l.announcement.Name == "" || l.announcement.Pool != attempt.Pool:
		return fleet.UnknownTarget, true
	case l.announcement.State == fleet.TargetDraining:
		return fleet.Draining, true
	case l.down:
		return fleet.Unreachable, true
	case ctx.quarantined(attempt.Fingerprint):
		return fleet.Quarantined, true
	case gate == GateClosed, gate == GateTrial && (!attempt.Idempotent || l.running.Len() > 0):
		return fleet.Ejected, true
	case !attempt.Deadline.After(ctx.Now):
		return fleet.DeadlinePassed, true
	case !healthAllows(ctx, attempt):
		return fleet.Failing, true
	case draws(attempt) && !attempt.BudgetCharged && !l.repeats.allows(ctx.Now, s.allowanceOf(ctx, attempt)):
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

// fits reports whether an attempt can start now.
func (s State) fits(ctx Context, l local, attempt fleet.Attempt) bool {
	return l.running.Len() < l.slots && (!ctx.suspected(attempt.Fingerprint) || !s.runsSuspect(ctx, l))
}

// runsSuspect reports whether a suspected request runs on the target. When a suspect runs without another, a crash or a
// success counts for it only.
func (s State) runsSuspect(ctx Context, l local) bool {
	for id := range l.running.All() {
		run, _ := s.running.Get(id)
		if ctx.suspected(run.Attempt.Fingerprint) {
			return true
		}
	}
	return false
}

// enqueue lets an attempt wait, in place of one of a lower class when the queue is full.
func (s State) enqueue(ctx Context, l local, attempt fleet.Attempt) (State, []effect.Effect) {
	wait := l.expectedWait(ctx.Now, attempt)
	if attempt.Probe || l.tooLate(ctx.Now, attempt, wait) {
		return s, s.refuse(ctx.Now, attempt, fleet.Overloaded)
	}
	var effects []effect.Effect
	if l.queue.len() >= queuePerSlot*l.slots {
		waiters := l.waiters(ctx.Now)
		last := waiters[len(waiters)-1]
		if !last.turn.yieldsTo(l.turnOf(ctx.Now, newcomer, attempt)) {
			return s, s.refuse(ctx.Now, attempt, fleet.Overloaded)
		}
		s, l = s.dequeue(l, last.attempt)
		effects = s.refuse(ctx.Now, last.attempt, fleet.Overloaded)
	}
	s.arrivals++
	t := ticket(s.arrivals)
	l.queue = l.queue.with(t, attempt)
	s.waiting = s.waiting.With(attempt.ID, place{target: attempt.Target, ticket: t})
	s.targets = s.targets.With(attempt.Target, l)
	return s, effects
}

// dequeue takes an attempt out of a target's queue.
func (s State) dequeue(l local, attempt fleet.Attempt) (State, local) {
	p, _ := s.waiting.Get(attempt.ID)
	l.queue = l.queue.without(p.ticket)
	s.waiting = s.waiting.Without(attempt.ID)
	s.targets = s.targets.With(attempt.Target, l)
	return s, l
}

// flush refuses everything that waits for a target.
func (s State) flush(now time.Time, id fleet.TargetID, cause fleet.Cause) (State, []effect.Effect) {
	l, _ := s.targets.Get(id)
	var effects []effect.Effect
	for _, w := range l.waiters(now) {
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
	if p, ok := s.waiting.Get(id); ok {
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
		if l.down {
			continue
		}
		targets = append(targets, fleet.Target{
			ID:    id,
			Pool:  l.announcement.Pool,
			State: l.announcement.State,
			Slots: l.announcement.Slots,
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
