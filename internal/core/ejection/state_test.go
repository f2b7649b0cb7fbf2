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

// assertEjected checks which targets are ejected, by index.
func assertEjected(t *testing.T, c *cluster, want ...int) {
	t.Helper()
	var got []int
	for i, target := range c.targets {
		if c.ejected(target) {
			got = append(got, i)
		}
	}
	is.New(t).Equal(got, want)
}

// assertLogged checks how often a message was logged.
func assertLogged(t *testing.T, c *cluster, text string, times int) {
	t.Helper()
	count := 0
	for _, l := range c.logs {
		if l == text {
			count++
		}
	}
	is.New(t).Equal(count, times)
}

// failing returns a cluster one second after the given targets were found failing at the same time.
func failing(hosts, floor int, targets ...int) *cluster {
	c := newCluster(hosts, 1, floor)
	for _, i := range targets {
		c.fail(c.targets[i])
	}
	c.run(time.Second, step)
	return c
}

// TestFloor guards against ejections that the floor or the state of the pool forbids.
func TestFloor(t *testing.T) {
	t.Run("a failing target is ejected and remains ejected", func(t *testing.T) {
		c := failing(6, 4, 0)
		c.run(time.Minute, step)
		assertEjected(t, c, 0)
		assertLogged(t, c, "target set out of service", 1)
	})
	t.Run("the floor forbids a second ejection, which is logged once", func(t *testing.T) {
		c := failing(6, 5, 0)
		c.fail(c.targets[1])
		c.run(2*time.Second, step)
		assertEjected(t, c, 0)
		assertLogged(t, c, "failing target kept in service", 1)
	})
	t.Run("an ejection ends when a grantor fails and the floor has no other", func(t *testing.T) {
		c := failing(6, 5, 0)
		c.fail(c.targets[1])
		c.run(leaseDuration, step)
		assertEjected(t, c)
	})
	t.Run("no target is ejected when the pool fails as a whole", func(t *testing.T) {
		c := failing(6, 1, 0, 1, 2)
		c.run(10*time.Second, step)
		assertEjected(t, c)
	})
	t.Run("two targets that fail at once share the grantors", func(t *testing.T) {
		assertEjected(t, failing(6, 4, 0, 1), 0, 1)
	})
	t.Run("targets on one host grant leases to each other", func(t *testing.T) {
		c := newCluster(1, 3, 2)
		c.fail(c.targets[1])
		c.tick()
		assertEjected(t, c, 1)
	})
	t.Run("a raised floor returns the target at once", func(t *testing.T) {
		c := failing(6, 4, 0)
		c.floor = 6
		c.tick()
		assertEjected(t, c)
	})
	t.Run("a node that has just started ejects nothing for one lease duration", func(t *testing.T) {
		c := newCluster(6, 1, 4)
		c.restart(c.hosts[0])
		c.fail(c.targets[0])
		c.run(leaseDuration-step, step)
		assertEjected(t, c)
		c.run(time.Second, step)
		assertEjected(t, c, 0)
	})
	t.Run("leases expire while the process is paused", func(t *testing.T) {
		c := failing(6, 4, 0)
		c.hosts[0].paused = true
		c.now += leaseDuration
		assertEjected(t, c)
	})
	t.Run("a draining node releases its leases", func(t *testing.T) {
		c := failing(2, 1, 0)
		c.step(c.hosts[0], State.DrainStarted)
		c.exchange()
		assertEjected(t, c)
		is.New(t).True(!c.hosts[1].state.hasLiveGrant(c.clock(c.hosts[1]), c.targets[1].id))
	})
	t.Run("a failing grantor in worse health recalls its lease", func(t *testing.T) {
		c := failing(3, 1, 0)
		c.badRequests = 20
		c.fail(c.targets[1])
		c.fail(c.targets[2])
		c.exchange()
		assertEjected(t, c)
	})
}

// TestInconclusiveRound guards against the ejection of the first target that a burst of failures affects: it is judged before the
// others have had the requests that would show that they fail too.
func TestInconclusiveRound(t *testing.T) {
	// burst returns a cluster in which one target is found failing and the given others have just failed a request each.
	burst := func(recentlyFailed ...int) *cluster {
		c := newCluster(6, 1, 3)
		for _, i := range recentlyFailed {
			c.targets[i].recentlyFailed = true
		}
		c.fail(c.targets[0])
		c.exchange()
		return c
	}
	t.Run("a target that fails alone is ejected at once", func(t *testing.T) {
		assertEjected(t, burst(), 0)
	})
	t.Run("a target is not ejected at once when another has just failed a request", func(t *testing.T) {
		c := burst(2)
		assertEjected(t, c)
		assertLogged(t, c, "failing target kept in service", 1)
	})
	t.Run("a target is ejected when the others turn out to be healthy", func(t *testing.T) {
		c := burst(2)
		c.run(confirmDelay+step, step)
		assertEjected(t, c, 0)
	})
	t.Run("a target is ejected although one other keeps failing", func(t *testing.T) {
		c := burst(2)
		c.targets[2].failing = true
		c.run(confirmDelay+step, step)
		assertEjected(t, c, 0)
	})
	t.Run("a target stays in service when two others turn out to be failing", func(t *testing.T) {
		c := burst(2)
		c.targets[2].failing, c.targets[4].failing = true, true
		c.run(confirmDelay+step, step)
		assertEjected(t, c)
	})
	t.Run("an inconclusive round of long ago does not count", func(t *testing.T) {
		c := burst(2)
		c.targets[2].failing, c.targets[4].failing = true, true
		c.run(2*retryWindow, step)
		c.targets[2].failing, c.targets[4].failing = false, false
		c.fail(c.targets[0])
		c.exchange()
		assertEjected(t, c)
	})
}

