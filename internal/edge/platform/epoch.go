package platform

import (
	"context"
	"errors"
	"time"

	"jayfold.dev/jayfold/internal/core/event"
	"jayfold.dev/jayfold/internal/core/fleet"
)

// withEpochs returns the store with the epoch of every answer reported to the reducer before the result of its call, and without results of
// watches that don't continue their positions.
func (c *Client) withEpochs(s Store) Store {
	return Store{
		Get: func(ctx context.Context, key string) (Object, error) {
			found, err := s.Get(ctx, key)
			c.epochSeen(max(found.Epoch, epochOf(err)))
			return found, err
		},
		Watch: func(ctx context.Context, key string, from fleet.Position, wait time.Duration) (Object, error) {
			found, err := s.Watch(ctx, key, from, wait)
			c.postEpoch(event.EpochSeen{Epoch: max(found.Epoch, epochOf(err)), Version: found.Version})
			return found.resultFrom(from), err
		},
		List: func(ctx context.Context, prefix string) (List, error) {
			listed, err := s.List(ctx, prefix)
			c.epochSeen(max(listed.Epoch, epochOf(err)))
			return listed, err
		},
		Put: func(ctx context.Context, key string, value []byte, condition Condition) (fleet.Epoch, error) {
			epoch, err := s.Put(ctx, key, value, condition)
			c.epochSeen(max(epoch, epochOf(err)))
			return epoch, err
		},
		Delete: func(ctx context.Context, key string, condition Condition) (fleet.Epoch, error) {
			epoch, err := s.Delete(ctx, key, condition)
			c.epochSeen(max(epoch, epochOf(err)))
			return epoch, err
		},
	}
}

// resultFrom returns the result of a watch from a position. A result of another epoch doesn't continue the position: changes between the two
// are missing from it. It becomes one without a version, after which the object must be read. A result without an epoch is taken for one
// of the same epoch.
func (o Object) resultFrom(from fleet.Position) Object {
	if o.Epoch.Differs(from.Epoch) {
		return Object{Key: o.Key, Epoch: o.Epoch}
	}
	if o.Epoch == 0 {
		o.Epoch = from.Epoch
	}
	return o
}

// epochSeen posts the epoch of an answer if it isn't that of the previous one.
func (c *Client) epochSeen(e fleet.Epoch) {
	if fleet.Epoch(c.lastEpoch.Load()) != e {
		c.postEpoch(event.EpochSeen{Epoch: e})
	}
}

// postEpoch posts the epoch of an answer, if it is known and the client has a reducer to post to. The epochs of watches are always posted:
// they are few, and show that the platform stays in an earlier epoch.
func (c *Client) postEpoch(seen event.EpochSeen) {
	if seen.Epoch == 0 || c.post == nil || c.ctx.Err() != nil {
		return
	}
	c.lastEpoch.Store(uint64(seen.Epoch))
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
