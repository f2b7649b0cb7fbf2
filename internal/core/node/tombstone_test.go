package node

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/event"
	"jayfold.dev/jayfold/internal/core/fleet"
	"jayfold.dev/jayfold/internal/core/message"
)

// pair is a node with a target, and a peer in the same availability zone.
type pair struct {
	node, peer *runner
	// stored is the member record that the node last wrote to the platform.
	stored fleet.Member
	// epoch is that of the platform's data.
	epoch fleet.Epoch
	// platformDown and peerDown are true if calls to the platform, or messages to the peer, get no response.
	platformDown, peerDown bool
	// acks holds the results of the acknowledged and refused calls of targets.
	acks map[uint64]bool
}

func memberRecord(node fleet.NodeID, incarnation fleet.Incarnation) fleet.Member {
	return fleet.Member{Node: node, AvailabilityZone: "zone-0", PeerAddress: string(node), Incarnation: incarnation}
}

func newRunner(m fleet.Member) *runner {
	return &runner{state: New(m, DefaultSettings()), now: time.Unix(1_800_000_000, 0)}
}

// newPair returns two nodes that have each other's member record.
func newPair() *pair {
	p := &pair{node: newRunner(memberRecord("n1", 1)), peer: newRunner(memberRecord("n2", 1)), acks: map[uint64]bool{}}
	p.send(p.peer, "n1", message.Ping{Members: []fleet.Member{memberRecord("n1", 1)}})
	p.send(p.node, "n2", message.Ping{Members: []fleet.Member{memberRecord("n2", 1)}})
	return p
}

// send delivers a message and all messages that result from it.
func (p *pair) send(to *runner, from fleet.NodeID, m message.Message) {
	sender := p.node
	if to == p.node {
		sender = p.peer
	}
	p.deliver(to, to.reduce(event.MessageReceived{Envelope: message.Envelope{
		From: from, Address: string(from), Incarnation: sender.state.Self().Incarnation, Message: m,
	}}))
}

// deliver delivers the messages among the effects of the node or the peer, and executes its calls to the platform, which lists no
// records.
func (p *pair) deliver(from *runner, effects []effect.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case effect.AcknowledgeTarget:
			p.acks[e.AckID] = e.Accepted
		case effect.ListMembers:
			if !p.platformDown {
				p.deliver(from, from.reduce(event.MembersListed{}))
			}
		case effect.RegisterMember:
			if from == p.node && !p.platformDown {
				p.stored = e.Member
				p.deliver(from, from.reduce(event.MemberRegistered{Sequence: e.Member.Sequence, Epoch: p.epoch}))
			}
		case effect.SendMessage:
			if p.peerDown {
				continue
			}
			to := p.node
			if e.To == "n2" {
				to = p.peer
			}
			p.send(to, from.state.Self().Node, e.Message)
		}
	}
}

// heartbeat sends a heartbeat of the node's target.
func (p *pair) heartbeat(started int64, sequence uint64, state fleet.TargetState) {
	p.deliver(p.node, p.node.reduce(event.HeartbeatReceived{Heartbeat: fleet.Heartbeat{
		Name: "t", Pool: "shop", Address: "127.0.0.1:8000", Slots: 4, Connections: 10, State: state,
		Instance: time.UnixMilli(started).String(), Started: time.UnixMilli(started), Sequence: sequence,
	}}))
}

// advance advances the time on both nodes.
func (p *pair) advance(d time.Duration) {
	for range d / (100 * time.Millisecond) {
		for _, r := range []*runner{p.node, p.peer} {
			r.now = r.now.Add(100 * time.Millisecond)
			p.deliver(r, r.reduce(event.Tick{}))
		}
	}
}

// restart replaces the node by a new process without any state.
func (p *pair) restart() {
	now := p.node.now
	p.node = newRunner(memberRecord("n1", p.node.state.Self().Incarnation+1))
	p.node.now = now
}

