package usage

import (
	"strconv"
	"testing"
	"time"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/fleet"
	"jayfold.dev/jayfold/internal/core/message"
)

// benchState returns a node of a fleet of 81 nodes after its start, with a context in which account "a" has a high limit. top selects
// the allocator of the fleet.
func benchState(top bool) (State, Context) {
	m := newModel(1, 81, 4, accountOf("a", 1e6))
	m.advance(settleTime)
	n := m.top(shardOf("a"))
	if !top {
		n = m.nodes[(n.index+1)%len(m.nodes)]
	}
	return n.state, Context{Now: m.now, Random: 1, Accounts: n.accounts, Members: n.members.All()}
}

// BenchmarkRequestAtAllocator measures a request that arrives at the allocator of the fleet.
func BenchmarkRequestAtAllocator(b *testing.B) {
	state, ctx := benchState(true)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		ctx.Now = ctx.Now.Add(time.Millisecond)
		state, _ = state.RequestArrived(ctx, fleet.Request{ID: fleet.RequestID(strconv.Itoa(i)), Account: "a"}, time.Second)
		if i%100 == 0 {
			state, _ = state.Tick(ctx)
		}
	}
}

// BenchmarkRequestAndReply measures a request that waits for its token, and the reply with it.
func BenchmarkRequestAndReply(b *testing.B) {
	state, ctx := benchState(false)
	request := fleet.Request{ID: "r", Account: "a"}
	b.ReportAllocs()
	for b.Loop() {
		ctx.Now = ctx.Now.Add(10 * time.Millisecond)
		next, result := state.RequestArrived(ctx, request, time.Second)
		for _, e := range result.Effects {
			send, ok := e.(effect.SendMessage)
			if !ok {
				continue
			}
			asked := send.Message.(message.UsageRequest)
			next, _ = next.MessageReceived(ctx, message.Envelope{From: send.To, Message: message.UsageReply{
				Shard: asked.Shard, Number: asked.Number, Stamp: ctx.Now.UnixNano(),
				Grants: []message.UsageGrant{{Account: "a", Tokens: 1, Lifetime: tokenLifetime}},
			}})
		}
		state = next
	}
}

// BenchmarkTick measures a tick without requests.
func BenchmarkTick(b *testing.B) {
	state, ctx := benchState(false)
	b.ReportAllocs()
	for b.Loop() {
		ctx.Now = ctx.Now.Add(100 * time.Millisecond)
		state, _ = state.Tick(ctx)
	}
}
