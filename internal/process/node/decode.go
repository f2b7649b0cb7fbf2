package node

import (
	"jayfold.dev/jayfold/internal/core/accounts"
	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/event"
	"jayfold.dev/jayfold/internal/core/routing"
	"jayfold.dev/jayfold/internal/edge/tablesfile"
)

// decodeTables decodes a revision received from a peer. It runs on its own goroutine, because decoding a large revision
// would block the control loop for too long.
func decodeTables(e effect.DecodeTables, post func(event.Body)) {
	tables, err := tablesfile.Decode(e.Revision, e.Content)
	if err != nil {
		post(event.TablesRejected{Revision: e.Revision, Detail: err.Error()})
		return
	}
	post(event.TablesDecoded{Tables: tables, Router: routing.New(tables), Accounts: accounts.New(tables), Content: e.Content, Parts: tablesfile.Parts(e.Content)})
}