// assertReady checks whether the node lists its target as ready.
func (p *pair) assertReady(is *is.I, want bool) {
	is.Helper()
	ready := false
	for _, t := range p.node.state.admission.Targets() {
		ready = ready || t.State == fleet.TargetReady
	}
	is.Equal(ready, want)
}

// TestTombstonesSurviveRestart guards against requests to a target that has left. They would be sent if its node restarted and
// then received a heartbeat that the target sent before it left.
func TestTombstonesSurviveRestart(t *testing.T) {
	const started, later = 1_000_000, 1_005_000
	leave := map[string]func(p *pair){
		"drains":    func(p *pair) { p.heartbeat(started, 8, fleet.TargetDraining) },
		"withdraws": func(p *pair) { p.deliver(p.node, p.node.reduce(event.TargetWithdrew{Name: "t"})) },
	}
	learn := map[string]func(p *pair){
		"from a sync with a peer": func(p *pair) { p.send(p.peer, "n1", message.SyncRequest{Number: 1}) },
		"from a ping of a peer": func(p *pair) {
			p.send(p.peer, "n1", message.Ping{Members: []fleet.Member{p.node.state.Self()}})
		},
		"from the platform": func(p *pair) {
			p.deliver(p.node, p.node.reduce(event.MembersListed{Members: []fleet.Member{p.stored}}))
		},
	}
	for how, left := range leave {
		for from, learned := range learn {
			t.Run(how+", learned "+from, func(t *testing.T) {
				is, p := is.New(t), newPair()
				p.heartbeat(started, 7, fleet.TargetReady)
				p.advance(2 * time.Second)
				left(p)
				p.advance(time.Second)
				p.restart()
				learned(p)
				p.heartbeat(started, 6, fleet.TargetReady)
				p.assertReady(is, false)
				p.heartbeat(later, 1, fleet.TargetReady)
				p.assertReady(is, true)
			})
		}
	}

	for from, learned := range learn {
		t.Run("withdraws while it is not registered, learned "+from, func(t *testing.T) {
			is, p := is.New(t), newPair()
			p.advance(2 * time.Second)
			started := p.node.now.Add(-time.Minute).UnixMilli()
			leave["withdraws"](p)
			p.advance(time.Second)
			p.restart()
			learned(p)
			p.heartbeat(started, 6, fleet.TargetReady)
			p.assertReady(is, false)
			p.heartbeat(p.node.now.UnixMilli(), 1, fleet.TargetReady)
			p.assertReady(is, true)
		})
	}

	t.Run("tombstone learned after the late heartbeat", func(t *testing.T) {
		is, p := is.New(t), newPair()
		p.heartbeat(started, 7, fleet.TargetReady)
		p.heartbeat(started, 8, fleet.TargetDraining)
		p.advance(time.Second)
		p.restart()
		p.heartbeat(started, 6, fleet.TargetReady)
		p.assertReady(is, true)
		learn["from the platform"](p)
		p.assertReady(is, false)
		p.heartbeat(started, 9, fleet.TargetDraining)
		is.Equal(len(p.node.state.admission.Targets()), 1)
	})

	t.Run("two restarts", func(t *testing.T) {
		is, p := is.New(t), newPair()
		p.heartbeat(started, 7, fleet.TargetReady)
		p.heartbeat(started, 8, fleet.TargetDraining)
		p.advance(time.Second)
		for range 2 {
			p.restart()
			learn["from the platform"](p)
			p.advance(2 * time.Second)
		}
		p.heartbeat(started, 6, fleet.TargetReady)
		p.assertReady(is, false)
	})

	t.Run("tombstone removed after half a minute", func(t *testing.T) {
		is, p := is.New(t), newPair()
		p.heartbeat(started, 7, fleet.TargetReady)
		p.heartbeat(started, 8, fleet.TargetDraining)
		is.Equal(len(p.node.state.admission.Tombstones(p.node.now)), 1)
		p.advance(32 * time.Second)
		is.Equal(len(p.node.state.Self().Tombstones), 0)
	})
}
