package admission

import (
	"time"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/fleet"
)

// longestDelay is how long a heartbeat may be held up on its way, by a partition or a busy host. A target whose clock was
// set back before it started again is not known before this time has passed.
const longestDelay = 30 * time.Second

// departure records that a target announced that it leaves, or was replaced by another one at its address.
type departure struct {
	instance string
	// started is when the process started; zero when the target did not tell.
	started time.Time
	at      time.Time
}

// lifetime returns how long a departure is remembered. Where heartbeats have no order, a process that cancels its drain must
// be able to come back, and only the heartbeats that were under way at that moment are kept out.
func (s State) lifetime(d departure) time.Duration {
	if d.started.IsZero() {
		return s.heartbeatTimeout()
	}
	return longestDelay
}

// Tombstones returns the departures that this node is to remember over a restart, in the order of their targets.
func (s State) Tombstones(now time.Time) []fleet.Tombstone {
	var departures []fleet.Tombstone
	for id, d := range s.departed.All() {
		if !d.started.IsZero() && now.Sub(d.at) < longestDelay {
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
		if known, ok := s.departed.Get(d.Target); ok && !known.started.Before(d.Started) {
			continue
		}
		s.departed = s.departed.With(d.Target, departure{instance: d.Instance, started: d.Started, at: now})
		l, ok := s.targets.Get(d.Target)
		if !ok || !s.outdated(now, d.Target, l.announcement) {
			continue
		}
		var removed []effect.Effect
		s, removed = s.removed(now, d.Target, fleet.Draining, "target had left before the node started")
		effects = append(effects, removed...)
	}
	return s, effects
}

// outdated reports whether a heartbeat was overtaken on its way: by a later one, by the departure of its process, by the
// heartbeat of the process that took its place, or by that of another target to which its address has gone.
func (s State) outdated(now time.Time, id fleet.TargetID, a fleet.Heartbeat) bool {
	if d, ok := s.departed.Get(id); ok && now.Sub(d.at) < s.lifetime(d) {
		if a.Instance == d.instance && a.State == fleet.TargetReady || a.Started.Before(d.started) {
			return true
		}
	}
	if l, ok := s.targets.Get(id); ok && overtaken(a, l.announcement) {
		return true
	}
	for other, l := range s.targets.All() {
		if other != id && l.announcement.Address == a.Address && a.Started.Before(l.announcement.Started) {
			return true
		}
	}
	return false
}

// overtaken reports whether a heartbeat is older than the last one of its target.
func overtaken(a, last fleet.Heartbeat) bool {
	if !a.Started.Equal(last.Started) {
		return a.Started.Before(last.Started)
	}
	return a.Instance == last.Instance && a.Sequence < last.Sequence
}

// displaced removes the targets whose address a process has that started after them: their own processes have ended.
func (s State) displaced(now time.Time, id fleet.TargetID, a fleet.Heartbeat) (State, []effect.Effect) {
	var effects []effect.Effect
	for other, l := range s.targets.All() {
		old := l.announcement
		if other == id || old.Address != a.Address || !old.Started.Before(a.Started) {
			continue
		}
		s.departed = s.departed.With(other, departure{instance: old.Instance, started: old.Started, at: now})
		var removed []effect.Effect
		s, removed = s.removed(now, other, fleet.UnknownTarget, "target's address went to another one")
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
