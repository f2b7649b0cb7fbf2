package admission

import (
	"time"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/fleet"
)

// maxHeartbeatDelay is how long a heartbeat may be held up on its way, by a partition or a busy host. A target whose clock was
// set back before it started again is not known before this time has passed.
const maxHeartbeatDelay = 30 * time.Second

// tombstone records that a target announced that it leaves, or was replaced by another one at its address.
type tombstone struct {
	instance string
	// started is when the process started; zero when the target did not tell.
	started time.Time
	at      time.Time
}

// tombstoneLifetime returns how long a departure is remembered. Where heartbeats have no order, a process that cancels its drain must
// be able to come back, and only the heartbeats that were under way at that moment are kept out.
func (s State) tombstoneLifetime(d tombstone) time.Duration {
	if d.started.IsZero() {
		return s.heartbeatTimeout()
	}
	return maxHeartbeatDelay
}

// Tombstones returns the departures that this node is to remember over a restart, in the order of their targets.
func (s State) Tombstones(now time.Time) []fleet.Tombstone {
	var departures []fleet.Tombstone
	for id, d := range s.tombstones.All() {
		if !d.started.IsZero() && now.Sub(d.at) < maxHeartbeatDelay {
			departures = append(departures, fleet.Tombstone{Target: id, Instance: d.instance, Started: d.started})
		}
	}
	return departures
}

// TombstonesRestored takes in departures that this node knew before it restarted. A target that a late heartbeat has brought back in the
// meantime is removed; one that drains announces itself again.
func (s State) TombstonesRestored(now time.Time, departures []fleet.Tombstone) (State, []effect.Effect) {
	var effects []effect.Effect
	for _, d := range departures {
		if known, ok := s.tombstones.Get(d.Target); ok && !known.started.Before(d.Started) {
			continue
		}
		s.tombstones = s.tombstones.With(d.Target, tombstone{instance: d.Instance, started: d.Started, at: now})
		l, ok := s.targets.Get(d.Target)
		if !ok || !s.isStale(now, d.Target, l.heartbeat) {
			continue
		}
		var removed []effect.Effect
		s, removed = s.removeTarget(now, d.Target, fleet.Draining, "target had left before the node started")
		effects = append(effects, removed...)
	}
	return s, effects
}

// isStale reports whether a heartbeat was overtaken on its way: by a later one, by the departure of its process, by the
// heartbeat of the process that took its place, or by that of another target to which its address has gone.
func (s State) isStale(now time.Time, id fleet.TargetID, a fleet.Heartbeat) bool {
	if d, ok := s.tombstones.Get(id); ok && now.Sub(d.at) < s.tombstoneLifetime(d) {
		if a.Instance == d.instance && a.State == fleet.TargetReady || a.Started.Before(d.started) {
			return true
		}
	}
	if l, ok := s.targets.Get(id); ok && isOlder(a, l.heartbeat) {
		return true
	}
	for other, l := range s.targets.All() {
		if other != id && l.heartbeat.Address == a.Address && a.Started.Before(l.heartbeat.Started) {
			return true
		}
	}
	return false
}

// isOlder reports whether a heartbeat is older than the last one of its target.
func isOlder(a, last fleet.Heartbeat) bool {
	if !a.Started.Equal(last.Started) {
		return a.Started.Before(last.Started)
	}
	return a.Instance == last.Instance && a.Sequence < last.Sequence
}

// removeDisplaced removes the targets whose address a process has that started after them: their own processes have ended.
func (s State) removeDisplaced(now time.Time, id fleet.TargetID, a fleet.Heartbeat) (State, []effect.Effect) {
	var effects []effect.Effect
	for other, l := range s.targets.All() {
		old := l.heartbeat
		if other == id || old.Address != a.Address || !old.Started.Before(a.Started) {
			continue
		}
		s.tombstones = s.tombstones.With(other, tombstone{instance: old.Instance, started: old.Started, at: now})
		var removed []effect.Effect
		s, removed = s.removeTarget(now, other, fleet.UnknownTarget, "target's address went to another one")
		effects = append(effects, removed...)
	}
	return s, effects
}

func heartbeatIgnored(id fleet.TargetID, a fleet.Heartbeat) effect.Effect {
	return effect.WriteLog{Level: effect.Info, Component: "admission", Message: "heartbeat out of order ignored", Fields: []effect.LogField{
		{Name: "Target", Value: id},
		{Name: "Instance", Value: a.Instance},
		{Name: "Sequence", Value: a.Sequence},
		{Name: "State", Value: a.State.String()},
	}}
}
