package node

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"jayfold.dev/jayfold/internal/core/event"
	"jayfold.dev/jayfold/internal/core/fleet"
)

// newPairWithTarget returns two nodes that know epoch 1 of the platform's data. The first one has a target, which is registered.
func newPairWithTarget(started int64) *pair {
	p := newPair()
	p.restore(fleet.Member{})
	p.heartbeat(started, 7, fleet.TargetReady)
	p.advance(2 * time.Second)
	return p
}

// restore replaces the node's record on the platform by a copy. Both nodes learn of the new epoch.
func (p *pair) restore(copied fleet.Member) {
	p.epoch++
	p.stored = copied
	for _, r := range []*runner{p.node, p.peer} {
		p.deliver(r, r.reduce(event.EpochSeen{Epoch: p.epoch}))
	}
}

// TestRecordIsWrittenAgain guards against a node whose record the platform has lost: nodes that start find it only minutes later, and a
// target that has left is used again after a restart of the whole fleet, since its tombstone was lost as well.
func TestRecordIsWrittenAgain(t *testing.T) {
	const started = 1_000_000
	t.Run("without a tombstone", func(t *testing.T) {
		is, p := is.New(t), newPairWithTarget(started)
		for range 2 {
			p.restore(fleet.Member{})
			p.advance(2 * time.Second)
			is.Equal(p.stored.Node, fleet.NodeID("n1"))
		}
	})
	t.Run("with a tombstone, before all nodes lose power", func(t *testing.T) {
		is, p := is.New(t), newPairWithTarget(started)
		copied := p.stored
		p.heartbeat(started, 8, fleet.TargetDraining)
		p.advance(time.Second)
		is.Equal(len(p.stored.Tombstones), 1)
		p.restore(copied)
		is.Equal(len(p.stored.Tombstones), 0)
		p.advance(200 * time.Millisecond)
		is.Equal(len(p.stored.Tombstones), 1)
		p.peerDown = true
		p.restart()
		p.deliver(p.node, p.node.reduce(event.MembersListed{Members: []fleet.Member{p.stored}}))
		p.heartbeat(started, 6, fleet.TargetReady)
		p.assertReady(is, false)
	})
	t.Run("after an outage", func(t *testing.T) {
		is, p := is.New(t), newPairWithTarget(started)
		p.platformDown = true
		p.restore(fleet.Member{})
		p.advance(2 * time.Second)
		p.deliver(p.node, p.node.reduce(event.PlatformCallFailed{Call: event.CallRegisterMember}))
		p.platformDown = false
		p.advance(3 * time.Second)
		is.Equal(p.stored.Node, fleet.NodeID("n1"))
	})
}

// TestAckNeedsTheCurrentEpoch guards against an acknowledgement of a leaving target for a platform that has lost the tombstone
// since.
func TestAckNeedsTheCurrentEpoch(t *testing.T) {
	for name, late := range map[string]bool{"the write is answered late": true, "the write was answered before": false} {
		t.Run(name, func(t *testing.T) {
			is, p := is.New(t), newPairWithTarget(1_000_000)
			started := time.UnixMilli(1_000_000)
			p.platformDown, p.peerDown = late, true
			p.call(2, started, fleet.TargetDraining, false)
			if !late {
				p.advance(100 * time.Millisecond)
				p.assertAck(is, 2, "accepted")
			}
			p.platformDown = true
			p.restore(fleet.Member{})
			if late {
				p.deliver(p.node, p.node.reduce(event.MemberRegistered{Sequence: p.node.state.Self().Sequence, Epoch: 1}))
				p.assertAck(is, 2, "pending")
			}
			p.call(3, started, fleet.TargetDraining, false)
			p.assertAck(is, 3, "pending")
			p.platformDown = false
			p.deliver(p.node, p.node.reduce(event.MemberRegistered{Sequence: p.node.state.Self().Sequence, Epoch: 2}))
			p.assertAck(is, 3, "accepted")
		})
	}
}
