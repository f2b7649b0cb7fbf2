package admission_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"jayfold.dev/jayfold/internal/core/fleet"
)

// process returns a heartbeat of a process that tells when it started.
func process(name string, started time.Time, sequence uint64, state fleet.TargetState) fleet.Heartbeat {
	a := announcement(started.String(), 4)
	a.Name, a.Started, a.Sequence, a.State = name, started, sequence, state
	return a
}

// assertTargets checks which targets the sidecar shows, and the instance of each.
func (r *rig) assertTargets(is *is.I, want map[fleet.TargetID]fleet.TargetState) {
	is.Helper()
	got := map[fleet.TargetID]fleet.TargetState{}
	for _, target := range r.state.Targets() {
		got[target.ID] = target.State
	}
	is.Equal(got, want)
}

// TestHeartbeatOrder guards against heartbeats that arrive late and bring back a target that drains or has left, or a
// process whose place another one has taken.
func TestHeartbeatOrder(t *testing.T) {
	born := time.UnixMilli(1_000_000)
	later := born.Add(5 * time.Second)
	const targetB = fleet.TargetID("n1/b")
	ready := func(name string, started time.Time, sequence uint64) fleet.Heartbeat {
		return process(name, started, sequence, fleet.TargetReady)
	}
	draining := func(name string, started time.Time, sequence uint64) fleet.Heartbeat {
		return process(name, started, sequence, fleet.TargetDraining)
	}

	for name, c := range map[string]struct {
		heartbeats []fleet.Heartbeat
		// withdrawn means that the target withdraws after the first heartbeat.
		withdrawn bool
		// wait passes before the last heartbeat.
		wait time.Duration
		want map[fleet.TargetID]fleet.TargetState
	}{
		"late while it drains": {
			heartbeats: []fleet.Heartbeat{draining("a", born, 8), ready("a", born, 7)},
			wait:       2 * time.Second,
			want:       map[fleet.TargetID]fleet.TargetState{targetA: fleet.TargetDraining},
		},
		"late after its drain": {
			heartbeats: []fleet.Heartbeat{draining("a", born, 8), ready("a", born, 7)},
			wait:       20 * time.Second,
			want:       map[fleet.TargetID]fleet.TargetState{},
		},
		"late after its withdrawal": {
			heartbeats: []fleet.Heartbeat{ready("a", born, 8), ready("a", born, 7)},
			withdrawn:  true,
			wait:       20 * time.Second,
			want:       map[fleet.TargetID]fleet.TargetState{},
		},
		"from the process before": {
			heartbeats: []fleet.Heartbeat{ready("a", later, 1), draining("a", born, 9)},
			want:       map[fleet.TargetID]fleet.TargetState{targetA: fleet.TargetReady},
		},
		"of the next process under the same name": {
			heartbeats: []fleet.Heartbeat{ready("a", born, 9), ready("a", later, 1)},
			withdrawn:  true,
			want:       map[fleet.TargetID]fleet.TargetState{targetA: fleet.TargetReady},
		},
		"of a target whose address another one has": {
			heartbeats: []fleet.Heartbeat{ready("b", later, 1), ready("a", born, 9)},
			want:       map[fleet.TargetID]fleet.TargetState{targetB: fleet.TargetReady},
		},
		"of the target that takes over an address": {
			heartbeats: []fleet.Heartbeat{ready("a", born, 9), ready("b", later, 1)},
			want:       map[fleet.TargetID]fleet.TargetState{targetB: fleet.TargetReady},
		},
		"of a target whose clock was set back, after some time": {
			heartbeats: []fleet.Heartbeat{ready("a", later, 9), ready("a", born, 1)},
			withdrawn:  true,
			wait:       40 * time.Second,
			want:       map[fleet.TargetID]fleet.TargetState{targetA: fleet.TargetReady},
		},
	} {
		t.Run(name, func(t *testing.T) {
			is, r := is.New(t), newRig()
			for i, a := range c.heartbeats {
				if i == len(c.heartbeats)-1 {
					r.idle(c.wait)
				}
				r.announceAs(a)
				if c.withdrawn && i == 0 {
					r.state, _ = r.state.TargetWithdrew(r.now, "a")
				}
			}
			r.assertTargets(is, c.want)
		})
	}
}

// idle lets time go by with ticks and without heartbeats.
func (r *rig) idle(d time.Duration) {
	for end := r.now.Add(d); r.now.Before(end); {
		r.now = r.now.Add(500 * time.Millisecond)
		r.tick()
	}
}
