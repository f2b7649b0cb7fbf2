package ejection

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"jayfold.dev/jayfold/internal/core/admission"
	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/fleet"
	"jayfold.dev/jayfold/internal/core/message"
)

const step = 100 * time.Millisecond

// isEjected asserts which targets are ejected, by index.
func isEjected(t *testing.T, w *world, want ...int) {
	t.Helper()
	var got []int
	for i, s := range w.servers {
		if w.ejected(s) {
			got = append(got, i)
		}
	}
	is.New(t).Equal(got, want)
}

// isLogged asserts how often a text was logged.
func isLogged(t *testing.T, w *world, text string, times int) {
	t.Helper()
	count := 0
	for _, l := range w.logs {
		if l == text {
			count++
		}
	}
	is.New(t).Equal(count, times)
}

// failing returns a world in which the given targets are judged failing at once.
func failing(hosts, floor int, targets ...int) *world {
	w := newWorld(hosts, 1, floor)
	for _, i := range targets {
		w.fail(w.servers[i])
	}
	w.run(time.Second, step)
	return w
}

// TestFloor guards against ejections that the floor or the state of the pool forbids.
func TestFloor(t *testing.T) {
	t.Run("one failing target is ejected and stays out", func(t *testing.T) {
		w := failing(6, 4, 0)
		w.run(time.Minute, step)
		isEjected(t, w, 0)
		isLogged(t, w, "target set out of service", 1)
	})
	t.Run("the floor forbids a second ejection, which is logged once", func(t *testing.T) {
		w := failing(6, 5, 0)
		w.fail(w.servers[1])
		w.run(2*time.Second, step)
		isEjected(t, w, 0)
		isLogged(t, w, "failing target kept in service", 1)
	})
	t.Run("an ejection ends when a grantor fails and the floor has no other", func(t *testing.T) {
		w := failing(6, 5, 0)
		w.fail(w.servers[1])
		w.run(leaseDuration, step)
		isEjected(t, w)
	})
	t.Run("a pool that fails together ejects nobody", func(t *testing.T) {
		w := failing(6, 1, 0, 1, 2)
		w.run(10*time.Second, step)
		isEjected(t, w)
	})
	t.Run("two simultaneous askers share the grantors", func(t *testing.T) {
		isEjected(t, failing(6, 4, 0, 1), 0, 1)
	})
	t.Run("targets of one node grant to each other", func(t *testing.T) {
		w := newWorld(1, 3, 2)
		w.fail(w.servers[1])
		w.tick()
		isEjected(t, w, 1)
	})
	t.Run("a raised floor returns the target at once", func(t *testing.T) {
		w := failing(6, 4, 0)
		w.floor = 6
		w.tick()
		isEjected(t, w)
	})
	t.Run("a node that has just started ejects nothing for one lease duration", func(t *testing.T) {
		w := newWorld(6, 1, 4)
		w.restart(w.hosts[0])
		w.fail(w.servers[0])
		w.run(leaseDuration-step, step)
		isEjected(t, w)
		w.run(time.Second, step)
		isEjected(t, w, 0)
	})
	t.Run("leases end by age during a pause", func(t *testing.T) {
		w := failing(6, 4, 0)
		w.hosts[0].paused = true
		w.now += leaseDuration
		isEjected(t, w)
	})
	t.Run("a draining node releases its leases", func(t *testing.T) {
		w := failing(2, 1, 0)
		w.step(w.hosts[0], State.DrainStarted)
		w.exchange()
		isEjected(t, w)
		is.New(t).True(!w.hosts[1].state.promised(w.clock(w.hosts[1]), w.servers[1].id))
	})
	t.Run("a failing grantor in worse health recalls the lease", func(t *testing.T) {
		w := failing(3, 1, 0)
		w.evidenceBad = 20
		w.fail(w.servers[1])
		w.fail(w.servers[2])
		w.exchange()
		isEjected(t, w)
	})
}

// TestDoubt guards against the ejection of the first target of a burst: it is judged before the others have had the requests
// that would show that they fail too.
func TestDoubt(t *testing.T) {
	// burst returns a world in which one target is judged failing and the others have failed a request each or none.
	burst := func(doubtful ...int) *world {
		w := newWorld(6, 1, 3)
		for _, i := range doubtful {
			w.servers[i].doubtful = true
		}
		w.fail(w.servers[0])
		w.exchange()
		return w
	}
	t.Run("a target that fails alone is ejected at once", func(t *testing.T) {
		isEjected(t, burst(), 0)
	})
	t.Run("one whose pool has just failed another request waits", func(t *testing.T) {
		w := burst(2)
		isEjected(t, w)
		isLogged(t, w, "failing target kept in service", 1)
	})
	t.Run("it is ejected when the others turn out to be well", func(t *testing.T) {
		w := burst(2)
		w.run(confirmWait+step, step)
		isEjected(t, w, 0)
	})
	t.Run("also while one other keeps failing requests", func(t *testing.T) {
		w := burst(2)
		w.servers[2].failing = true
		w.run(confirmWait+step, step)
		isEjected(t, w, 0)
	})
	t.Run("it stays when two others turn out to be failing", func(t *testing.T) {
		w := burst(2)
		w.servers[2].failing, w.servers[4].failing = true, true
		w.run(confirmWait+step, step)
		isEjected(t, w)
	})
	t.Run("a doubt of long ago confirms nothing", func(t *testing.T) {
		w := burst(2)
		w.servers[2].failing, w.servers[4].failing = true, true
		w.run(2*retryTime, step)
		w.servers[2].failing, w.servers[4].failing = false, false
		w.fail(w.servers[0])
		w.exchange()
		isEjected(t, w)
	})
}

