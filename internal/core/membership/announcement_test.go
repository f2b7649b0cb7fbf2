package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/fleet"
	"jayfold.dev/jayfold/internal/core/message"
)

// reachesOtherZones is the time within which a changed record must be known in all zones after losses in its own: 3 s in which a machine
// beside harmed ones doesn't count for the users, and 8 s after which they expect requests of other zones at a new target.
const reachesOtherZones = 11 * time.Second

// zoneLoss makes the members of zone z0 stop, except n0.
type zoneLoss struct {
	// dead is true if the processes end, and false if they freeze.
	dead bool
	// gap is the time between two losses.
	gap time.Duration
}

// lose makes the members of n0's zone stop.
func (n *network) lose(l zoneLoss) {
	for _, id := range n.ids() {
		p := n.processes[id]
		if p.state.Self().AvailabilityZone == "z0" && id != "n0" {
			p.stopped, p.dead = true, l.dead
			n.run(l.gap)
		}
	}
}

// assertKnown checks that every running node has the newest record of a node within a time.
func assertKnown(t *testing.T, n *network, id fleet.NodeID, within time.Duration) {
	t.Helper()
	behind := func() int {
		count := 0
		for _, p := range n.processes {
			if seen, _ := p.state.Member(id); !p.stopped && n.processes[id].state.Self().Supersedes(seen) {
				count++
			}
		}
		return count
	}
	// The change itself is due within a second.
	n.run(changeInterval + testTick)
	for end := n.now.Add(within - changeInterval - testTick); behind() > 0 && n.now.Before(end); {
		n.step()
	}
	is.New(t).Equal(behind(), 0)
	is.New(t).Equal(n.failure, "")
}

// TestRecordOfLonelyNode guards against targets that other zones go on using after they have left, or don't use after they have joined, for
// minutes, since the members of the zone are lost that would have passed on the record.
func TestRecordOfLonelyNode(t *testing.T) {
	target := func(name string) fleet.Target {
		return fleet.Target{ID: fleet.NewTargetID("n0", name), Pool: "pool", Slots: 4}
	}
	for name, loss := range map[string]zoneLoss{
		"killed":                 {dead: true},
		"frozen":                 {},
		"lost one after another": {dead: true, gap: 300 * time.Millisecond},
	} {
		for change, targets := range map[string][]fleet.Target{"leaves": nil, "joins": {target("t"), target("u")}} {
			for _, perZone := range []int{5, 8, 26} {
				t.Run(fmt.Sprintf("%s, a target %s, %d nodes", name, change, perZone), func(t *testing.T) {
					n := startTogether(perZone, 1, 1500*time.Millisecond)
					for _, p := range n.processes {
						p.state = p.state.WithMeteredZones(true)
					}
					n.run(30 * time.Second)
					n.lose(loss)
					p := n.processes["n0"]
					n.apply(p, p.state.TargetsChanged(targets, nil), nil)
					assertKnown(t, n, "n0", reachesOtherZones)
				})
			}
		}
	}
}

// TestAnnouncements guards against pings between zones, whose bytes are expensive, while no member of the zone is lost or after the other
// zones have confirmed the record.
func TestAnnouncements(t *testing.T) {
	now := time.Unix(1000, 0)
	s := newZonedState("z", 3, 2)
	count := func(s State, at time.Time) int {
		_, effects := s.announceOwnRecord(at, 0)
		return len(effects)
	}
	lost := s.suspectMember(now, "n0")
	t.Run("not in calm", func(t *testing.T) { is.New(t).Equal(count(s, now), 0) })
	t.Run("to a member of each other zone", func(t *testing.T) { is.New(t).Equal(count(lost, now), 1) })
	t.Run("not after the loss of a member of another zone", func(t *testing.T) { is.New(t).Equal(count(s.suspectMember(now, "n4"), now), 0) })
	t.Run("not for ever", func(t *testing.T) { is.New(t).Equal(count(lost, now.Add(announcementTime)), 0) })
	t.Run("again a second later until it is confirmed", func(t *testing.T) {
		is := is.New(t)
		pinged, effects := lost.announceOwnRecord(now, 0)
		is.Equal(count(pinged, now.Add(announcementInterval-1)), 0)
		is.Equal(count(pinged, now.Add(announcementInterval)), 1)
		send, ok := effects[0].(effect.SendMessage)
		is.True(ok)
		pinged, _ = pinged.MessageReceived(now, message.Envelope{
			From: send.To, Message: message.Ack{Sequence: pinged.sequence, Subject: send.To},
		})
		is.Equal(count(pinged, now.Add(announcementInterval)), 0)
		changed := pinged.TargetsChanged(nil, []fleet.Tombstone{{Target: "z/t"}})
		is.Equal(count(changed, now.Add(announcementInterval)), 1)
	})
}
