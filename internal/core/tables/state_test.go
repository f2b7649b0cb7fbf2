package tables_test

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
	"jayfold.dev/jayfold/internal/core/tables"
)

var start = time.Unix(1_000_000, 0)

// assertSentTo checks that the effects send exactly one message, to the given peer, or none if peer is empty.
func assertSentTo(t *testing.T, effects []effect.Effect, peer fleet.NodeID) {
	t.Helper()
	var sentTo fleet.NodeID
	for _, e := range effects {
		if send, ok := e.(effect.SendMessage); ok {
			is.New(t).Equal(sentTo, fleet.NodeID(""))
			sentTo = send.To
		}
	}
	is.New(t).Equal(sentTo, peer)
}

// content returns a peer's reply with the content of a revision.
func content(from fleet.NodeID, r fleet.Revision) message.Envelope {
	return message.Envelope{From: from, Message: message.TablesContent{Revision: r, Content: []byte("content")}}
}

// TestPeers guards against a node that waits for a peer without a reply, asks for invalid content again, or adopts an older
// revision.
func TestPeers(t *testing.T) {
	// asked returns a state that has requested a revision from peer a and knows that peer b has it too.
	asked := func(t *testing.T) tables.State {
		t.Helper()
		s, effects := tables.New().PeerRevisionSeen(start, "a", "address", 7)
		assertSentTo(t, effects, "a")
		s, effects = s.PeerRevisionSeen(start, "b", "address", 7)
		assertSentTo(t, effects, "")
		return s
	}

	t.Run("after a timeout another peer is asked", func(t *testing.T) {
		s, effects := asked(t).Tick(start.Add(999*time.Millisecond), 0)
		assertSentTo(t, effects, "")
		_, effects = s.Tick(start.Add(time.Second), 0)
		assertSentTo(t, effects, "b")
	})

	t.Run("a peer that sent invalid content is not asked again at once", func(t *testing.T) {
		s, effects := asked(t).MessageReceived(start, content("a", 7))
		is.New(t).Equal(effects, []effect.Effect{effect.DecodeTables{Revision: 7, Content: []byte("content")}})
		s, _ = s.TablesRejected(start, 7, "not valid")
		s, effects = s.PeerRevisionSeen(start, "a", "address", 7)
		assertSentTo(t, effects, "")
		_, effects = s.Tick(start.Add(10*time.Second), 0)
		assertSentTo(t, effects, "b")
	})

	t.Run("a late reply with an older revision is dropped", func(t *testing.T) {
		s, _ := asked(t).TablesDecoded(start, fleet.Tables{Revision: 8}, routing.Router{}, accounts.Index{}, nil)
		s, effects := s.MessageReceived(start, content("a", 7))
		is.New(t).Equal(len(effects), 0)
		s, _ = s.TablesDecoded(start, fleet.Tables{Revision: 7}, routing.Router{}, accounts.Index{}, nil)
		is.New(t).Equal(s.Current().Revision, fleet.Revision(8))
	})

	t.Run("only a peer with an older revision receives the tables", func(t *testing.T) {
		s, _ := tables.New().TablesDecoded(start, fleet.Tables{Revision: 7}, routing.Router{}, accounts.Index{}, []byte("content"))
		request := message.Envelope{From: "a", Address: "address", Message: message.TablesRequest{Revision: 6}}
		_, effects := s.MessageReceived(start, request)
		assertSentTo(t, effects, "a")
		request.Message = message.TablesRequest{Revision: 7}
		_, effects = s.MessageReceived(start, request)
		is.New(t).Equal(len(effects), 0)
	})
}

// watching returns a state whose first watch is running.
func watching() tables.State {
	s, _ := tables.New().Tick(start, 0)
	return s
}

