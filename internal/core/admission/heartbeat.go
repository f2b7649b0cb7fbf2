package admission

import (
	"time"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/fleet"
)

// maxMissedHeartbeats is how many heartbeats in a row a target may miss before it counts as gone: one may be lost, and one be
// late by as long as two of them take.
const maxMissedHeartbeats = 3

// heartbeatTimeout is how long a target may send no heartbeat.
func (s State) heartbeatTimeout() time.Duration {
	return maxMissedHeartbeats * s.settings.HeartbeatInterval
}

// HeartbeatResult is what an announcement says beside the target's own state.
type HeartbeatResult struct {
	Target fleet.TargetID
	// NewProcess means that the target's process is new to this sidecar.
	NewProcess bool
	// Crash is present when the process before it died with requests in flight.
	Crash fleet.Option[Crash]
}

// HeartbeatReceived records a heartbeat of a target.
func (s State) HeartbeatReceived(ctx Context, a fleet.Heartbeat) (State, []effect.Effect, HeartbeatResult) {
	id := fleet.NewTargetID(s.self, a.Name)
	if s.isStale(ctx.Now, id, a) {
		return s, []effect.Effect{heartbeatIgnored(id, a)}, HeartbeatResult{Target: id}
	}
	l, known := s.targets.Get(id)
	change := HeartbeatResult{Target: id, NewProcess: !known || l.heartbeat.Instance != a.Instance}
	s, effects := s.removeDisplaced(ctx.Now, id, a)
	if change.NewProcess {
		s, change.Crash = s.processReplaced(ctx.Now, id, l, a)
		l = s.newProcess(ctx.Now, id, l, a)
		effects = append(effects, logLine(effect.Info, "target announced itself", id))
	}
	l.heartbeat = a
	l.lastHeartbeat = ctx.Now
	l.unreachable = false
	s.targets = s.targets.With(id, l.withSlots(ctx.Now))
	var more []effect.Effect
	if a.State == fleet.TargetDraining {
		s.tombstones = s.tombstones.With(id, tombstone{instance: a.Instance, started: a.Started, at: ctx.Now})
		s, more = s.refuseQueued(ctx.Now, id, fleet.Draining)
	} else {
		s, more = s.startQueued(ctx, id)
	}
	return s, append(effects, more...), change
}

// processReplaced reports the death of a target's last process, when another announces itself. A process that drained may still
// finish its runs; one that left the address to its successor is dead.
func (s State) processReplaced(
	now time.Time, id fleet.TargetID, old localTarget, a fleet.Heartbeat,
) (State, fleet.Option[Crash]) {
	instance := old.heartbeat.Instance
	if instance == "" || old.heartbeat.State == fleet.TargetDraining || old.heartbeat.Address != a.Address {
		return s, fleet.Option[Crash]{}
	}
	c, noted := s.crashes.Get(id)
	brokeLately := noted && c.instance == instance && !c.reported && now.Sub(c.at) <= brokenRunWindow
	if !brokeLately && len(s.fingerprintsOn(id, instance)) == 0 {
		return s, fleet.Option[Crash]{}
	}
	s, crash := s.processDied(now, id, instance)
	if !crash.First {
		return s, fleet.Option[Crash]{}
	}
	return s, fleet.Some(crash)
}

// newProcess returns a target whose process is new to this sidecar. What waits for the target goes on waiting; a run counts
// only for the process that it runs on.
func (s State) newProcess(now time.Time, id fleet.TargetID, old localTarget, a fleet.Heartbeat) localTarget {
	l := localTarget{firstHeartbeat: now, queue: old.queue, retryBudget: old.retryBudget.startedAt(now)}
	for attempt, run := range s.running.All() {
		if run.Attempt.Target == id && run.Instance == a.Instance {
			l.running = l.running.With(attempt)
		}
	}
	return l
}

