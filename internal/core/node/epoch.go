package node

import (
	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/event"
	"jayfold.dev/jayfold/internal/core/fleet"
)

// epochSeen handles the epoch of an answer of the platform.
func (s State) epochSeen(ev event.Event, body event.EpochSeen) (State, []effect.Effect) {
	before := s.epoch.Current()
	next, changed := s.epoch.AnswerSeen(ev.At, body.Epoch, body.MayBeStale)
	s.epoch = next
	if !changed {
		return s, nil
	}
	return s.epochChanged(ev, before, effect.LogField{Name: "Version", Value: body.Version})
}

// epochChanged ties what this node keeps of the platform's answers to a new current epoch. The field tells how the node has learned of it.
func (s State) epochChanged(ev event.Event, before fleet.Epoch, learned effect.LogField) (State, []effect.Effect) {
	if before == 0 {
		// This node has nothing from an earlier epoch.
		return s, nil
	}
	versionBefore := s.tables.Position().Version
	s.tables = new(s.tables.EpochChanged(ev.At, ev.Random, s.tablesFleet()))
	return s, []effect.Effect{
		effect.WriteLog{Level: effect.Warn, Component: "platform", Message: "the platform came back from a copy", Fields: []effect.LogField{
			{Name: "Epoch", Value: uint64(s.epoch.Current())},
			{Name: "Before", Value: uint64(before)},
			learned,
			{Name: "VersionBefore", Value: versionBefore},
		}},
		effect.AddToCounter{Name: "platform_epochs", Delta: 1},
	}
}
