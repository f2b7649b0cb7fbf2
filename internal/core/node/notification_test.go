package node

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"jayfold.dev/jayfold/internal/core/accounts"
	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/event"
	"jayfold.dev/jayfold/internal/core/fleet"
	"jayfold.dev/jayfold/internal/core/message"
	"jayfold.dev/jayfold/internal/core/routing"
)

// assertPings checks the number of pings among the effects and the revision that they show.
func assertPings(t *testing.T, effects []effect.Effect, revision fleet.Revision, count int) {
	t.Helper()
	pings := 0
	for _, e := range effects {
		send, ok := e.(effect.SendMessage)
		if _, isPing := send.Message.(message.Ping); ok && isPing {
			pings++
			is.New(t).Equal(send.Revision, revision)
		}
	}
	is.New(t).Equal(pings, count)
}

// TestRevisionIsPassedOn guards against a node that is cut off from the platform and learns of a change seconds late, because no node that has
// read it tells others.
func TestRevisionIsPassedOn(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	var others []fleet.Member
	for i := range 9 {
		others = append(others, memberRecord(fleet.NodeID(fmt.Sprintf("n%d", i+1)), 1))
	}
	s := New(memberRecord("n0", 1), DefaultSettings())
	s, _ = s.Reduce(event.Event{At: now, Body: event.MessageReceived{Envelope: message.Envelope{
		From: "n1", Incarnation: 1, Message: message.Ping{Members: others},
	}}})
	decode := func(s State, r fleet.Revision) (State, []effect.Effect) {
		tables := fleet.Tables{Revision: r}
		return s.Reduce(event.Event{At: now, Body: event.TablesDecoded{Tables: tables, Router: routing.New(tables), Accounts: accounts.New(tables)}})
	}
	s, effects := decode(s, 7)
	assertPings(t, effects, 7, 4)
	t.Run("not twice", func(t *testing.T) {
		_, effects := decode(s, 7)
		assertPings(t, effects, 7, 0)
	})
	t.Run("not an older one", func(t *testing.T) {
		_, effects := decode(s, 6)
		assertPings(t, effects, 7, 0)
	})
	t.Run("from a peer as well", func(t *testing.T) {
		s, _ := s.Reduce(event.Event{At: now, Body: event.MessageReceived{Envelope: message.Envelope{
			From: "n1", Incarnation: 1, Revision: 8, Message: message.TablesContent{Revision: 8, Content: []byte("content")},
		}}})
		_, effects := decode(s, 8)
		assertPings(t, effects, 8, 4)
	})
}