// TargetWithdrew removes a target.
func (s State) TargetWithdrew(now time.Time, name string) (State, []effect.Effect) {
	id := fleet.NewTargetID(s.self, name)
	l, ok := s.targets.Get(id)
	if !ok {
		return s, nil
	}
	s.tombstones = s.tombstones.With(id, tombstone{
		instance: l.heartbeat.Instance, started: l.heartbeat.Started, at: now,
	})
	return s.removeTarget(now, id, fleet.Draining, "target withdrew")
}

func (s State) removeTarget(now time.Time, id fleet.TargetID, cause fleet.Cause, text string) (State, []effect.Effect) {
	s, effects := s.refuseQueued(now, id, cause)
	s.targets = s.targets.Without(id)
	return s, append(effects, logLine(effect.Info, text, id))
}

// Tick removes targets whose heartbeats stopped, widens those that start, and refuses or starts what waits.
func (s State) Tick(ctx Context) (State, []effect.Effect) {
	paused := s.pausedFor(ctx.Now)
	s.lastTick = ctx.Now
	var effects []effect.Effect
	for id, l := range s.targets.All() {
		var more []effect.Effect
		warmed := l.withSlots(ctx.Now)
		warmed.lastHeartbeat = l.lastHeartbeat.Add(paused)
		warmed.usage = l.usage.with(s.runsByPriority(l))
		s.targets = s.targets.With(id, warmed)
		switch {
		case ctx.Now.Sub(warmed.lastHeartbeat) >= s.heartbeatTimeout():
			s, more = s.removeTarget(ctx.Now, id, fleet.UnknownTarget, "target stopped its heartbeats")
		case l.queue.len() == 0:
			continue
		case ctx.Gate(id) != GateOpen:
			s, more = s.refuseQueued(ctx.Now, id, fleet.Ejected)
		default:
			s, more = s.refreshQueue(ctx, id)
		}
		effects = append(effects, more...)
	}
	return s.withoutExpired(ctx.Now), effects
}

// runsByPriority returns the runs on a target by priority.
func (s State) runsByPriority(l localTarget) map[int]int {
	counts := map[int]int{}
	for id := range l.running.All() {
		run, _ := s.running.Get(id)
		counts[run.Attempt.Priority]++
	}
	return counts
}

// pausedFor returns for how long this node itself stood still, so that the time does not count as missed heartbeats.
func (s State) pausedFor(now time.Time) time.Duration {
	gap := now.Sub(s.lastTick)
	if s.lastTick.IsZero() || gap < s.settings.HeartbeatInterval {
		return 0
	}
	return gap
}

// refreshQueue refuses what has waited past its deadline and, so that its caller does not wait in vain, what would; then it
// starts what fits.
func (s State) refreshQueue(ctx Context, id fleet.TargetID) (State, []effect.Effect) {
	l, _ := s.targets.Get(id)
	var effects []effect.Effect
	var work time.Duration
	for _, w := range l.inQueueOrder(ctx.Now) {
		cause := fleet.Overloaded
		switch {
		case !w.attempt.Deadline.After(ctx.Now):
			cause = fleet.DeadlinePassed
		case !l.tooLate(ctx.Now, w.attempt, l.waitBehind(ctx.Now, w.attempt, work)):
			work += l.serviceTimes.expected(w.attempt.Class)
			continue
		}
		s, l = s.dequeue(l, w.attempt)
		effects = append(effects, s.refuse(ctx.Now, w.attempt, cause)...)
	}
	s, started := s.startQueued(ctx, id)
	return s, append(effects, started...)
}

// withoutExpired drops departures and crashes that no longer matter.
func (s State) withoutExpired(now time.Time) State {
	for id, d := range s.tombstones.All() {
		if now.Sub(d.at) >= s.tombstoneLifetime(d) {
			s.tombstones = s.tombstones.Without(id)
		}
	}
	for id, b := range s.pendingCrashChecks.All() {
		if now.Sub(b.at) >= crashRetention {
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

// DrainStarted refuses all new attempts from now on, and those that wait.
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

func logLine(level effect.Level, text string, id fleet.TargetID) effect.Effect {
	return effect.WriteLog{Level: level, Component: "admission", Message: text, Fields: []effect.LogField{{Name: "Target", Value: id}}}
}
