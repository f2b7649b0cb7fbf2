package platform

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/event"
)

// RestoreTables executes effect.RestoreTables.
func (c *Client) RestoreTables(e effect.RestoreTables) {
	c.start(0, callFailed(event.CallRestoreTables, errCallPanicked), func(ctx context.Context) event.Body {
		written, err := c.restoreTables(ctx, e)
		if err != nil {
			return callFailed(event.CallRestoreTables, err)
		}
		if written {
			c.observe(effect.WriteLog{
				Level: effect.Warn, Component: "tables", Message: "revision written to the platform again",
				Fields: []effect.LogField{{Name: "Revision", Value: uint64(e.Revision)}},
			})
			c.observe(effect.AddToCounter{Name: "tables_restored", Delta: 1})
		}
		return nil
	})
}

// restoreTables writes a revision unless the platform has a newer one or a head that does not decode, which an operator replaces. It
// reports whether the revision was written. The head keeps its epoch, since revisions that are newer than the restored one may be lost too.
func (c *Client) restoreTables(ctx context.Context, e effect.RestoreTables) (bool, error) {
	head, read, err := c.readHead(ctx)
	var corrupt CorruptTables
	if errors.As(err, &corrupt) || err == nil && head.Revision >= e.Revision {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	names, err := c.writeChunks(ctx, e.Content, nil)
	if err != nil {
		return false, err
	}
	// Every value of the wire types can be encoded.
	value, _ := json.Marshal(head.next(e.Revision, head.Epoch, names, "restored-"+rand.Text()))
	_, err = c.store.Put(ctx, HeadKey, value, IfUnchanged(read))
	if errors.Is(err, ErrConflict) {
		// Another node or an operator was first. The watch shows the result.
		return false, nil
	}
	return err == nil, err
}
