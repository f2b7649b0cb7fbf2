package node

import (
	"fmt"

	"pgregory.net/rapid"

	"jayfold.dev/jayfold/internal/core/accounts"
	"jayfold.dev/jayfold/internal/core/event"
	"jayfold.dev/jayfold/internal/core/fleet"
	"jayfold.dev/jayfold/internal/core/routing"
)

// simulatedKeys holds the API keys of requests. Tables of a host have one account, whose key changes with each revision; the first
// revision has no accounts.
type simulatedKeys struct {
	byRequest map[fleet.RequestID]fleet.Credential
}

func keyOfRevision(r fleet.Revision) fleet.Credential {
	return fleet.NewCredential([]string{fmt.Sprint("key", r)})
}

// withKey returns a request with the key that is in force on the host, or with the one before.
func (sim *simulation) withKey(h *host, request fleet.Request) fleet.Request {
	if sim.keys == nil {
		return request
	}
	revision := h.state.Revision()
	if sim.chance(10) {
		revision--
	}
	request.Credential = keyOfRevision(revision)
	sim.keys.byRequest[request.ID] = request.Credential
	return request
}

// changeKey brings a revision with another key into force on a host that is up.
func (sim *simulation) changeKey(t *rapid.T) {
	h := sim.drawHost(t)
	if h.down || h.paused {
		t.Skip("the host is down or paused")
	}
	tables := h.state.tables.Current().WithRevision(h.state.Revision() + 1)
	tables.Accounts = tables.Accounts.With("acme", fleet.Account{
		Name: "acme", Keys: []fleet.KeyHash{keyOfRevision(tables.Revision).Hash},
	})
	sim.post(h, h.incarnation, event.TablesDecoded{Tables: tables, Router: routing.New(tables), Accounts: accounts.New(tables)})
}

// checkKey records a violation if an attempt starts for a key that is not in force on its ingress.
func (sim *simulation) checkKey(h *host, a fleet.Attempt) {
	if sim.keys == nil || !h.state.tables.Accounts().RequiresKeys() {
		return
	}
	credential := sim.keys.byRequest[a.ID.Request()]
	if a.Account != "" && credential != keyOfRevision(h.state.Revision()) {
		sim.ledger.violation("%s started at revision %d with a key that was revoked", a.ID, h.state.Revision())
	}
	if a.Account != "" {
		sim.ledger.seen["with a key"]++
	}
}
