package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/fleet"
	"jayfold.dev/jayfold/internal/core/message"
	"jayfold.dev/jayfold/internal/core/quarantine"
)

// poison is the fingerprint of a request that crashes targets, popular that of a harmless one that is sent often.
const (
	poison  = fleet.Fingerprint(1)
	popular = fleet.Fingerprint(2)
)

// cluster is a set of nodes whose messages are delivered at once.
type cluster struct {
	now    time.Time
	states map[fleet.NodeID]quarantine.State
	nodes  []fleet.NodeID
	random uint64
	sent   int
}

func newCluster(size int) *cluster {
	c := &cluster{now: time.Unix(1000, 0), states: map[fleet.NodeID]quarantine.State{}}
	for i := range size {
		id := fleet.NodeID(fmt.Sprintf("n%03d", i))
		c.nodes = append(c.nodes, id)
		c.states[id] = quarantine.New()
	}
	return c
}

func (c *cluster) context(self fleet.NodeID) quarantine.Context {
	c.random = c.random*6364136223846793005 + 1442695040888963407
	return quarantine.Context{Now: c.now, Random: c.random >> 8, Peers: func() []fleet.Member {
		var peers []fleet.Member
		for _, id := range c.nodes {
			if id != self {
				peers = append(peers, fleet.Member{Node: id})
			}
		}
		return peers
	}}
}

// deliver delivers the messages among the effects, and those that they cause, until none is left.
func (c *cluster) deliver(effects []effect.Effect) {
	for len(effects) > 0 {
		send, ok := effects[0].(effect.SendMessage)
		effects = effects[1:]
		if !ok {
			continue
		}
		c.sent++
		suspicions := send.Message.(message.CrashSuspicions).Suspicions
		state, more := c.states[send.To].SuspicionsReceived(c.context(send.To), suspicions)
		c.states[send.To] = state
		effects = append(effects, more...)
	}
}

func (c *cluster) crash(node fleet.NodeID, target string, inFlight ...fleet.Fingerprint) {
	state, effects := c.states[node].TargetCrashed(c.context(node), fleet.NewTargetID(node, target), inFlight)
	c.states[node] = state
	c.deliver(effects)
}

func (c *cluster) succeed(node fleet.NodeID, f fleet.Fingerprint, times int) {
	for range times {
		c.states[node] = c.states[node].RequestSucceeded(c.now, f)
	}
}

func (c *cluster) tick() {
	c.now = c.now.Add(100 * time.Millisecond)
	for _, id := range c.nodes {
		state, effects := c.states[id].Tick(c.context(id))
		c.states[id] = state
		c.deliver(effects)
	}
}

// quarantining returns the number of nodes that quarantine the fingerprint.
func (c *cluster) quarantining(f fleet.Fingerprint) int {
	count := 0
	for _, state := range c.states {
		if state.Suspects().Quarantined(c.now, f) {
			count++
		}
	}
	return count
}

// TestTwoCrashesQuarantineOnAllNodes guards against a request that crashes one target after another because no node observes two
// of the crashes.
func TestTwoCrashesQuarantineOnAllNodes(t *testing.T) {
	t.Run("crashes on two hosts", func(t *testing.T) {
		is, c := is.New(t), newCluster(3)
		c.crash("n000", "a", poison)
		is.Equal(c.quarantining(poison), 0)
		is.True(c.states["n002"].Suspects().Suspected(c.now, poison))
		c.crash("n001", "a", poison)
		is.Equal(c.quarantining(poison), 3)
		is.Equal(c.states["n001"].RecentQuarantines(c.now), []fleet.Fingerprint{poison})
		is.Equal(len(c.states["n002"].RecentQuarantines(c.now)), 0) // only the node that quarantined the request reports it
	})
	t.Run("crashes before either node receives the suspicion of the other", func(t *testing.T) {
		is, c := is.New(t), newCluster(2)
		a, fromA := c.states["n000"].TargetCrashed(c.context("n000"), "n000/a", []fleet.Fingerprint{poison})
		b, fromB := c.states["n001"].TargetCrashed(c.context("n001"), "n001/a", []fleet.Fingerprint{poison})
		c.states["n000"], c.states["n001"] = a, b
		c.deliver(append(fromA, fromB...))
		is.Equal(c.quarantining(poison), 2)
	})
	t.Run("two crashes of one target are not enough", func(t *testing.T) {
		is, c := is.New(t), newCluster(3)
		c.crash("n000", "a", poison)
		c.crash("n000", "a", poison)
		is.Equal(c.quarantining(poison), 0)
	})
	t.Run("design size", func(t *testing.T) {
		is, c := is.New(t), newCluster(540)
		c.crash("n000", "a", poison)
		c.crash("n001", "a", poison)
		for range 30 {
			c.tick()
		}
		is.Equal(c.quarantining(poison), 540)
		is.True(c.sent <= 2*12*540) // each node sends each suspicion at most twelve times
		before := c.sent
		c.tick()
		is.Equal(c.sent, before) // no suspicion circulates for ever
	})
}

