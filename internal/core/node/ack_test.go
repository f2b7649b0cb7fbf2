package node

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"jayfold.dev/jayfold/internal/core/event"
	"jayfold.dev/jayfold/internal/core/fleet"
)

// call sends a heartbeat of the node's target, or its withdrawal, with the given ack id.
func (p *pair) call(ackID uint64, started time.Time, state fleet.TargetState, withdraws bool) {
	if withdraws {
		p.deliver(p.node, p.node.reduce(event.TargetWithdrew{Name: "t", AckID: ackID}))
		return
	}
	p.deliver(p.node, p.node.reduce(event.HeartbeatReceived{AckID: ackID, Heartbeat: fleet.Heartbeat{
		Name: "t", Pool: "shop", Address: "127.0.0.1:8000", Slots: 4, Connections: 10, State: state,
		Instance: "i1", Started: started, Sequence: ackID,
	}}))
}

// assertAck checks the reply to a call: "accepted", "refused" or "pending".
func (p *pair) assertAck(is *is.I, ackID uint64, want string) {
	is.Helper()
	accepted, replied := p.acks[ackID]
	got := map[bool]string{true: "accepted", false: "refused"}[accepted]
	if !replied {
		got = "pending"
	}
	is.Equal(got, want)
}

// TestLeavingIsAcknowledgedOnceKept guards against an acknowledgement that a node forgets: if it is killed right afterwards, late
// heartbeats of the target bring it back, and requests are sent to it.
func TestLeavingIsAcknowledgedOnceKept(t *testing.T) {
	for leave, withdraws := range map[string]bool{"drain": false, "withdrawal": true} {
		leaving := func(t *testing.T, platformDown, peerDown bool) (*is.I, *pair) {
			t.Helper()
			is, p := is.New(t), newPair()
			p.advance(2 * time.Second)
			p.platformDown, p.peerDown = platformDown, peerDown
			started := p.node.now.Add(-time.Minute)
			p.call(1, started, fleet.TargetReady, false)
			p.assertAck(is, 1, "accepted")
			p.call(2, started, fleet.TargetDraining, withdraws)
			p.assertReady(is, false)
			p.assertAck(is, 2, "pending")
			return is, p
		}

		t.Run(leave+", kept on the platform", func(t *testing.T) {
			is, p := leaving(t, false, true)
			p.advance(100 * time.Millisecond)
			p.assertAck(is, 2, "accepted")
			is.Equal(len(p.stored.Tombstones), 1)
		})

		t.Run(leave+", kept by a peer", func(t *testing.T) {
			is, p := leaving(t, true, false)
			p.advance(400 * time.Millisecond)
			p.assertAck(is, 2, "pending")
			p.advance(100 * time.Millisecond)
			p.assertAck(is, 2, "accepted")
			known, _ := p.peer.state.membership.Member("n1")
			is.Equal(len(known.Tombstones), 1)
		})

		t.Run(leave+", kept by nobody", func(t *testing.T) {
			is, p := leaving(t, true, true)
			p.advance(700 * time.Millisecond)
			p.assertAck(is, 2, "pending")
			p.advance(100 * time.Millisecond)
			p.assertAck(is, 2, "refused")
			p.assertReady(is, false)
		})
	}

	t.Run("repeated drain", func(t *testing.T) {
		is, p := is.New(t), newPair()
		p.advance(2 * time.Second)
		started := p.node.now.Add(-time.Minute)
		p.call(1, started, fleet.TargetDraining, false)
		p.advance(100 * time.Millisecond)
		p.platformDown, p.peerDown = true, true
		p.call(2, started, fleet.TargetDraining, false)
		p.assertAck(is, 2, "accepted")
	})

	t.Run("restarted node that has not read its earlier record", func(t *testing.T) {
		is, p := is.New(t), newPair()
		p.advance(2 * time.Second)
		p.call(1, p.node.now.Add(-time.Minute), fleet.TargetDraining, false)
		p.advance(100 * time.Millisecond)
		earlier := p.stored
		p.restart()
		p.platformDown, p.peerDown = true, true
		p.advance(100 * time.Millisecond)
		p.platformDown = false
		p.deliver(p.node, p.node.reduce(event.TargetWithdrew{Name: "other", AckID: 2}))
		p.advance(100 * time.Millisecond)
		p.assertAck(is, 2, "pending")
		is.Equal(p.stored, earlier)
		p.deliver(p.node, p.node.reduce(event.MembersListed{Members: []fleet.Member{earlier}}))
		p.advance(100 * time.Millisecond)
		p.assertAck(is, 2, "accepted")
		is.Equal(len(p.stored.Tombstones), 2)
	})
}
