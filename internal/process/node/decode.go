package node

import (
	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/event"
	"jayfold.dev/jayfold/internal/core/routing"
	"jayfold.dev/jayfold/internal/edge/tablesfile"
)

// decodeTables decodes a revision that a peer sent. It runs on a goroutine of its own, because a large revision takes
// longer to decode than the control loop may wait.
func decodeTables(e effect.DecodeTables, post func(event.Body)) {
	tables, err := tablesfile.Decode(e.Revision, e.Content)
	if err != nil {
		post(event.TablesRejected{Revision: e.Revision, Detail: err.Error()})
		return
	}
	post(event.TablesDecoded{Tables: tables, Router: routing.New(tables), Content: e.Content})
}
