package admission

import (
	"time"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/fleet"
)

// maxMissedHeartbeats is the number of consecutive missed heartbeats after which a target is removed: one heartbeat may be lost,
// or one may be late by almost two intervals.
const maxMissedHeartbeats = 3

// heartbeatTimeout is the time without heartbeats after which a target is removed.
func (s State) heartbeatTimeout() time.Duration {
	return maxMissedHeartbeats * s.settings.HeartbeatInterval
}

// HeartbeatResult is the information about a target's process that a heartbeat reveals.
type HeartbeatResult struct {
	Target fleet.TargetID
	// NewProcess is true if the target's process was not registered before.
	NewProcess bool
	// Crash is present if the previous process died with requests in flight.
	Crash fleet.Option[Crash]
}

// HeartbeatReceived registers or updates a target. A heartbeat that arrives out of order is ignored.
func (s State) HeartbeatReceived(ctx Context, h fleet.Heartbeat) (State, []effect.Effect, HeartbeatResult) {
	id := fleet.NewTargetID(s.self, h.Name)
	if s.isStale(ctx.Now, id, h) {
		return s, []effect.Effect{heartbeatIgnored(id, h)}, HeartbeatResult{Target: id}
	}
	l, known := s.targets.Get(id)
	result := HeartbeatResult{Target: id, NewProcess: !known || l.heartbeat.Instance != h.Instance}
	s, effects := s.removeDisplaced(ctx.Now, id, h)
	if result.NewProcess {
		s, result.Crash = s.processReplaced(ctx.Now, id, l, h)
		l = s.newProcess(ctx.Now, id, l, h)
		effects = append(effects, logLine(effect.Info, "target announced itself", id))
	}
	l.heartbeat = h
	l.lastHeartbeat = ctx.Now
	l.unreachable = false
	s.targets = s.targets.With(id, l.withSlots(ctx.Now))
	var more []effect.Effect
	if h.State == fleet.TargetDraining {
		s.tombstones = s.tombstones.With(id, tombstone{instance: h.Instance, started: h.Started, at: ctx.Now})
		s, more = s.refuseQueued(ctx.Now, id, fleet.Draining)
	} else {
		s, more = s.startQueued(ctx, id)
	}
	return s, append(effects, more...), result
}

// processReplaced returns the crash of a target's previous process, if any, when another process sends its first heartbeat. A
// process that was draining may still finish its runs. Otherwise a process that has lost its address to its successor is dead.
func (s State) processReplaced(
	now time.Time, id fleet.TargetID, old localTarget, h fleet.Heartbeat,
) (State, fleet.Option[Crash]) {
	instance := old.heartbeat.Instance
	if instance == "" || old.heartbeat.State == fleet.TargetDraining || old.heartbeat.Address != h.Address {
		return s, fleet.Option[Crash]{}
	}
	c, known := s.crashes.Get(id)
	brokeRecently := known && c.instance == instance && !c.died && now.Sub(c.at) <= brokenRunWindow
	if !brokeRecently && len(s.fingerprintsOn(id, instance)) == 0 {
		return s, fleet.Option[Crash]{}
	}
	s, crash := s.processDied(now, id, instance)
	if !crash.First {
		return s, fleet.Option[Crash]{}
	}
	return s, fleet.Some(crash)
}

// newProcess returns the target after the first heartbeat of a process. The queue, the retry budget and the costs carry over from the
// previous process; runs count only for the process that they run on.
func (s State) newProcess(now time.Time, id fleet.TargetID, old localTarget, h fleet.Heartbeat) localTarget {
	l := localTarget{
		firstHeartbeat: now, queue: old.queue, retryBudget: old.retryBudget.startedAt(now), costs: old.costs,
	}
	for attempt, run := range s.running.All() {
		if run.Attempt.Target == id && run.Instance == h.Instance {
			l.running = l.running.With(attempt)
		}
	}
	return l
}

// TargetWithdrew removes the target that has withdrawn. Its late heartbeats are ignored even if the target is not registered: after
// missed heartbeats or a restart of this node, the first heartbeat to arrive may have been sent before the withdrawal.
func (s State) TargetWithdrew(now time.Time, name string) (State, []effect.Effect) {
	id := fleet.NewTargetID(s.self, name)
	s.tombstones = s.tombstones.With(id, s.withdrawalTombstone(now, id))
	return s.removeTarget(now, id, fleet.Draining, "target withdrew")
}

func (s State) removeTarget(now time.Time, id fleet.TargetID, cause fleet.Cause, message string) (State, []effect.Effect) {
	s, effects := s.refuseQueued(now, id, cause)
	s.targets = s.targets.Without(id)
	return s, append(effects, logLine(effect.Info, message, id))
}

