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

// pair is a node that has a target, and a peer of it in the same zone.
type pair struct {
	node, peer *runner
	// kept is what the node has last written to the platform.
	kept fleet.Member
}

func memberRecord(node fleet.NodeID, incarnation fleet.Incarnation) fleet.Member {
	return fleet.Member{Node: node, AvailabilityZone: "zone-0", PeerAddress: string(node), Incarnation: incarnation}
}

func newRunner(m fleet.Member) *runner {
	return &runner{state: New(m, DefaultSettings()), now: time.Unix(1_800_000_000, 0)}
}

// newPair returns two nodes that know each other.
func newPair() *pair {
	p := &pair{node: newRunner(memberRecord("n1", 1)), peer: newRunner(memberRecord("n2", 1))}
	p.send(p.peer, "n1", message.Ping{Members: []fleet.Member{memberRecord("n1", 1)}})
	p.send(p.node, "n2", message.Ping{Members: []fleet.Member{memberRecord("n2", 1)}})
	return p
}

// send delivers a message and all that follows from it.
func (p *pair) send(to *runner, from fleet.NodeID, m message.Message) {
	sender := p.node
	if to == p.node {
		sender = p.peer
	}
	p.carry(to, to.reduce(event.MessageReceived{Envelope: message.Envelope{
		From: from, Address: string(from), Incarnation: sender.state.Self().Incarnation, Message: m,
	}}))
}

// carry delivers the messages among the effects of a node.
func (p *pair) carry(of *runner, effects []effect.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case effect.RegisterMember:
			if of == p.node {
				p.kept = e.Member
			}
		case effect.SendMessage:
			to := p.node
			if e.To == "n2" {
				to = p.peer
			}
			p.send(to, of.state.Self().Node, e.Message)
		}
	}
}

// announce has the node's target send a heartbeat.
func (p *pair) announce(started int64, sequence uint64, state fleet.TargetState) {
	p.carry(p.node, p.node.reduce(event.HeartbeatReceived{Heartbeat: fleet.Heartbeat{
		Name: "t", Pool: "shop", Address: "127.0.0.1:8000", Slots: 4, Connections: 10, State: state,
		Instance: time.UnixMilli(started).String(), Started: time.UnixMilli(started), Sequence: sequence,
	}}))
}

// pass lets time go by on both nodes.
func (p *pair) pass(d time.Duration) {
	for range d / (100 * time.Millisecond) {
		for _, r := range []*runner{p.node, p.peer} {
			r.now = r.now.Add(100 * time.Millisecond)
			p.carry(r, r.reduce(event.Tick{}))
		}
	}
}

// restart replaces the node by a new process of it, which knows nothing.
func (p *pair) restart() {
	now := p.node.now
	p.node = newRunner(memberRecord("n1", p.node.state.Self().Incarnation+1))
	p.node.now = now
}

// assertReady checks whether the node shows its target as ready.
func (p *pair) assertReady(is *is.I, want bool) {
	is.Helper()
	ready := false
	for _, t := range p.node.state.admission.Targets() {
		ready = ready || t.State == fleet.TargetReady
	}
	is.Equal(ready, want)
}

// TestDeparturesOutliveARestart guards against a target that has left and gets requests again, because its node restarted and
// then got a heartbeat from before the departure.
func TestDeparturesOutliveARestart(t *testing.T) {
	const born, later = 1_000_000, 1_005_000
	leave := map[string]func(p *pair){
		"drains":    func(p *pair) { p.announce(born, 8, fleet.TargetDraining) },
		"withdraws": func(p *pair) { p.carry(p.node, p.node.reduce(event.TargetWithdrew{Name: "t"})) },
	}
	learn := map[string]func(p *pair){
		"from a peer that it asks": func(p *pair) { p.send(p.peer, "n1", message.SyncRequest{Number: 1}) },
		"from a peer that it pings": func(p *pair) {
			p.send(p.peer, "n1", message.Ping{Members: []fleet.Member{p.node.state.Self()}})
		},
		"from the platform": func(p *pair) {
			p.carry(p.node, p.node.reduce(event.MembersListed{Members: []fleet.Member{p.kept}}))
		},
	}
	for how, left := range leave {
		for from, learned := range learn {
			t.Run(how+", learned "+from, func(t *testing.T) {
				is, p := is.New(t), newPair()
				p.announce(born, 7, fleet.TargetReady)
				p.pass(2 * time.Second)
				left(p)
				p.pass(time.Second)
				p.restart()
				learned(p)
				p.announce(born, 6, fleet.TargetReady)
				p.assertReady(is, false)
				p.announce(later, 1, fleet.TargetReady)
				p.assertReady(is, true)
			})
		}
	}

	t.Run("learned after the late heartbeat", func(t *testing.T) {
		is, p := is.New(t), newPair()
		p.announce(born, 7, fleet.TargetReady)
		p.announce(born, 8, fleet.TargetDraining)
		p.pass(time.Second)
		p.restart()
		p.announce(born, 6, fleet.TargetReady)
		p.assertReady(is, true)
		learn["from the platform"](p)
		p.assertReady(is, false)
		p.announce(born, 9, fleet.TargetDraining)
		is.Equal(len(p.node.state.admission.Targets()), 1)
	})

	t.Run("over a second restart", func(t *testing.T) {
		is, p := is.New(t), newPair()
		p.announce(born, 7, fleet.TargetReady)
		p.announce(born, 8, fleet.TargetDraining)
		p.pass(time.Second)
		for range 2 {
			p.restart()
			learn["from the platform"](p)
			p.pass(2 * time.Second)
		}
		p.announce(born, 6, fleet.TargetReady)
		p.assertReady(is, false)
	})

	t.Run("forgotten after half a minute", func(t *testing.T) {
		is, p := is.New(t), newPair()
		p.announce(born, 7, fleet.TargetReady)
		p.announce(born, 8, fleet.TargetDraining)
		is.Equal(len(p.node.state.admission.Tombstones(p.node.now)), 1)
		p.pass(32 * time.Second)
		is.Equal(len(p.node.state.Self().Tombstones), 0)
	})
}
