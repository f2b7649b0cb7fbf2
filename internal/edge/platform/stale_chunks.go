package platform

import (
	"context"
	"slices"
)

// findStaleChunks returns the chunks that no reader needs once next has replaced head, with their versions, and next without
// the names of chunks that have been deleted. A reader may still fetch the revision of head, so its chunks are kept.
//
// A writer that reads the head after it was replaced writes all its chunks again that this head does not name, which gives them newer
// versions than the ones returned here. Deleting only these versions therefore never deletes a chunk of a later revision.
func (c *Client) findStaleChunks(ctx context.Context, head, next wireHead) (wireHead, []Object) {
	needed := slices.Concat(next.Chunks, head.Chunks)
	next.Earlier = slices.Clone(next.Earlier)
	var stale []Object
	for i, change := range next.Earlier {
		if change.Revision == head.Revision {
			continue
		}
		found := c.findUnneededChunks(ctx, change.Chunks, needed)
		if found == nil {
			next.Earlier[i].Chunks = nil
		}
		stale = append(stale, found...)
	}
	return next, stale
}

// findUnneededChunks returns the chunks with the given names that exist and are not needed. A chunk that cannot be read counts
// as existing, with version 0, so that the next change retries its deletion.
func (c *Client) findUnneededChunks(ctx context.Context, names, needed []string) []Object {
	var found []Object
	for _, name := range names {
		if slices.Contains(needed, name) {
			continue
		}
		chunk, err := c.store.Get(ctx, chunkPrefix+name)
		if err != nil || chunk.Version > 0 {
			found = append(found, Object{Key: chunkPrefix + name, Epoch: chunk.Epoch, Version: chunk.Version})
		}
	}
	return found
}

// deleteChunks deletes chunks. It reports no errors: the head still names a chunk that was not deleted, and the next change
// retries the deletion.
func (c *Client) deleteChunks(ctx context.Context, stale []Object) {
	for _, chunk := range stale {
		if chunk.Version > 0 {
			_, _ = c.store.Delete(ctx, chunk.Key, IfUnchanged(chunk))
		}
	}
}
