package usage

import (
	"time"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/fleet"
	"jayfold.dev/jayfold/internal/core/message"
)

const (
	// minRefusal and maxRefusal bound the time for which a node refuses requests of an account without asking again.
	minRefusal = 50 * time.Millisecond
	maxRefusal = 400 * time.Millisecond
	// retryAfterSpread is the range over which callers of an account over its limit are asked to spread their retries.
	retryAfterSpread = 4 * time.Second
)

// serve gives the tokens of an account to those that wait for them, and asks for more or refuses those that remain.
func (s State) serve(ctx Context, name fleet.AccountName, a account) (State, Result) {
	limit, limited := ctx.limit(name)
	if !limited {
		return s.withAccount(name, a), Result{}
	}
	i := shardOf(name)
	source := s.source(ctx.Now, i)
	top := source.node == "" && s.ready(ctx.Now, i)
	if top {
		a.bucket = a.bucket.refilled(ctx.Now, limit, s.shards[i].weights).indebted(ctx.Now, limit, s.shards[i].weight(), a.debt)
	}
	var result Result
	a.rate = limit.Rate
	for len(a.waiters) > 0 {
		var b batch
		if a, b = a.take(ctx.Now, a.waiters[0].tokens); b.tokens == 0 && top {
			a, b = a.draw(ctx.Now, limit, *s.shards[i], a.waiters[0].tokens)
		}
		if b.tokens == 0 {
			break
		}
		owed := a.debtAt(ctx.Now, limit, s.shards[i].weight(), top)
		s, result = s.grant(ctx, result, name, a.waiters[0], b, int(owed))
		a.waiters = a.waiters[1:]
		if top {
			s = s.withIndebted(name, owed, limit.Rate)
		}
	}
	if len(a.waiters) == 0 {
		return s.withAccount(name, a), result
	}
	switch {
	case ctx.Now.Before(a.refusedUntil):
		return s.refuseAll(ctx, result, name, a, a.refusedUntil.Sub(ctx.Now))
	case source.node == "" && (!top || s.settling(ctx.Now, i)):
	case top:
		for _, w := range a.waiters {
			a.bucket.requested = a.bucket.requested.with(ctx.Now, w.tokens)
		}
		a = a.withDebt(ctx.Now, limit.Rate, int(a.debtAt(ctx.Now, limit, s.shards[i].weight(), top)))
		return s.refuseAll(ctx, result, name, a, refusalTime(ctx, a.bucket.untilNext(limit, s.shards[i].weight())))
	case !ctx.Now.Before(a.askAfter) && (a.ask.number == 0 || ctx.Now.Sub(a.ask.sent) >= askAgain):
		return s.sendAsk(ctx, result, source, name, a)
	}
	return s.withAccount(name, a), result
}

// ready reports whether this node may grant tokens as the allocator of the fleet. A node that has just started knows few members
// and would take its share for a large one.
func (s State) ready(now time.Time, i int) bool {
	return now.Sub(s.view.started) >= startDelay || s.shards[i].members(0) > s.view.members
}

// settling reports whether leases to this node may still be on their way.
func (s State) settling(now time.Time, i int) bool {
	return s.view.members > 1 && now.Sub(s.shards[i].topSince) < settleDelay
}

// refusalTime returns the time for which an account without tokens is refused: until the next token, with a random factor of 0.75 to
// 1.25, so that nodes do not ask at the same time.
func refusalTime(ctx Context, untilNext time.Duration) time.Duration {
	wait := max(minRefusal, untilNext)
	return wait*3/4 + time.Duration(ctx.Random%uint64(wait/2))
}

// grant admits a request, or sends tokens to a peer.
func (s State) grant(ctx Context, result Result, name fleet.AccountName, w waiter, b batch, owed int) (State, Result) {
	if w.local != nil {
		result.Admitted = append(result.Admitted, *w.local)
		s.spent = s.spent.With(w.local.Request.ID, spentToken{account: name, expires: b.expires})
		return s.withoutWaiting(w.local.Request.ID), result
	}
	result.Effects = append(result.Effects, reply(ctx, w, shardOf(name), message.UsageGrant{
		Account: name, Tokens: b.tokens, Lifetime: b.expires.Sub(ctx.Now), Debt: owed,
	}))
	return s, result
}

