package admission_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"jayfold.dev/jayfold/internal/core/fleet"
)

// heartbeatOf returns a heartbeat of a process that reports its start time.
func heartbeatOf(name string, started time.Time, sequence uint64, state fleet.TargetState) fleet.Heartbeat {
	h := newHeartbeat(started.String(), 4)
	h.Name, h.Started, h.Sequence, h.State = name, started, sequence, state
	return h
}

// assertTargets checks which targets the sidecar publishes, and the state of each.
func (h *harness) assertTargets(is *is.I, want map[fleet.TargetID]fleet.TargetState) {
	is.Helper()
	got := map[fleet.TargetID]fleet.TargetState{}
	for _, target := range h.state.Targets() {
		got[target.ID] = target.State
	}
	is.Equal(got, want)
}

// TestHeartbeatOrder guards against late heartbeats that register a target again although it is draining, has left or has been
// replaced by another process.
func TestHeartbeatOrder(t *testing.T) {
	started := time.UnixMilli(1_000_000)
	later := started.Add(5 * time.Second)
	const targetB = fleet.TargetID("n1/b")
	ready := func(name string, started time.Time, sequence uint64) fleet.Heartbeat {
		return heartbeatOf(name, started, sequence, fleet.TargetReady)
	}
	draining := func(name string, started time.Time, sequence uint64) fleet.Heartbeat {
		return heartbeatOf(name, started, sequence, fleet.TargetDraining)
	}

	for name, c := range map[string]struct {
		heartbeats []fleet.Heartbeat
		// withdrawn is true if the target withdraws after the first heartbeat.
		withdrawn bool
		// wait is the time before the last heartbeat.
		wait time.Duration
		want map[fleet.TargetID]fleet.TargetState
	}{
		"late during the drain": {
			heartbeats: []fleet.Heartbeat{draining("a", started, 8), ready("a", started, 7)},
			wait:       2 * time.Second,
			want:       map[fleet.TargetID]fleet.TargetState{targetA: fleet.TargetDraining},
		},
		"late after the drain": {
			heartbeats: []fleet.Heartbeat{draining("a", started, 8), ready("a", started, 7)},
			wait:       20 * time.Second,
			want:       map[fleet.TargetID]fleet.TargetState{},
		},
		"late after the withdrawal": {
			heartbeats: []fleet.Heartbeat{ready("a", started, 8), ready("a", started, 7)},
			withdrawn:  true,
			wait:       20 * time.Second,
			want:       map[fleet.TargetID]fleet.TargetState{},
		},
		"from the previous process": {
			heartbeats: []fleet.Heartbeat{ready("a", later, 1), draining("a", started, 9)},
			want:       map[fleet.TargetID]fleet.TargetState{targetA: fleet.TargetReady},
		},
		"from the next process with the same name": {
			heartbeats: []fleet.Heartbeat{ready("a", started, 9), ready("a", later, 1)},
			withdrawn:  true,
			want:       map[fleet.TargetID]fleet.TargetState{targetA: fleet.TargetReady},
		},
		"from a target that has lost its address": {
			heartbeats: []fleet.Heartbeat{ready("b", later, 1), ready("a", started, 9)},
			want:       map[fleet.TargetID]fleet.TargetState{targetB: fleet.TargetReady},
		},
		"from a target that takes over an address": {
			heartbeats: []fleet.Heartbeat{ready("a", started, 9), ready("b", later, 1)},
			want:       map[fleet.TargetID]fleet.TargetState{targetB: fleet.TargetReady},
		},
		"from a target whose clock was set back, after the maximum delay": {
			heartbeats: []fleet.Heartbeat{ready("a", later, 9), ready("a", started, 1)},
			withdrawn:  true,
			wait:       40 * time.Second,
			want:       map[fleet.TargetID]fleet.TargetState{targetA: fleet.TargetReady},
		},
	} {
		t.Run(name, func(t *testing.T) {
			is, h := is.New(t), newHarness()
			for i, heartbeat := range c.heartbeats {
				if i == len(c.heartbeats)-1 {
					h.advanceWithoutHeartbeats(c.wait)
				}
				h.receiveHeartbeat(heartbeat)
				if c.withdrawn && i == 0 {
					h.state, _ = h.state.TargetWithdrew(h.now, "a")
				}
			}
			h.assertTargets(is, c.want)
		})
	}
}

// advanceWithoutHeartbeats moves the clock forward by d, with ticks but without heartbeats.
func (h *harness) advanceWithoutHeartbeats(d time.Duration) {
	for end := h.now.Add(d); h.now.Before(end); {
		h.now = h.now.Add(500 * time.Millisecond)
		h.tick()
	}
}

// TestWithdrawalOfUnregisteredTarget guards against requests to a target that has left: its withdrawal was acknowledged while it was
// not registered, and its late heartbeats then registered it.
func TestWithdrawalOfUnregisteredTarget(t *testing.T) {
	unregister := map[string]func(h *harness){
		"after missed heartbeats": func(h *harness) {
			h.receiveHeartbeat(heartbeatOf("a", h.now.Add(-time.Minute), 1, fleet.TargetReady))
			h.advanceWithoutHeartbeats(5 * time.Second)
		},
		"after a drain and missed heartbeats": func(h *harness) {
			h.receiveHeartbeat(heartbeatOf("a", h.now.Add(-time.Minute), 1, fleet.TargetDraining))
			h.advanceWithoutHeartbeats(5 * time.Second)
		},
		"before the first heartbeat": func(h *harness) { h.tick() },
		"before the first tick":      func(*harness) {},
	}
	for name, prepare := range unregister {
		t.Run(name, func(t *testing.T) {
			is, h := is.New(t), newHarness()
			started := h.now.Add(-time.Minute)
			prepare(h)
			h.state, _ = h.state.TargetWithdrew(h.now, "a")
			withdrawn := h.now
			for sequence, state := range []fleet.TargetState{fleet.TargetReady, fleet.TargetReady, fleet.TargetDraining} {
				h.receiveHeartbeat(heartbeatOf("a", started, uint64(sequence)+2, state))
				h.assertTargets(is, map[fleet.TargetID]fleet.TargetState{})
				h.advanceWithoutHeartbeats(6 * time.Second)
			}
			h.receiveHeartbeat(heartbeatOf("a", withdrawn.Add(3*time.Second), 1, fleet.TargetReady))
			h.assertTargets(is, map[fleet.TargetID]fleet.TargetState{targetA: fleet.TargetReady})
		})
	}

	t.Run("without start times", func(t *testing.T) {
		is, h := is.New(t), newHarness()
		h.state, _ = h.state.TargetWithdrew(h.now, "a")
		h.heartbeat("i1", 4)
		h.assertTargets(is, map[fleet.TargetID]fleet.TargetState{})
		h.advanceWithoutHeartbeats(4 * time.Second)
		h.heartbeat("i2", 4)
		h.assertTargets(is, map[fleet.TargetID]fleet.TargetState{targetA: fleet.TargetReady})
	})
}
