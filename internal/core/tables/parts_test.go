package tables_test

import (
	"testing"

	"github.com/matryer/is"

	"jayfold.dev/jayfold/internal/core/accounts"
	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/fleet"
	"jayfold.dev/jayfold/internal/core/message"
	"jayfold.dev/jayfold/internal/core/routing"
	"jayfold.dev/jayfold/internal/core/tables"
)

// withRevision returns the state with a revision in force whose content has the given parts, each of which is its own sum.
func withRevision(s tables.State, r fleet.Revision, parts ...string) tables.State {
	var content []byte
	list := make([]fleet.TablesPart, len(parts))
	for i, part := range parts {
		list[i] = fleet.TablesPart{Sum: fleet.PartSum(part), Content: []byte(part)}
		content = append(content, part...)
	}
	s, _ = s.TablesDecoded(start, fleet.Tables{Revision: r}, routing.Router{}, accounts.Index{}, content)
	return s.WithParts(r, list)
}

// requestOf returns the request for tables that a node sends when it sees a newer revision of a peer.
func requestOf(t *testing.T, s tables.State, r fleet.Revision) (tables.State, message.TablesRequest) {
	t.Helper()
	s, effects := s.PeerRevisionSeen(start, "peer", "address", r)
	for _, e := range effects {
		if send, ok := e.(effect.SendMessage); ok {
			return s, send.Message.(message.TablesRequest)
		}
	}
	t.Fatal("no request was sent")
	return s, message.TablesRequest{}
}

// replyOf returns the reply of a node to a request.
func replyOf(s tables.State, request message.TablesRequest) message.TablesContent {
	_, effects := s.MessageReceived(start, message.Envelope{From: "n", Address: "n", Message: request})
	return effects[0].(effect.SendMessage).Message.(message.TablesContent)
}

// decodedContent returns the content that a node decodes after a reply; false if it decodes none.
func decodedContent(s tables.State, reply message.TablesContent) (tables.State, string, bool) {
	s, effects := s.MessageReceived(start, message.Envelope{From: "peer", Address: "address", Message: reply})
	for _, e := range effects {
		if decode, ok := e.(effect.DecodeTables); ok {
			return s, string(decode.Content), true
		}
	}
	return s, "", false
}

// TestOnlyChangedPartsAreSent guards against peers that send each other all accounts when one of them has changed, and against content
// that is put together from parts of different revisions.
func TestOnlyChangedPartsAreSent(t *testing.T) {
	old := withRevision(tables.New(), 1, "routes1 ", "a ", "b ", "c ")
	peer := withRevision(tables.New(), 2, "routes2 ", "a ", "B ", "c ")
	t.Run("a peer sends the parts that differ", func(t *testing.T) {
		is := is.New(t)
		s, request := requestOf(t, old, 2)
		reply := replyOf(peer, request)
		sent := ""
		for _, part := range reply.Parts {
			sent += string(part.Content)
		}
		is.Equal(sent, "routes2 B ")
		is.Equal(len(reply.Content), 0)
		_, content, ok := decodedContent(s, reply)
		is.True(ok)
		is.Equal(content, "routes2 a B c ")
	})
	t.Run("a node without tables gets the whole content", func(t *testing.T) {
		is := is.New(t)
		s, request := requestOf(t, tables.New(), 2)
		_, content, ok := decodedContent(s, replyOf(peer, request))
		is.True(ok)
		is.Equal(content, "routes2 a B c ")
	})
	t.Run("a peer of an earlier version gets the whole content", func(t *testing.T) {
		is.New(t).Equal(string(replyOf(peer, message.TablesRequest{Revision: 1}).Content), "routes2 a B c ")
	})
	t.Run("a peer without parts sends the whole content", func(t *testing.T) {
		is := is.New(t)
		undivided := withRevision(tables.New(), 2, "all")
		s, request := requestOf(t, old, 2)
		_, content, ok := decodedContent(s, replyOf(undivided, request))
		is.True(ok)
		is.Equal(content, "all")
	})
	t.Run("another revision came into force before the reply", func(t *testing.T) {
		is := is.New(t)
		newest := withRevision(tables.New(), 3, "routes3 ", "a ", "B ", "c ")
		s, request := requestOf(t, old, 3)
		reply := replyOf(newest, request)
		s = withRevision(s, 2, "routes2 ", "x ", "y ", "z ")
		s, _, ok := decodedContent(s, reply)
		is.True(!ok) // parts a and c are missing
		_, request = requestOf(t, s, 3)
		is.Equal(len(request.Parts), 0) // the next request asks for the whole content
	})
}
