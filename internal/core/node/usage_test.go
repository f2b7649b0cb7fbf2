package node

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"jayfold.dev/jayfold/internal/core/accounts"
	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/event"
	"jayfold.dev/jayfold/internal/core/fleet"
	"jayfold.dev/jayfold/internal/core/message"
	"jayfold.dev/jayfold/internal/core/routing"
)

// limitedTables returns the tables of a fleet with the given accounts.
func limitedTables(revision fleet.Revision, accounts ...fleet.Account) fleet.Tables {
	tables := designTables().WithRevision(revision)
	for _, a := range accounts {
		a.Keys = []fleet.KeyHash{fleet.HashKey(string(a.Name))}
		tables.Accounts = tables.Accounts.With(a.Name, a)
	}
	return tables
}

// limitedNode returns a node in a fleet of the design size, or alone in its fleet, with an account "a" of rate 2 and burst 4.
func limitedNode(alone bool) *runner {
	r := designFleet()
	if alone {
		r = &runner{state: New(fleet.Member{Node: "node-000"}, DefaultSettings()), now: r.now}
	}
	r.useTables(limitedTables(2, fleet.Account{Name: "a", Rate: 2, Burst: 4}, fleet.Account{Name: "unlimited"}))
	for range 30 {
		r.now = r.now.Add(tickInterval)
		r.reduce(event.Tick{})
	}
	return r
}

func (r *runner) useTables(tables fleet.Tables) []effect.Effect {
	return r.reduce(event.TablesDecoded{Tables: tables, Router: routing.New(tables), Accounts: accounts.New(tables)})
}

func limitedArrival(id fleet.RequestID) event.RequestArrived {
	arrived := arrival(id, designPath(1))
	arrived.Request.Credential = fleet.Credential{Kind: fleet.KeyCredential, Hash: fleet.HashKey("a")}
	return arrived
}

// causesOf returns the causes for which requests are refused.
func causesOf(effects []effect.Effect) []fleet.Cause {
	var causes []fleet.Cause
	for _, e := range effects {
		if refusal, ok := e.(effect.RefuseRequest); ok {
			causes = append(causes, refusal.Problem.Cause)
		}
	}
	return causes
}

// usageRequests returns the requests for tokens among the effects.
func usageRequests(effects []effect.Effect) []effect.SendMessage {
	var sent []effect.SendMessage
	for _, e := range effects {
		if send, ok := e.(effect.SendMessage); ok {
			if m, isRequest := send.Message.(message.UsageRequest); isRequest && len(m.Wants) > 0 {
				sent = append(sent, send)
			}
		}
	}
	return sent
}

func (r *runner) tickFor(d time.Duration) []effect.Effect {
	var effects []effect.Effect
	for end := r.now.Add(d); r.now.Before(end); {
		r.now = r.now.Add(tickInterval)
		effects = append(effects, r.reduce(event.Tick{})...)
	}
	return effects
}

// TestRequestOverTheLimitIsRefused guards against a rate limit that has no effect, and against one that applies to requests of
// another account.
func TestRequestOverTheLimitIsRefused(t *testing.T) {
	is := is.New(t)
	r := limitedNode(true)
	counts := map[fleet.Cause]int{}
	for i := range 40 {
		for _, cause := range causesOf(r.reduce(limitedArrival(fleet.RequestID(fmt.Sprint(i))))) {
			counts[cause]++
		}
	}
	is.Equal(counts[fleet.OverCap], 40-2*5-4-4) // the window's limit and the four extra tokens
	is.Equal(r.state.attempts.InFlight(), 2*5+4+4)
	unlimited := limitedArrival("r")
	unlimited.Request.Credential.Hash = fleet.HashKey("unlimited")
	is.Equal(causesOf(r.reduce(unlimited)), nil)
}

// TestRequestWaitsForAToken guards against a request that starts without a token, is not started when its token arrives, or is
// lost if none arrives.
func TestRequestWaitsForAToken(t *testing.T) {
	start := func(t *testing.T) (*runner, effect.SendMessage) {
		r := limitedNode(false)
		sent := usageRequests(r.reduce(limitedArrival("r1")))
		is.New(t).Equal(len(sent), 1)
		is.New(t).Equal(r.state.Status(r.now).InFlight, 1)
		return r, sent[0]
	}
	t.Run("the token arrives", func(t *testing.T) {
		is := is.New(t)
		r, sent := start(t)
		r.now = r.now.Add(3 * time.Millisecond)
		asked := sent.Message.(message.UsageRequest)
		effects := r.reduce(event.MessageReceived{Envelope: message.Envelope{From: sent.To, Incarnation: 1, Message: message.UsageReply{
			Shard: asked.Shard, Number: asked.Number, Stamp: r.now.UnixNano(),
			Grants: []message.UsageGrant{{Account: "a", Tokens: 1, Lifetime: time.Second}},
		}}})
		forwarded := 0
		for _, e := range effects {
			if f, ok := e.(effect.ForwardAttempt); ok {
				forwarded++
				is.Equal(f.Attempt.Deadline, r.now.Add(-3*time.Millisecond).Add(time.Second)) // counted from the arrival
			}
		}
		is.Equal(forwarded, 1)
		is.Equal(r.state.usage.Waiting(), 0)
	})
	t.Run("no token arrives", func(t *testing.T) {
		r, _ := start(t)
		effects := r.tickFor(600 * time.Millisecond)
		is.New(t).Equal(causesOf(effects), []fleet.Cause{fleet.Overloaded})
		is.New(t).Equal(recordedMetrics(effects).requests, []string{"Overloaded pool-001 Lookup"})
	})
	t.Run("the caller leaves", func(t *testing.T) {
		r, _ := start(t)
		effects := r.reduce(event.RequestCanceled{Request: "r1"})
		is.New(t).Equal(recordedMetrics(effects).requests, []string{"Canceled pool-001 Lookup"})
		is.New(t).Equal(r.state.Status(r.now).InFlight, 0)
		is.New(t).Equal(causesOf(r.tickFor(600*time.Millisecond)), nil)
	})
	t.Run("the account is removed", func(t *testing.T) {
		r, _ := start(t)
		effects := r.useTables(limitedTables(3, fleet.Account{Name: "b", Rate: 1}))
		is.New(t).Equal(causesOf(effects), []fleet.Cause{fleet.Unauthorized})
	})
	t.Run("the rate limit is removed", func(t *testing.T) {
		r, _ := start(t)
		r.useTables(limitedTables(3, fleet.Account{Name: "a"}))
		is.New(t).Equal(r.state.usage.Waiting(), 0)
		is.New(t).Equal(r.state.attempts.InFlight(), 1)
	})
}

// TestNoMessagesWithoutARateLimit guards against messages of a deployment whose accounts have no rate limit.
func TestNoMessagesWithoutARateLimit(t *testing.T) {
	r := designFleet()
	r.useTables(limitedTables(2, fleet.Account{Name: "a"}))
	for _, e := range append(r.reduce(limitedArrival("r1")), r.tickFor(5*time.Second)...) {
		if send, ok := e.(effect.SendMessage); ok {
			_, isUsage := send.Message.(message.UsageRequest)
			is.New(t).True(!isUsage)
		}
	}
}