// TestSuccessesClear guards against refusing a popular lookup that was merely in flight when targets crashed, and against a
// request that is never quarantined because it succeeded many times before it began to crash targets.
func TestSuccessesClear(t *testing.T) {
	t.Run("successes before the crashes", func(t *testing.T) {
		is, c := is.New(t), newCluster(3)
		c.succeed("n000", popular, 10)
		c.crash("n000", "a", poison, popular)
		c.crash("n001", "a", poison, popular)
		is.Equal(c.quarantining(poison), 3)
		is.Equal(c.quarantining(popular), 0)
	})
	t.Run("successes between the crashes, on another host", func(t *testing.T) {
		is, c := is.New(t), newCluster(3)
		c.crash("n000", "a", popular)
		c.succeed("n001", popular, 3)
		for range 10 {
			c.tick()
		}
		is.True(!c.states["n000"].Suspects().Suspected(c.now, popular))
		c.crash("n002", "a", popular)
		is.Equal(c.quarantining(popular), 0)
	})
	t.Run("crashes after many successes", func(t *testing.T) {
		is, c := is.New(t), newCluster(1)
		c.succeed("n000", poison, 10)
		for i := range 4 {
			is.Equal(c.quarantining(poison), 0)
			c.crash("n000", fmt.Sprint(i), poison)
		}
		is.Equal(c.quarantining(poison), 1)
	})
}

// TestExpiryAndBounds guards against a quarantine that never ends, and against memory that grows with the number of requests.
func TestExpiryAndBounds(t *testing.T) {
	t.Run("quarantine of ten minutes", func(t *testing.T) {
		is, c := is.New(t), newCluster(3)
		c.crash("n000", "a", poison)
		c.crash("n001", "a", poison)
		c.states["n002"] = c.states["n002"].QuarantinesReported(c.now, c.states["n001"].RecentQuarantines(c.now))
		c.now = c.now.Add(10*time.Minute - time.Second)
		is.Equal(c.quarantining(poison), 3)
		is.Equal(len(c.states["n000"].Status(c.now)), 1)
		c.now = c.now.Add(time.Second)
		is.Equal(c.quarantining(poison), 0)
	})
	t.Run("reported with a response", func(t *testing.T) {
		is, c := is.New(t), newCluster(1)
		c.states["n000"] = c.states["n000"].QuarantinesReported(c.now, []fleet.Fingerprint{poison})
		is.Equal(c.quarantining(poison), 1)
		is.Equal(len(c.states["n000"].RecentQuarantines(c.now)), 0)
	})
	t.Run("crashes more than ten minutes apart", func(t *testing.T) {
		is, c := is.New(t), newCluster(1)
		c.crash("n000", "a", poison)
		c.now = c.now.Add(10 * time.Minute)
		c.crash("n000", "b", poison)
		is.Equal(c.quarantining(poison), 0)
	})
	t.Run("many fingerprints", func(t *testing.T) {
		is, c := is.New(t), newCluster(1)
		for i := range 2000 {
			c.now = c.now.Add(time.Millisecond)
			for _, target := range []string{"a", "b"} {
				c.crash("n000", target, fleet.Fingerprint(i))
			}
		}
		is.Equal(len(c.states["n000"].Status(c.now)), 512)
		is.True(c.states["n000"].Suspects().Quarantined(c.now, 1999)) // the oldest are dropped first
	})
}