// TestRelease guards against a late release that drops a promise which is in use again.
func TestRelease(t *testing.T) {
	w := newWorld(2, 1, 1)
	grantor, asker := w.servers[1].id, w.servers[0].id
	request := func(number uint64) {
		w.step(w.hosts[1], func(s State, ctx Context) (State, []effect.Effect) {
			return s.MessageReceived(ctx, "n0", message.LeaseRequest{Number: number, Requester: asker, Grantor: grantor, Pool: poolName})
		})
	}
	release := func(number uint64) bool {
		w.step(w.hosts[1], func(s State, ctx Context) (State, []effect.Effect) {
			return s.MessageReceived(ctx, "n0", message.LeaseRelease{Number: number, Requester: asker, Grantor: grantor})
		})
		return w.hosts[1].state.promised(w.clock(w.hosts[1]), grantor)
	}
	is := is.New(t)
	request(7)
	request(9)
	request(8)
	is.True(release(7))
	is.True(release(8))
	is.True(!release(9))
}

// TestNumbers guards against answers to an earlier life of a node being taken for answers to this one.
func TestNumbers(t *testing.T) {
	w := newWorld(2, 1, 1)
	first := w.hosts[0].state.number
	w.restart(w.hosts[0])
	is.New(t).True(first != w.hosts[0].state.number)
}

// TestReturn guards against a flapping target that oscillates, and against several trials at once.
func TestReturn(t *testing.T) {
	t.Run("one trial at a time, at an interval", func(t *testing.T) {
		is := is.New(t)
		w := failing(6, 4, 0)
		s, h := w.servers[0], w.hosts[0]
		gate := func() admission.Gate { return h.state.Gate(w.clock(h), s.id) }
		is.Equal(gate(), admission.GateClosed)
		w.run(firstWait, step)
		is.Equal(gate(), admission.GateTrial)
		h.state = h.state.TrialStarted(w.clock(h), s.id)
		w.run(2*trialInterval, step)
		is.Equal(gate(), admission.GateClosed)
		h.state = h.state.TrialFinished(s.id)
		is.Equal(gate(), admission.GateTrial)
	})
	t.Run("each relapse doubles the wait, and a long healthy time resets it", func(t *testing.T) {
		w := failing(6, 4, 0)
		s := w.servers[0]
		waits := []time.Duration{w.wait(s)}
		for _, healthy := range []time.Duration{20 * time.Second, 20 * time.Second, healthyTime + time.Minute} {
			w.run(w.wait(s), step)
			w.recover(s)
			w.run(healthy, step)
			w.fail(s)
			w.run(time.Second, step)
			waits = append(waits, w.wait(s))
		}
		is.New(t).Equal(waits, []time.Duration{firstWait, 2 * firstWait, 4 * firstWait, firstWait})
	})
	t.Run("failed trials double the wait", func(t *testing.T) {
		w := failing(6, 4, 0)
		relapse := func() {
			w.step(w.hosts[0], func(s State, ctx Context) (State, []effect.Effect) {
				return s.TargetRelapsed(ctx, w.servers[0].id)
			})
		}
		relapse()
		is.New(t).Equal(w.wait(w.servers[0]), firstWait)
		w.run(firstWait, step)
		relapse()
		is.New(t).Equal(w.wait(w.servers[0]), 2*firstWait)
	})
}

func (w *world) wait(s *server) time.Duration {
	l, _ := s.host.state.targets.Get(s.id)
	return l.recovery.wait
}

// TestForgedMessages guards against a node that speaks for the targets of another one.
func TestForgedMessages(t *testing.T) {
	w := failing(3, 2, 0)
	w.step(w.hosts[0], func(s State, ctx Context) (State, []effect.Effect) {
		return s.MessageReceived(ctx, fleet.NodeID("n2"), message.LeaseRecall{Requester: w.servers[0].id, Grantor: w.servers[1].id})
	})
	isEjected(t, w, 0)
}

// TestLateAnswers guards against a grant for an earlier request that is counted from the send time of a later one.
func TestLateAnswers(t *testing.T) {
	w := newWorld(2, 1, 1)
	w.fail(w.servers[0])
	request := w.network[0].message.(message.LeaseRequest)
	grant := func(number uint64) {
		w.step(w.hosts[0], func(s State, ctx Context) (State, []effect.Effect) {
			return s.MessageReceived(ctx, "n1", message.LeaseGrant{
				Number: number, Requester: request.Requester, Grantor: request.Grantor, Duration: leaseDuration,
			})
		})
	}
	grant(request.Number - 1)
	isEjected(t, w)
	grant(request.Number)
	isEjected(t, w, 0)
}
