package node_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/event"
	"jayfold.dev/jayfold/internal/core/fleet"
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
	is.Equal(lines[0].Message, "the platform came back from a copy")
	is.Equal(lines[0].Fields[:4], []effect.LogField{
		{Name: "Epoch", Value: uint64(2)}, {Name: "Before", Value: uint64(1)},
		{Name: "Version", Value: uint64(23)}, {Name: "VersionBefore", Value: uint64(40)},
	})
	_, effects = s.Reduce(event.Event{At: now, Body: event.EpochSeen{Epoch: 1}})
	is.Equal(len(effects), 0)
}
