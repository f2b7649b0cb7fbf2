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

// startedOn returns a node that has started and read revision 6 from a platform in an epoch, with the effects of the read.
func startedOn(e fleet.Epoch) (*runner, []effect.Effect) {
	r := newRunner(memberRecord("n1", 2))
	r.reduce(event.Tick{})
	r.reduce(event.EpochSeen{Epoch: e})
	r.reduce(event.HeadRead{Head: fleet.TablesHead{Revision: 6, Content: []byte{6}}, Position: fleet.Position{Epoch: e, Version: 9}})
	return r, r.reduce(event.TablesDecoded{Tables: fleet.Tables{Revision: 6}})
}

// hear delivers a message of a peer that has a revision in force.
func (r *runner) hear(revision fleet.Revision, m message.Message) []effect.Effect {
	return r.reduce(event.MessageReceived{Envelope: message.Envelope{From: "n2", Address: "n2", Incarnation: 1, Revision: revision, Message: m}})
}

// assertFirstTables checks the revision in force, and whether the effects make the node ready.
func assertFirstTables(is *is.I, r *runner, effects []effect.Effect, revision fleet.Revision, ready bool) {
	is.Helper()
	is.Equal(r.state.Revision(), revision)
	found := false
	for _, e := range effects {
		readiness, ok := e.(effect.SetReadiness)
		found = found || ok && readiness.Ready
	}
	is.Equal(found, ready)
}

// TestFirstTablesAfterRestoration guards against a node that restarts while the platform has been restored from a copy, and serves requests by
// a revision that is older than the one that its peers have in force.
func TestFirstTablesAfterRestoration(t *testing.T) {
	others := []fleet.Member{memberRecord("n2", 1)}
	t.Run("a peer has a newer revision", func(t *testing.T) {
		is := is.New(t)
		r, effects := startedOn(2)
		assertFirstTables(is, r, effects, 0, false)
		assertFirstTables(is, r, r.reduce(event.MembersListed{Members: others}), 0, false)
		assertFirstTables(is, r, r.hear(7, message.Ack{Subject: "n2", Members: others}), 0, false)
		r.hear(7, message.TablesContent{Revision: 7, Content: []byte{7}})
		assertFirstTables(is, r, r.reduce(event.TablesDecoded{Tables: fleet.Tables{Revision: 7}}), 7, true)
		r.now = r.now.Add(2 * time.Second)
		assertFirstTables(is, r, r.reduce(event.Tick{}), 7, false)
	})
	t.Run("a peer has the same revision", func(t *testing.T) {
		is := is.New(t)
		r, _ := startedOn(2)
		assertFirstTables(is, r, r.hear(6, message.Ack{Subject: "n2"}), 6, true)
	})
	t.Run("there are no others", func(t *testing.T) {
		is := is.New(t)
		r, _ := startedOn(2)
		assertFirstTables(is, r, r.reduce(event.MembersListed{}), 6, true)
	})
	t.Run("no peer answers", func(t *testing.T) {
		is := is.New(t)
		r, _ := startedOn(2)
		r.reduce(event.MembersListed{Members: others})
		r.now = r.now.Add(600 * time.Millisecond)
		assertFirstTables(is, r, r.reduce(event.Tick{}), 0, false)
		r.now = r.now.Add(200 * time.Millisecond)
		assertFirstTables(is, r, r.reduce(event.Tick{}), 6, true)
	})
	t.Run("no peer answers while the tables change", func(t *testing.T) {
		is := is.New(t)
		r, _ := startedOn(2)
		for range 2 {
			r.now = r.now.Add(400 * time.Millisecond)
			r.reduce(event.TablesDecoded{Tables: fleet.Tables{Revision: 8}})
		}
		assertFirstTables(is, r, r.reduce(event.Tick{}), 8, true)
	})
	for name, e := range map[string]fleet.Epoch{"a platform that was never restored": 1, "an unknown epoch": 0} {
		t.Run(name, func(t *testing.T) {
			r, effects := startedOn(e)
			assertFirstTables(is.New(t), r, effects, 6, true)
		})
	}
}
