package platform

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"time"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/event"
	"jayfold.dev/jayfold/internal/core/fleet"
)

const (
	// claimPrefix is the prefix of the keys of claim objects. A hash of the claim's name follows, since callers choose the name.
	claimPrefix = "orders/"
	// maxClaimTries bounds the writes for one claim: the first, and one after a lost response or a concurrent release, or over a
	// claim that this process may replace.
	maxClaimTries = 2
	// claimTimeout bounds a claim including its read-back, since an order waits for it.
	claimTimeout = time.Second
)

// wireClaim is the value of a claim object.
type wireClaim struct {
	Order   string
	Process string
	Attempt string
}

// ClaimOrder executes effect.ClaimOrder.
func (c *Client) ClaimOrder(e effect.ClaimOrder) {
	failed := event.OrderClaimFinished{Attempt: e.Attempt, Result: fleet.ClaimFailed}
	c.start(0, failed, func(ctx context.Context) event.Body {
		ctx, cancel := context.WithTimeout(ctx, claimTimeout)
		defer cancel()
		result, epoch := c.claim(ctx, e)
		return event.OrderClaimFinished{Attempt: e.Attempt, Result: result, Epoch: epoch}
	})
}

// ReleaseOrderClaim executes effect.ReleaseOrderClaim. A claim whose release fails stays on the platform, and other nodes
// refuse the order.
func (c *Client) ReleaseOrderClaim(e effect.ReleaseOrderClaim) {
	c.start(0, nil, func(context.Context) event.Body {
		found, claim, err := c.readClaim(c.ctx, e.ClaimName)
		if err != nil || found.Version == 0 || claim.Attempt != string(e.Attempt) {
			return nil
		}
		if _, err := c.store.Delete(c.ctx, claimKey(e.ClaimName), IfUnchanged(found)); err != nil {
			c.observe(effect.WriteLog{Level: effect.Warn, Component: "orders", Message: "claim not released", Fields: []effect.LogField{
				{Name: "Error", Value: err.Error()},
			}})
		}
		return nil
	})
}

// claim creates the claim object, or replaces one that this process created for an attempt that did not run. After a lost
// response the object is read back before it is written again. The epoch is that of a created claim.
func (c *Client) claim(ctx context.Context, e effect.ClaimOrder) (fleet.ClaimResult, fleet.Epoch) {
	value, _ := json.Marshal(wireClaim{Order: e.ClaimName, Process: c.processID, Attempt: string(e.Attempt)})
	var known Object
	for range maxClaimTries {
		epoch, err := c.store.Put(ctx, claimKey(e.ClaimName), value, IfUnchanged(known))
		if err == nil {
			return fleet.ClaimCreated, epoch
		}
		if !needsReadBack(err) {
			return fleet.ClaimFailed, 0
		}
		found, claim, readErr := c.readClaim(ctx, e.ClaimName)
		switch {
		case readErr != nil && errors.Is(err, ErrConflict):
			// The object exists, but its owner cannot be read, so the order must not run.
			return fleet.ClaimExists, 0
		case readErr != nil:
			return fleet.ClaimFailed, 0
		case found.Version != 0 && claim.Attempt == string(e.Attempt):
			return fleet.ClaimCreated, found.Epoch
		case found.Version != 0 && claim.Process != c.processID:
			return fleet.ClaimExists, 0
		}
		known = found
	}
	return fleet.ClaimFailed, 0
}

// needsReadBack reports whether the object must be read to learn its value after a write failed with err.
func needsReadBack(err error) bool { return errors.Is(err, ErrConflict) || outcomeUnknown(err) }

// readClaim reads a claim object. One that does not decode is returned as a claim without an owner, so that the order is refused.
func (c *Client) readClaim(ctx context.Context, name string) (Object, wireClaim, error) {
	found, err := c.store.Get(ctx, claimKey(name))
	if err != nil || found.Version == 0 {
		return Object{}, wireClaim{}, err
	}
	var claim wireClaim
	if err := json.Unmarshal(found.Value, &claim); err != nil {
		c.observe(effect.WriteLog{Level: effect.Error, Component: "orders", Message: "claim does not decode", Fields: []effect.LogField{
			{Name: "Error", Value: err.Error()},
		}})
		return found, wireClaim{}, nil
	}
	return found, claim, nil
}

func claimKey(name string) string {
	sum := sha256.Sum256([]byte(name))
	return claimPrefix + hex.EncodeToString(sum[:])
}