// TestPlatform guards against concurrent watches, retries without a backoff, needless reads of the platform, and watches that all
// end at the same time.
func TestPlatform(t *testing.T) {
	t.Run("a failed call of another component starts no second watch", func(t *testing.T) {
		s, _ := watching().PlatformCallFailed(start, 0, tables.Fleet{ZoneMembers: designZoneSize}, event.CallListMembers, "outage")
		_, effects := s.Tick(start.Add(time.Hour), 0)
		is.New(t).Equal(len(effects), 0)
	})

	t.Run("failed watches are retried with a bounded exponential backoff", func(t *testing.T) {
		s, at := watching(), start
		for _, wait := range []time.Duration{500, 1000, 2000, 4000, 5000, 5000} {
			s, _ = s.PlatformCallFailed(at, 0, tables.Fleet{ZoneMembers: designZoneSize}, event.CallWatchHead, "outage")
			_, effects := s.Tick(at.Add(wait*time.Millisecond-1), 0)
			is.New(t).Equal(len(effects), 0)
			at = at.Add(wait * time.Millisecond)
			s, effects = s.Tick(at, 0)
			is.New(t).Equal(len(effects), 1)
		}
	})

	t.Run("a node that is alone in its zone retries within a second", func(t *testing.T) {
		s, at := watching(), start
		for _, wait := range []time.Duration{500, 500, 500} {
			s, _ = s.PlatformCallFailed(at, 0, tables.Fleet{Members: 540, ZoneMembers: 1}, event.CallWatchHead, "outage")
			at = at.Add(wait * time.Millisecond)
			var effects []effect.Effect
			s, effects = s.Tick(at, 0)
			is.New(t).Equal(len(effects), 1)
		}
	})

	t.Run("an older revision on the platform changes nothing", func(t *testing.T) {
		s, _ := watching().TablesDecoded(start, fleet.Tables{Revision: 8}, routing.Router{}, accounts.Index{}, nil)
		s, effects := s.HeadRead(start, 0, tables.Fleet{Members: 3}, fleet.TablesHead{Revision: 7}, fleet.Position{Version: 9})
		is.New(t).Equal(len(effects), 1) // the log line
		is.New(t).Equal(s.Current().Revision, fleet.Revision(8))
	})

	t.Run("a revision that is being decoded is not requested from a peer", func(t *testing.T) {
		head := fleet.TablesHead{Revision: 7, Content: []byte("content")}
		s, effects := watching().HeadRead(start, 0, tables.Fleet{Members: 24}, head, fleet.Position{Version: 9})
		is.New(t).Equal(effects, []effect.Effect{effect.FetchTables{Head: head}})
		s, effects = s.PeerRevisionSeen(start, "a", "address", 7)
		is.New(t).Equal(len(effects), 0)
		_, effects = s.PeerRevisionSeen(start, "b", "address", 8)
		assertSentTo(t, effects, "b")
	})

	t.Run("a revision received from a peer is not read from the platform", func(t *testing.T) {
		s, _ := watching().TablesDecoded(start, fleet.Tables{Revision: 6}, routing.Router{}, accounts.Index{}, nil)
		s, effects := s.HeadRead(start, 1<<63, tables.Fleet{Members: 540}, fleet.TablesHead{Revision: 7}, fleet.Position{Version: 9})
		is.New(t).Equal(len(effects), 0)
		s, effects = s.PeerRevisionSeen(start, "a", "address", 7)
		assertSentTo(t, effects, "a")
		s, _ = s.TablesDecoded(start, fleet.Tables{Revision: 7}, routing.Router{}, accounts.Index{}, nil)
		_, effects = s.Tick(start.Add(time.Minute), 0)
		is.New(t).Equal(effects, []effect.Effect{effect.WatchHead{From: fleet.Position{Version: 9}, Wait: 3 * time.Second}})
	})

	// All watches start together after a change. If they also ended together, a lost response would go unnoticed for a whole wait.
	for _, sized := range []struct {
		fleet   tables.Fleet
		longest time.Duration
	}{
		{tables.Fleet{Members: 1, ZoneMembers: 1}, 3 * time.Second},
		{tables.Fleet{Members: 24, ZoneMembers: 8}, 24 * time.Second},
		{tables.Fleet{Members: 24, ZoneMembers: 4}, 12 * time.Second},
		{tables.Fleet{Members: 540, ZoneMembers: designZoneSize}, 30 * time.Second},
		{tables.Fleet{Members: 540, ZoneMembers: 1}, 3 * time.Second},
	} {
		t.Run(fmt.Sprintf("%+v waits between 3 s and %s", sized.fleet, sized.longest), func(t *testing.T) {
			assertWatch(t, sized.fleet, 0, 3*time.Second)
			assertWatch(t, sized.fleet, 1<<31, (3*time.Second+sized.longest)/2)
			assertWatch(t, sized.fleet, 1<<32-1, sized.longest)
		})
	}
}

// assertWatch checks the wait of a node's next watch.
func assertWatch(t *testing.T, f tables.Fleet, random uint64, wait time.Duration) {
	t.Helper()
	is := is.New(t)
	s, _ := watching().HeadRead(start, random, f, fleet.TablesHead{}, fleet.Position{Version: 9})
	_, effects := s.Tick(start.Add(time.Minute), 0)
	is.Equal(len(effects), 1)
	watch, ok := effects[0].(effect.WatchHead)
	is.True(ok)
	is.True((watch.Wait - wait).Abs() < time.Millisecond)
}

// BenchmarkTickBehind measures the most expensive tick, in which a node that is behind chooses a peer after messages from 540
// nodes.
func BenchmarkTickBehind(b *testing.B) {
	s, _ := tables.New().Tick(start, 0)
	for i := range 540 {
		s, _ = s.PeerRevisionSeen(start, nodeID(i), "address", 7)
	}
	for b.Loop() {
		s.Tick(start.Add(time.Second), 99)
	}
}

// BenchmarkPeerRevisionSeen measures the cost of handling the revision in a message of another node.
func BenchmarkPeerRevisionSeen(b *testing.B) {
	s := tables.New()
	for i := range 540 {
		s, _ = s.PeerRevisionSeen(start, nodeID(i), "address", 0)
	}
	for b.Loop() {
		s.PeerRevisionSeen(start, "node-100", "address", 0)
	}
}

// BenchmarkTablesDecoded measures the step that brings tables of the design size into force.
func BenchmarkTablesDecoded(b *testing.B) {
	t := fleet.Tables{Revision: 1}
	for i := range 4600 {
		t.Routes = append(t.Routes, fleet.Route{PathPrefix: fmt.Sprintf("/service-%d/route-%d", i%140, i), Pool: "pool"})
	}
	router := routing.New(t)
	for b.Loop() {
		tables.New().TablesDecoded(start, t, router, accounts.Index{}, nil)
	}
}
