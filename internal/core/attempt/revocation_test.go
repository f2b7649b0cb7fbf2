package attempt

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"jayfold.dev/jayfold/internal/core/accounts"
	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/fleet"
)

// indexWith returns the index of one account with the given key.
func indexWith(key string) accounts.Index {
	var tables fleet.Tables
	tables.Accounts = tables.Accounts.With("acme", fleet.Account{Name: "acme", Keys: []fleet.KeyHash{fleet.HashKey(key)}})
	return accounts.New(tables)
}

// arriveWithKey sends a request that was accepted for the account acme.
func (h *harness) arriveWithKey(idempotent bool) []effect.Effect {
	h.ctx.Accounts = indexWith("key")
	h.nextRandom()
	route := fleet.Route{Pool: "p", Class: fleet.Lookup, Deadline: 2 * time.Second}
	if !idempotent {
		route.Class = fleet.Order
	}
	request := fleet.Request{ID: "r", Account: "acme", Credential: fleet.NewCredential([]string{"key"})}
	var effects []effect.Effect
	h.state, effects = h.state.RequestArrived(h.ctx, request, route, idempotent)
	return effects
}

// assertCounted checks that a request was counted as refused for a revoked key.
func assertCounted(t *testing.T, effects []effect.Effect) {
	t.Helper()
	for _, e := range effects {
		if count, ok := e.(effect.AddToCounter); ok && count.Name == "account_refusals" {
			is.New(t).Equal(count.Labels[0].Value, string(accounts.KeyRevoked))
			return
		}
	}
	t.Error("the refusal was not counted")
}

// TestRevokedKey guards against a request that starts after its key was revoked, and against a refusal that says that a request has not
// run although it may have.
func TestRevokedKey(t *testing.T) {
	t.Run("the attempt carries the account", func(t *testing.T) {
		is.New(t).Equal(assertForwarded(t, newHarness().arriveWithKey(true)).Account, fleet.AccountName("acme"))
	})
	t.Run("a retry of a request that has not run", func(t *testing.T) {
		h := newHarness()
		a := assertForwarded(t, h.arriveWithKey(true))
		h.ctx.Accounts = indexWith("new")
		effects := h.fail(a, fleet.Unreachable, fleet.NotRun)
		assertRefused(t, effects, fleet.Unauthorized, fleet.NotRun)
		assertCounted(t, effects)
	})
	t.Run("a retry after refusals by full targets", func(t *testing.T) {
		h := newHarness()
		a := assertForwarded(t, h.arriveWithKey(true))
		h.ctx.Accounts = indexWith("new")
		assertRefused(t, h.refuseAsFull(a, time.Millisecond), fleet.Unauthorized, fleet.NotRun)
	})
	t.Run("a retry of a request that may have run", func(t *testing.T) {
		h := newHarness()
		a := assertForwarded(t, h.arriveWithKey(true))
		h.ctx.Accounts = indexWith("new")
		assertRefused(t, h.fail(a, fleet.Broken, fleet.MayHaveRun), fleet.Broken, fleet.MayHaveRun)
	})
	t.Run("a retry with a key that is still valid", func(t *testing.T) {
		h := newHarness()
		a := assertForwarded(t, h.arriveWithKey(true))
		assertForwarded(t, h.fail(a, fleet.Unreachable, fleet.NotRun))
	})
	t.Run("a deferred request", func(t *testing.T) {
		h := newHarness()
		directory := h.ctx.Directory
		h.ctx.Directory, h.ctx.JustStarted = fleet.Directory{}, true
		is.New(t).Equal(len(h.arriveWithKey(true)), 0)
		h.ctx.Directory, h.ctx.Accounts = directory, indexWith("new")
		assertRefused(t, h.tick(deferInterval), fleet.Unauthorized, fleet.NotRun)
	})
	t.Run("a response that is ready is delivered", func(t *testing.T) {
		h := newHarness()
		a := assertForwarded(t, h.arriveWithKey(true))
		h.ctx.Accounts = indexWith("new")
		assertRelayed(t, h.succeed(a), a.ID)
	})
	t.Run("a slow attempt is not hedged", func(t *testing.T) {
		h := newHarness()
		assertForwarded(t, h.arriveWithKey(true))
		h.ctx.Accounts = indexWith("new")
		for _, e := range h.tick(time.Second) {
			_, forwarded := e.(effect.ForwardAttempt)
			is.New(t).True(!forwarded)
		}
	})
}

// TestRemoveCredentials guards against API keys that reach a target, and against headers that are removed although the tables have no
// accounts.
func TestRemoveCredentials(t *testing.T) {
	removed := func(effects []effect.Effect) bool {
		return effects[len(effects)-1].(effect.ForwardAttempt).RemoveCredentials
	}
	t.Run("tables with accounts", func(t *testing.T) { is.New(t).True(removed(newHarness().arriveWithKey(true))) })
	t.Run("tables without accounts", func(t *testing.T) { is.New(t).True(!removed(newHarness().arrive(true, ""))) })
	t.Run("accounts come into force before the retry", func(t *testing.T) {
		h := newHarness()
		a := assertForwarded(t, h.arrive(true, ""))
		h.ctx.Accounts = indexWith("new")
		is.New(t).True(removed(h.fail(a, fleet.Unreachable, fleet.NotRun)))
	})
	t.Run("accounts are removed before the retry", func(t *testing.T) {
		h := newHarness()
		a := assertForwarded(t, h.arriveWithKey(true))
		h.ctx.Accounts = accounts.Index{}
		is.New(t).True(removed(h.fail(a, fleet.Unreachable, fleet.NotRun)))
	})
}
