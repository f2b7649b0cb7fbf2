package node

import (
	"testing"

	"github.com/matryer/is"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/event"
	"jayfold.dev/jayfold/internal/core/fleet"
	"jayfold.dev/jayfold/internal/core/message"
)

// countEffects counts the messages, log lines and counter increments among the effects.
func countEffects(effects []effect.Effect) (sends, logs, counts int) {
	for _, e := range effects {
		switch e.(type) {
		case effect.SendMessage:
			sends++
		case effect.WriteLog:
			logs++
		case effect.AddToCounter:
			counts++
		}
	}
	return sends, logs, counts
}

// TestStaleMessagesAreIgnored guards against messages from an earlier incarnation of a node. A delayed lease request or probe
// must have no effect, and many of them must not fill the log.
func TestStaleMessagesAreIgnored(t *testing.T) {
	bodies := map[string]message.Message{
		"ping":           message.Ping{Sequence: 1},
		"lease request":  message.LeaseRequest{Number: 1, Requester: "node-001/t00", Grantor: "node-000/t00", Pool: designPool(0)},
		"tables request": message.TablesRequest{},
	}
	for name, body := range bodies {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := designFleet()
			for i, logs := range []int{1, 0} {
				before := r.state
				effects := r.reduce(event.MessageReceived{Envelope: message.Envelope{
					From: "node-001", Address: "10.0.0.1:7001", Incarnation: 0, Revision: fleet.Revision(99 + i), Message: body,
				}})
				sent, logged, count := countEffects(effects)
				is.Equal(sent, 0)
				is.Equal(logged, logs)
				is.Equal(count, 1)
				is.Equal(r.state.tables.NewestRevision(), before.tables.NewestRevision())
			}
		})
	}
}
