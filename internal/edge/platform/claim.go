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
	// claimPrefix begins the keys of claims; the SHA-256 sum of the order's name follows, since a name may hold any
	// character.
	claimPrefix = "claims/"
	// claimTimeout bounds a claim with its read-back, because an order waits for it.
	claimTimeout = time.Second
	// claimTries bounds how often a claim is sent when its outcome stays unknown.
	claimTries = 2
)

// wireClaim is the value of a claim.
type wireClaim struct {
	// Owner is drawn at random by each process.
	Owner   string
	Attempt fleet.AttemptID
}

// ClaimOrder carries out the effect.
func (c *Client) ClaimOrder(e effect.ClaimOrder) {
	c.start(0, func(ctx context.Context) event.Body {
		ctx, cancel := context.WithTimeout(ctx, claimTimeout)
		defer cancel()
		claim := wireClaim{Owner: c.owner, Attempt: e.Attempt}
		return event.OrderClaimed{Attempt: e.Attempt, Result: c.claim(ctx, claimKey(e.Name), claim)}
	})
}

// claim creates the claim if there is none. When the outcome of the write is unknown it reads the claim back.
func (c *Client) claim(ctx context.Context, key string, claim wireClaim) fleet.ClaimResult {
	// The wire types have no value that JSON lacks.
	value, _ := json.Marshal(claim)
	for range claimTries {
		err := c.objects.put(ctx, key, value, unchanged(0))
		if err == nil {
			return fleet.ClaimCreated
		}
		if !unknown(err) && !errors.Is(err, errConflict) {
			return fleet.ClaimFailed
		}
		found, err := c.objects.get(ctx, key)
		if err != nil {
			return fleet.ClaimFailed
		}
		if found.version > 0 {
			return c.owned(found, claim)
		}
	}
	return fleet.ClaimFailed
}

// owned tells this process's own claim from another one. A claim that does not decode counts as another one.
func (c *Client) owned(found object, claim wireClaim) fleet.ClaimResult {
	var other wireClaim
	if err := json.Unmarshal(found.value, &other); err != nil {
		c.log.WithField("Key", found.key).WithError(err).Warn("platform: claim does not decode")
		return fleet.ClaimExists
	}
	if other == claim {
		return fleet.ClaimCreated
	}
	return fleet.ClaimExists
}

// ReleaseOrder carries out the effect. It deletes a claim only when this process made it: the release of an order that was
// canceled before its claim was answered must not delete the claim under which another node, or an earlier life of this
// one, ran the order. A claim that stays only makes the order's resend refused.
func (c *Client) ReleaseOrder(e effect.ReleaseOrder) {
	c.running.Go(func() {
		ctx, cancel := context.WithTimeout(c.ctx, callTimeout)
		defer cancel()
		key := claimKey(e.Name)
		found, err := c.objects.get(ctx, key)
		var claim wireClaim
		if err != nil || found.version == 0 || json.Unmarshal(found.value, &claim) != nil || claim.Owner != c.owner {
			return
		}
		if err := c.objects.remove(ctx, key, unchanged(found.version)); err != nil {
			c.log.WithField("Key", key).WithError(err).Warn("platform: claim not released")
		}
	})
}

func claimKey(name string) string {
	sum := sha256.Sum256([]byte(name))
	return claimPrefix + hex.EncodeToString(sum[:])
}