// refuseAll refuses all that wait for tokens of an account that has reached its rate limit.
func (s State) refuseAll(ctx Context, result Result, name fleet.AccountName, a account, wait time.Duration) (State, Result) {
	refusal := message.UsageGrant{Account: name, RefusedFor: wait, Debt: int(a.debt.at(ctx.Now, a.rate))}
	for i, w := range a.waiters {
		if w.local == nil {
			result.Effects = append(result.Effects, reply(ctx, w, shardOf(name), refusal))
			continue
		}
		random := (ctx.Random + uint64(i)) * 0x9e3779b97f4a7c15 >> 1
		problem := fleet.NewProblem(fleet.OverCap, fleet.NotRun, "the account has reached its rate limit").
			WithRetryAfter(time.Second + time.Duration(random%uint64(retryAfterSpread)))
		s, result = s.refuse(result, w, problem)
		s, a = s.withRefusal(ctx, a, name)
	}
	a.waiters = nil
	return s.withAccount(name, a), result
}

// refuse refuses a waiting request.
func (s State) refuse(result Result, w waiter, problem fleet.Problem) (State, Result) {
	result.Refused = append(result.Refused, Refusal{Waiting: *w.local, Problem: problem})
	return s.withoutWaiting(w.local.Request.ID), result
}

// sendAsk asks a node for the tokens that are missing, and some in advance.
func (s State) sendAsk(ctx Context, result Result, source upstream, name fleet.AccountName, a account) (State, Result) {
	missing := 0
	for _, w := range a.waiters {
		missing += w.tokens
	}
	i := shardOf(name)
	sh := *s.shards[i]
	if !sh.mayAsk(s.number) {
		sh.pending = sh.pending.With(name)
		return s.withShard(i, sh).withAccount(name, a), result
	}
	s = s.withShard(i, sh.withAsk(ctx.Now, s.number))
	want := message.UsageWant{Account: name, Tokens: missing + a.demand.advance(ctx.Now), Debt: int(a.debt.at(ctx.Now, a.rate))}
	s.counts.asked++
	a.ask = a.ask.again(ask{number: s.number, to: source.node, sent: ctx.Now, first: ctx.Now})
	s, request := s.request(ctx, i, source, []message.UsageWant{want})
	result.Effects = append(result.Effects, request)
	return s.withAccount(name, a), result
}

// request returns a message to a node about a shard. If the node is the upstream, the message renews the lease if possible.
func (s State) request(ctx Context, i int, to upstream, wants []message.UsageWant) (State, effect.Effect) {
	up, sh := s.view.upstream[i], *s.shards[i]
	if to.node != up.node {
		return s, effect.SendMessage{To: to.node, Address: to.address, Message: message.UsageRequest{
			Shard: i, Number: s.number, Members: sh.members(s.view.members), Wants: wants,
		}}
	}
	m := message.UsageRequest{Shard: i, Number: s.number, Stamp: sh.contact.stamp, Members: sh.members(s.view.members), Wants: wants}
	if shares, duration := sh.leasable(ctx.Now); shares > 0 {
		m.Shares, m.Duration = shares, duration
		sh = sh.withLeased(ctx.Now, up, shares, duration)
	}
	sh.contact.sent = ctx.Now
	if sh.contact.unanswered.IsZero() {
		sh.contact.unanswered = ctx.Now
	}
	return s.withShard(i, sh), effect.SendMessage{To: up.node, Address: up.address, Message: m}
}

// reply returns the reply to a peer that asked for tokens.
func reply(ctx Context, w waiter, shard int, grants ...message.UsageGrant) effect.Effect {
	return effect.SendMessage{To: w.peer, Address: w.address, Message: message.UsageReply{
		Shard: shard, Number: w.number, Stamp: ctx.Now.UnixNano(), Grants: grants,
	}}
}

// merged returns the result with one message for all that is sent to a node about a shard.
func (r Result) merged() Result {
	if len(r.Effects) < 2 {
		return r
	}
	type key struct {
		to     fleet.NodeID
		shard  int
		number uint64
		reply  bool
	}
	at := make(map[key]int)
	merged := r.Effects[:0:0]
	for _, e := range r.Effects {
		send, isMessage := e.(effect.SendMessage)
		if !isMessage {
			merged = append(merged, e)
			continue
		}
		k := key{to: send.To}
		request, isRequest := send.Message.(message.UsageRequest)
		response, _ := send.Message.(message.UsageReply)
		if k.shard, k.number = request.Shard, request.Number; !isRequest {
			k.shard, k.number, k.reply = response.Shard, response.Number, true
		}
		j, found := at[k]
		if !found {
			at[k] = len(merged)
			merged = append(merged, e)
			continue
		}
		first := merged[j].(effect.SendMessage)
		if isRequest {
			request.Wants = append(first.Message.(message.UsageRequest).Wants, request.Wants...)
			first.Message = request
		} else {
			response.Grants = append(first.Message.(message.UsageReply).Grants, response.Grants...)
			first.Message = response
		}
		merged[j] = first
	}
	r.Effects = merged
	return r
}