// Tick removes targets that have stopped sending heartbeats, updates the slots of those that have just started, and starts or
// refuses queued attempts.
func (s State) Tick(ctx Context) (State, []effect.Effect) {
	paused := s.pausedFor(ctx.Now)
	s.lastTick = ctx.Now
	if s.firstTick.IsZero() {
		s.firstTick = ctx.Now
	}
	var effects []effect.Effect
	for id, l := range s.targets.All() {
		var more []effect.Effect
		updated := l.withSlots(ctx.Now)
		updated.lastHeartbeat = l.lastHeartbeat.Add(paused)
		updated.usage = l.usage.with(s.runsByPriority(l))
		updated.fair = l.fair.withoutPast()
		s.targets = s.targets.With(id, updated)
		switch {
		case ctx.Now.Sub(updated.lastHeartbeat) >= s.heartbeatTimeout():
			s, more = s.removeTarget(ctx.Now, id, fleet.UnknownTarget, "target stopped its heartbeats")
		case l.queue.len() == 0:
			continue
		case ctx.ServiceState(id) != InService:
			s, more = s.refuseQueued(ctx.Now, id, fleet.Ejected)
		default:
			s, more = s.refreshQueue(ctx, id)
		}
		effects = append(effects, more...)
	}
	return s.withoutExpired(ctx.Now), effects
}

// runsByPriority returns the number of runs on a target by priority.
func (s State) runsByPriority(l localTarget) map[int]int {
	counts := map[int]int{}
	for id := range l.running.All() {
		run, _ := s.running.Get(id)
		counts[run.Attempt.Priority]++
	}
	return counts
}

// pausedFor returns the time for which this node's own process was paused. That time does not count as missed heartbeats.
func (s State) pausedFor(now time.Time) time.Duration {
	gap := now.Sub(s.lastTick)
	if s.lastTick.IsZero() || gap < s.settings.HeartbeatInterval {
		return 0
	}
	return gap
}

// refreshQueue refuses the queued attempts whose deadline has passed and those that would start too late, so that their callers
// do not wait in vain. Then it starts as many of the others as there are free slots.
func (s State) refreshQueue(ctx Context, id fleet.TargetID) (State, []effect.Effect) {
	l, _ := s.targets.Get(id)
	var effects []effect.Effect
	if s.byCost() && l.costs != nil {
		for _, late := range s.lateByCost(ctx.Now, l) {
			s, l = s.dequeue(l, late.attempt)
			effects = append(effects, s.refuse(ctx.Now, late.attempt, late.cause)...)
		}
		s, started := s.startQueued(ctx, id)
		return s, append(effects, started...)
	}
	var work time.Duration
	for _, q := range l.inQueueOrder(ctx.Now) {
		cause := fleet.Overloaded
		switch {
		case !q.attempt.Deadline.After(ctx.Now):
			cause = fleet.DeadlinePassed
		case !l.tooLate(ctx.Now, q.attempt, l.waitBehind(ctx.Now, q.attempt, work)):
			work += l.serviceTimes.expected(q.attempt.Class)
			continue
		}
		s, l = s.dequeue(l, q.attempt)
		effects = append(effects, s.refuse(ctx.Now, q.attempt, cause)...)
	}
	s, started := s.startQueued(ctx, id)
	return s, append(effects, started...)
}

// withoutExpired drops expired tombstones, crash checks and crash records.
func (s State) withoutExpired(now time.Time) State {
	for id, t := range s.tombstones.All() {
		if now.Sub(t.at) >= s.tombstoneLifetime(t.started) {
			s.tombstones = s.tombstones.Without(id)
		}
	}
	for id, check := range s.pendingCrashChecks.All() {
		if now.Sub(check.at) >= crashRetention {
			s.pendingCrashChecks = s.pendingCrashChecks.Without(id)
		}
	}
	for id, c := range s.crashes.All() {
		if now.Sub(c.at) >= crashRetention {
			s.crashes = s.crashes.Without(id)
		}
	}
	return s
}

// DrainStarted refuses all queued attempts and all attempts that arrive from now on.
func (s State) DrainStarted(now time.Time) (State, []effect.Effect) {
	s.draining = true
	var effects []effect.Effect
	for id := range s.targets.All() {
		var more []effect.Effect
		s, more = s.refuseQueued(now, id, fleet.Draining)
		effects = append(effects, more...)
	}
	return s, effects
}

func logLine(level effect.Level, message string, id fleet.TargetID) effect.Effect {
	return effect.WriteLog{
		Level: level, Component: "admission", Message: message, Fields: []effect.LogField{{Name: "Target", Value: id}},
	}
}
