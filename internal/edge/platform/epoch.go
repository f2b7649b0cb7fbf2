package platform

import (
	"context"
	"errors"

	"jayfold.dev/jayfold/internal/core/event"
	"jayfold.dev/jayfold/internal/core/fleet"
)

// withEpochs returns the store with the epoch of every answer reported to the reducer before the result of its call.
func (c *Client) withEpochs(s Store) Store {
	return Store{
		Get: func(ctx context.Context, key string) (Object, error) {
			found, err := s.Get(ctx, key)
			c.epochSeen(event.EpochSeen{Epoch: max(found.Epoch, epochOf(err))})
			return found, err
		},
		Watch: func(ctx context.Context, key string, from fleet.Position, options WatchOptions) (Object, error) {
			found, err := s.Watch(ctx, key, from, options)
			c.epochSeen(event.EpochSeen{
				Epoch: max(found.Epoch, epochOf(err)), Version: found.Version, MayBeStale: options.MayBeStale,
			})
			return found, err
		},
		List: func(ctx context.Context, prefix string) (List, error) {
			listed, err := s.List(ctx, prefix)
			c.epochSeen(event.EpochSeen{Epoch: max(listed.Epoch, epochOf(err))})
			return listed, err
		},
		Put: func(ctx context.Context, key string, value []byte, condition Condition) (fleet.Epoch, error) {
			epoch, err := s.Put(ctx, key, value, condition)
			c.epochSeen(event.EpochSeen{Epoch: max(epoch, epochOf(err))})
			return epoch, err
		},
		Delete: func(ctx context.Context, key string, condition Condition) (fleet.Epoch, error) {
			epoch, err := s.Delete(ctx, key, condition)
			c.epochSeen(event.EpochSeen{Epoch: max(epoch, epochOf(err))})
			return epoch, err
		},
	}
}

// epochSeen posts the epoch of an answer if it isn't that of the previous answer.
func (c *Client) epochSeen(seen event.EpochSeen) {
	if seen.Epoch == 0 || c.post == nil || c.ctx.Err() != nil || fleet.Epoch(c.lastEpoch.Swap(uint64(seen.Epoch))) == seen.Epoch {
		return
	}
	c.post(seen)
}

// epochOf returns the epoch of the answer that caused an error; 0 if there was none.
func epochOf(err error) fleet.Epoch {
	var callError CallError
	if errors.As(err, &callError) {
		return callError.Epoch
	}
	return 0
}
