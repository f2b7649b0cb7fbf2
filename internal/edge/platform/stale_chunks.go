package platform

import (
	"context"
	"slices"
)

// findStaleChunks returns the chunks that no reader needs once next is the head, with their versions, and next without the
// names of chunks that are gone already. A reader may still fetch the revision before next, so its chunks stay.
//
// A writer that reads the head after next took effect writes all its chunks anew, which gives them newer versions than
// the ones returned here. So deleting only these versions never takes a chunk from a later revision.
func (c *Client) findStaleChunks(ctx context.Context, head, next wireHead) (wireHead, []Object) {
	needed := slices.Concat(next.Chunks, head.Chunks)
	next.Earlier = slices.Clone(next.Earlier)
	var stale []Object
	for i, change := range next.Earlier {
		if change.Revision == head.Revision {
			continue
		}
		found := c.findExisting(ctx, change.Chunks, needed)
		if found == nil {
			next.Earlier[i].Chunks = nil
		}
		stale = append(stale, found...)
	}
	return next, stale
}

// findExisting returns the chunks that are still there and not needed. One that cannot be read counts as there, with
// version 0, so that the next change tries again.
func (c *Client) findExisting(ctx context.Context, sums, needed []string) []Object {
	var found []Object
	for _, name := range sums {
		if slices.Contains(needed, name) {
			continue
		}
		chunk, err := c.store.Get(ctx, chunkPrefix+name)
		if err != nil || chunk.Version > 0 {
			found = append(found, Object{Key: chunkPrefix + name, Version: chunk.Version})
		}
	}
	return found
}

// deleteChunks deletes chunks. A failure is not reported: the head still names the chunk, and the next change tries again.
func (c *Client) deleteChunks(ctx context.Context, stale []Object) {
	for _, chunk := range stale {
		if chunk.Version > 0 {
			_ = c.store.Delete(ctx, chunk.Key, ifVersion(chunk.Version))
		}
	}
}
