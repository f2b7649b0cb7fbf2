package peer

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"jayfold.dev/jayfold/internal/core/accounts"
	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/fleet"
	"jayfold.dev/jayfold/internal/core/message"
	"jayfold.dev/jayfold/internal/core/routing"
	"jayfold.dev/jayfold/internal/core/tables"
	"jayfold.dev/jayfold/internal/edge/tablesfile"
)

// revisionWith returns a state with tables of 19,000 accounts in force, the first of which has the given key.
func revisionWith(r fleet.Revision, key string) tables.State {
	t := fleet.Tables{Revision: r}
	for i := range 19_000 {
		name := fleet.AccountName(fmt.Sprintf("account-%d", i))
		t.Accounts = t.Accounts.With(name, fleet.Account{
			Name: name, Keys: []fleet.KeyHash{fleet.HashKey(fmt.Sprint("a", i)), fleet.HashKey(fmt.Sprint("b", i))}, Rate: float64(10 + i%90),
		})
	}
	t.Accounts = t.Accounts.With("account-0", fleet.Account{Name: "account-0", Keys: []fleet.KeyHash{fleet.HashKey(key)}})
	content := tablesfile.Encode(t)
	s, _ := tables.New().TablesDecoded(time.Unix(1, 0), t, routing.Router{}, accounts.Index{}, content)
	return s.WithParts(r, tablesfile.Parts(content))
}

// TestChangedKeyBetweenPeers guards against a changed key for which a node sends another all of 19,000 accounts.
func TestChangedKeyBetweenPeers(t *testing.T) {
	is := is.New(t)
	old, changed := revisionWith(1, "first"), revisionWith(2, "second")
	_, asked := old.PeerRevisionSeen(time.Unix(1, 0), "b", "b", 2)
	request := message.Envelope{From: "a", Address: "a", Message: asked[0].(effect.SendMessage).Message}
	requestBytes, err := EncodedSize(request)
	is.NoErr(err)
	_, replied := changed.MessageReceived(time.Unix(1, 0), request)
	reply := message.Envelope{From: "b", Address: "b", Message: replied[0].(effect.SendMessage).Message}
	replyBytes, err := EncodedSize(reply)
	is.NoErr(err)
	request.Message = message.TablesRequest{Revision: 1}
	_, replied = changed.MessageReceived(time.Unix(1, 0), request)
	reply.Message = replied[0].(effect.SendMessage).Message
	whole, err := EncodedSize(reply)
	is.NoErr(err)
	t.Logf("request %d bytes, reply %d bytes, whole content %d bytes", requestBytes, replyBytes, whole)
	is.True(10*replyBytes < whole)
}