// TestLateRelease guards against a release that arrives out of order and drops a grant that is in use again.
func TestLateRelease(t *testing.T) {
	c := newCluster(2, 1, 1)
	grantor, requester := c.targets[1].id, c.targets[0].id
	request := func(number uint64) {
		c.step(c.hosts[1], func(s State, ctx Context) (State, []effect.Effect) {
			return s.MessageReceived(ctx, "n0", message.LeaseRequest{Number: number, Requester: requester, Grantor: grantor, Pool: poolName})
		})
	}
	release := func(number uint64) bool {
		c.step(c.hosts[1], func(s State, ctx Context) (State, []effect.Effect) {
			return s.MessageReceived(ctx, "n0", message.LeaseRelease{Number: number, Requester: requester, Grantor: grantor})
		})
		return c.hosts[1].state.hasLiveGrant(c.clock(c.hosts[1]), grantor)
	}
	is := is.New(t)
	request(7)
	request(9)
	request(8)
	is.True(release(7))
	is.True(release(8))
	is.True(!release(9))
}

// TestRequestNumbers guards against replies to requests from before a restart that are matched to requests sent since.
func TestRequestNumbers(t *testing.T) {
	c := newCluster(2, 1, 1)
	first := c.hosts[0].state.requestNumber
	c.restart(c.hosts[0])
	is.New(t).True(first != c.hosts[0].state.requestNumber)
}

// TestReturnToService guards against a flapping target that is ejected and returned in quick succession, and against concurrent
// trials.
func TestReturnToService(t *testing.T) {
	t.Run("one trial at a time, at an interval", func(t *testing.T) {
		is := is.New(t)
		c := failing(6, 4, 0)
		target, h := c.targets[0], c.hosts[0]
		service := func() admission.ServiceState { return h.state.ServiceState(c.clock(h), target.id) }
		is.Equal(service(), admission.OutOfService)
		c.run(firstTrialDelay, step)
		is.Equal(service(), admission.TrialDue)
		h.state = h.state.TrialStarted(c.clock(h), target.id)
		c.run(2*trialInterval, step)
		is.Equal(service(), admission.OutOfService)
		h.state = h.state.TrialFinished(target.id)
		is.Equal(service(), admission.TrialDue)
	})
	t.Run("each relapse doubles the delay, and a long healthy time resets it", func(t *testing.T) {
		c := failing(6, 4, 0)
		target := c.targets[0]
		delays := []time.Duration{c.trialDelay(target)}
		for _, healthy := range []time.Duration{20 * time.Second, 20 * time.Second, healthyDuration + time.Minute} {
			c.run(c.trialDelay(target), step)
			c.recover(target)
			c.run(healthy, step)
			c.fail(target)
			c.run(time.Second, step)
			delays = append(delays, c.trialDelay(target))
		}
		is.New(t).Equal(delays, []time.Duration{firstTrialDelay, 2 * firstTrialDelay, 4 * firstTrialDelay, firstTrialDelay})
	})
	t.Run("failed trials double the delay", func(t *testing.T) {
		c := failing(6, 4, 0)
		relapse := func() {
			c.step(c.hosts[0], func(s State, ctx Context) (State, []effect.Effect) {
				return s.TargetRelapsed(ctx, c.targets[0].id)
			})
		}
		relapse()
		is.New(t).Equal(c.trialDelay(c.targets[0]), firstTrialDelay)
		c.run(firstTrialDelay, step)
		relapse()
		is.New(t).Equal(c.trialDelay(c.targets[0]), 2*firstTrialDelay)
	})
}

func (c *cluster) trialDelay(target *target) time.Duration {
	l, _ := target.host.state.targets.Get(target.id)
	return l.recovery.delay
}

// TestForgedMessages guards against messages of a node on behalf of targets on another host.
func TestForgedMessages(t *testing.T) {
	c := failing(3, 2, 0)
	c.step(c.hosts[0], func(s State, ctx Context) (State, []effect.Effect) {
		return s.MessageReceived(ctx, fleet.NodeID("n2"), message.LeaseRecall{Requester: c.targets[0].id, Grantor: c.targets[1].id})
	})
	assertEjected(t, c, 0)
}

// TestLateReplies guards against a grant for an earlier request whose duration is counted from the send time of a later request.
func TestLateReplies(t *testing.T) {
	c := newCluster(2, 1, 1)
	c.fail(c.targets[0])
	request := c.network[0].message.(message.LeaseRequest)
	grant := func(number uint64) {
		c.step(c.hosts[0], func(s State, ctx Context) (State, []effect.Effect) {
			return s.MessageReceived(ctx, "n1", message.LeaseGrant{
				Number: number, Requester: request.Requester, Grantor: request.Grantor, Duration: leaseDuration,
			})
		})
	}
	grant(request.Number - 1)
	assertEjected(t, c)
	grant(request.Number)
	assertEjected(t, c, 0)
}
