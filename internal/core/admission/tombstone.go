package admission

import (
	"time"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/fleet"
)

// maxHeartbeatDelay is the longest time for which a partition or a busy host may delay a heartbeat. If the clock of a target is
// set back before it restarts, its heartbeats are ignored for this time.
const maxHeartbeatDelay = 30 * time.Second

// tombstone marks a target process that is draining, has withdrawn or has lost its address to another target, and the processes of
// the same target that started earlier.
type tombstone struct {
	// instance is the last process that is known; empty if a target has withdrawn that is not registered.
	instance string
	// started is the start time of the process, or the time of the withdrawal; zero if the target does not report start times.
	started time.Time
	at      time.Time
}

// withdrawalTombstone returns the tombstone of a target that withdraws. If the target is not registered, its process is not known,
// and the tombstone covers every process that has started by now.
func (s State) withdrawalTombstone(now time.Time, id fleet.TargetID) tombstone {
	if l, registered := s.targets.Get(id); registered {
		return tombstone{instance: l.heartbeat.Instance, started: l.heartbeat.Started, at: now}
	}
	earlier, _ := s.tombstones.Get(id)
	t := tombstone{instance: earlier.instance, started: s.timeOfDay(now), at: now}
	if earlier.started.After(t.started) {
		t.started = earlier.started
	}
	return t
}

// timeOfDay returns the time of day in milliseconds, by a clock without the steps that the host's clock has made since the first
// tick.
func (s State) timeOfDay(now time.Time) time.Time {
	if !s.firstTick.IsZero() {
		now = s.firstTick.Add(now.Sub(s.firstTick))
	}
	return time.UnixMilli(now.UnixMilli())
}

// tombstoneLifetime returns the time for which a tombstone is kept, or for which it applies to the heartbeats of a process, given
// the start time of either. Without start times and sequence numbers, it is only the time until heartbeats that were already on
// their way have arrived, so that the process can return after it cancels its drain.
func (s State) tombstoneLifetime(started time.Time) time.Duration {
	if started.IsZero() {
		return s.heartbeatTimeout()
	}
	return maxHeartbeatDelay
}

// hasLeft reports whether a tombstone covers the process of a heartbeat.
func (s State) hasLeft(now time.Time, id fleet.TargetID, h fleet.Heartbeat) bool {
	t, ok := s.tombstones.Get(id)
	if !ok || now.Sub(t.at) >= min(s.tombstoneLifetime(t.started), s.tombstoneLifetime(h.Started)) {
		return false
	}
	return h.Instance == t.instance && h.State == fleet.TargetReady || h.Started.Before(t.started)
}

// Tombstones returns the tombstones that this node must recover after a restart, in target id order.
func (s State) Tombstones(now time.Time) []fleet.Tombstone {
	var tombstones []fleet.Tombstone
	for id, t := range s.tombstones.All() {
		if !t.started.IsZero() && now.Sub(t.at) < maxHeartbeatDelay {
			tombstones = append(tombstones, fleet.Tombstone{Target: id, Instance: t.instance, Started: t.started})
		}
	}
	return tombstones
}

// TombstonesRestored adds the tombstones from before this node's restart. It removes targets that late heartbeats have registered
// in the meantime. A target that is draining is registered again by its next heartbeat.
func (s State) TombstonesRestored(now time.Time, tombstones []fleet.Tombstone) (State, []effect.Effect) {
	var effects []effect.Effect
	for _, restored := range tombstones {
		if known, ok := s.tombstones.Get(restored.Target); ok && !known.started.Before(restored.Started) {
			continue
		}
		t := tombstone{instance: restored.Instance, started: restored.Started, at: now}
		if t.instance == "" {
			// It covers processes of any start up to the withdrawal, and must not last longer than their heartbeats may be delayed.
			t.at = t.started
		}
		s.tombstones = s.tombstones.With(restored.Target, t)
		l, ok := s.targets.Get(restored.Target)
		if !ok || !s.isStale(now, restored.Target, l.heartbeat) {
			continue
		}
		var removed []effect.Effect
		s, removed = s.removeTarget(now, restored.Target, fleet.Draining, "target had left before the node started")
		effects = append(effects, removed...)
	}
	return s, effects
}

// isStale reports whether a heartbeat arrives out of order: after a later one of the same target, after its process has left or
// been replaced, or after a heartbeat of another target that has taken over its address.
func (s State) isStale(now time.Time, id fleet.TargetID, h fleet.Heartbeat) bool {
	if s.hasLeft(now, id, h) {
		return true
	}
	if l, ok := s.targets.Get(id); ok && isOlder(h, l.heartbeat) {
		return true
	}
	for other, l := range s.targets.All() {
		if other != id && l.heartbeat.Address == h.Address && h.Started.Before(l.heartbeat.Started) {
			return true
		}
	}
	return false
}

// isOlder reports whether a heartbeat is older than the last one received from its target.
func isOlder(h, last fleet.Heartbeat) bool {
	if !h.Started.Equal(last.Started) {
		return h.Started.Before(last.Started)
	}
	return h.Instance == last.Instance && h.Sequence < last.Sequence
}

// removeDisplaced removes the targets whose address belongs to a process that started later, since their own processes have
// ended.
func (s State) removeDisplaced(now time.Time, id fleet.TargetID, h fleet.Heartbeat) (State, []effect.Effect) {
	var effects []effect.Effect
	for other, l := range s.targets.All() {
		old := l.heartbeat
		if other == id || old.Address != h.Address || !old.Started.Before(h.Started) {
			continue
		}
		s.tombstones = s.tombstones.With(other, tombstone{instance: old.Instance, started: old.Started, at: now})
		var removed []effect.Effect
		s, removed = s.removeTarget(now, other, fleet.UnknownTarget, "another target has taken over the address")
		effects = append(effects, removed...)
	}
	return s, effects
}

func heartbeatIgnored(id fleet.TargetID, h fleet.Heartbeat) effect.Effect {
	return effect.WriteLog{
		Level: effect.Info, Component: "admission", Message: "heartbeat out of order ignored", Fields: []effect.LogField{
			{Name: "Target", Value: id},
			{Name: "Instance", Value: h.Instance},
			{Name: "Sequence", Value: h.Sequence},
			{Name: "State", Value: h.State.String()},
		},
	}
}
