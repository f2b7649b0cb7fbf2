package node_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/event"
	"jayfold.dev/jayfold/internal/core/fleet"
	"jayfold.dev/jayfold/internal/core/message"
	"jayfold.dev/jayfold/internal/core/node"
)

// epochNode returns a node that has read the platform in epoch 1, at version 40.
func epochNode(t *testing.T) (node.State, time.Time) {
	t.Helper()
	now := time.Unix(1000, 0)
	s := node.New(fleet.Member{Node: "n1", AvailabilityZone: "z1", Incarnation: 1}, node.DefaultSettings())
	for _, body := range []event.Body{
		event.EpochSeen{Epoch: 1, Version: 40},
		event.HeadRead{Position: fleet.Position{Epoch: 1, Version: 40}},
	} {
		s, _ = s.Reduce(event.Event{At: now, Body: body})
	}
	return s, now
}

// effectsOf returns the effects of one type.
func effectsOf[E effect.Effect](effects []effect.Effect) []E {
	var found []E
	for _, e := range effects {
		if e, ok := e.(E); ok {
			found = append(found, e)
		}
	}
	return found
}

// TestEpochIsShown guards against a restoration of the platform that can't be told from its logs, its metrics or the status page.
func TestEpochIsShown(t *testing.T) {
	is := is.New(t)
	s, now := epochNode(t)
	is.Equal(s.Status(now).Epoch, fleet.Epoch(1))
	s, effects := s.Reduce(event.Event{At: now, Body: event.EpochSeen{Epoch: 2, Version: 23}})
	is.Equal(s.Status(now).Epoch, fleet.Epoch(2))
	is.Equal(effectsOf[effect.AddToCounter](effects), []effect.AddToCounter{{Name: "platform_epochs", Delta: 1}})
	lines := effectsOf[effect.WriteLog](effects)
	is.Equal(len(lines), 1)
	is.Equal(lines[0].Message, "the platform was restored from a copy")
	is.Equal(lines[0].Fields[:4], []effect.LogField{
		{Name: "Epoch", Value: uint64(2)}, {Name: "Before", Value: uint64(1)},
		{Name: "Version", Value: uint64(23)}, {Name: "VersionBefore", Value: uint64(40)},
	})
	_, effects = s.Reduce(event.Event{At: now, Body: event.EpochSeen{Epoch: 1}})
	is.Equal(len(effects), 0)
}

// messageFrom returns the event of a message from node n2 in the zone of the node under test.
func messageFrom(now time.Time, m message.Message) event.Event {
	return event.Event{At: now, Body: event.MessageReceived{Envelope: message.Envelope{
		From: "n2", Incarnation: 1, Address: "10.0.0.2:7000", Message: m,
	}}}
}

// TestEpochFromPeer guards against a node that goes on waiting for changes at a version of an earlier epoch, although another node
// knows that the platform has been restored from a copy.
func TestEpochFromPeer(t *testing.T) {
	for name, m := range map[string]message.Message{
		"ping": message.Ping{Epoch: 2, Members: []fleet.Member{{Node: "n2", AvailabilityZone: "z1", PeerAddress: "10.0.0.2:7000", Incarnation: 1}}},
		"ack":  message.Ack{Epoch: 2, Subject: "n2"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s, now := epochNode(t)
			s, _ = s.Reduce(event.Event{At: now.Add(time.Second), Body: event.Tick{}})
			now = now.Add(2 * time.Second)
			s, effects := s.Reduce(messageFrom(now, m))
			is.Equal(len(effectsOf[effect.AddToCounter](effects)), 1)
			_, effects = s.Reduce(event.Event{At: now.Add(time.Second), Body: event.Tick{}})
			watches := effectsOf[effect.WatchHead](effects)
			is.Equal(len(watches), 1)
			is.Equal(watches[0].From, fleet.Position{})
			_, effects = s.Reduce(messageFrom(now, m))
			is.Equal(len(effectsOf[effect.AddToCounter](effects)), 0)
		})
	}
}

// TestEpochIsSent guards against a new epoch that stays unknown to nodes that don't notice it by themselves.
func TestEpochIsSent(t *testing.T) {
	is := is.New(t)
	s, now := epochNode(t)
	s, _ = s.Reduce(messageFrom(now, message.Ping{Members: []fleet.Member{
		{Node: "n2", AvailabilityZone: "z1", PeerAddress: "10.0.0.2:7000", Incarnation: 1},
	}}))
	_, effects := s.Reduce(event.Event{At: now, Body: event.EpochSeen{Epoch: 2}})
	sent := effectsOf[effect.SendMessage](effects)
	is.Equal(len(sent), 1)
	ping, ok := sent[0].Message.(message.Ping)
	is.True(ok)
	is.Equal(ping.Epoch, fleet.Epoch(2))
}
