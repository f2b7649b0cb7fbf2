package usage

import (
	"time"

	"jayfold.dev/jayfold/internal/core/fleet"
	"jayfold.dev/jayfold/internal/core/message"
)

// TablesChanged applies the rate limits of new tables. Requests of accounts that no longer exist are refused.
func (s State) TablesChanged(ctx Context) (State, Result) {
	if s.active = anyLimited(ctx.Accounts); !s.active {
		s.spent = fleet.HashMap[fleet.RequestID, spentToken]{}
	}
	s = s.prepared(ctx)
	var result Result
	for name, a := range s.accounts.All() {
		limit, limited := ctx.limit(name)
		if limited {
			if limit.Rate < a.rate {
				changed := *a
				changed.tokens = nil
				s = s.withAccount(name, changed)
			}
			continue
		}
		_, exists := ctx.Accounts.Get(name)
		s, result = s.dropAccount(ctx, result, name, exists || ctx.Accounts.Len() == 0)
	}
	return s.finished(result)
}

func anyLimited(accounts fleet.Map[fleet.AccountName, fleet.Account]) bool {
	for _, a := range accounts.All() {
		if a.Rate > 0 {
			return true
		}
	}
	return false
}

// dropAccount ends the wait of all requests of an account that no longer has a rate limit.
func (s State) dropAccount(ctx Context, result Result, name fleet.AccountName, admit bool) (State, Result) {
	for _, w := range s.account(name).waiters {
		switch {
		case w.local == nil:
			result.Effects = append(result.Effects, reply(ctx, w, shardOf(name), message.UsageGrant{Account: name}))
		case admit:
			result.Admitted = append(result.Admitted, *w.local)
			s = s.withoutWaiting(w.local.Request.ID)
		default:
			s, result = s.refuse(result, w, fleet.NewProblem(fleet.Unauthorized, fleet.NotRun, "the account no longer exists"))
		}
	}
	s.accounts, s.busy = s.accounts.Without(name), s.busy.Without(name)
	return s, result
}

// Tick renews leases, replaces allocators that do not reply and ends the wait of requests that have waited for too long.
func (s State) Tick(ctx Context) (State, Result) {
	if !s.active {
		return s, Result{}
	}
	s = s.prepared(ctx)
	if ctx.Now.Sub(s.view.built) >= viewInterval {
		s = s.withView(ctx)
	}
	var result, more Result
	for i := range shardCount {
		s, more = s.tickShard(ctx, i)
		result = result.with(more)
	}
	for name := range s.busy.All() {
		s, more = s.tickAccount(ctx, name)
		result = result.with(more)
	}
	s, counted := s.countEffects(ctx.Now)
	result.Effects = append(result.Effects, counted...)
	return s.withoutIdle(ctx.Now).withoutExpired(ctx.Now).finished(result)
}

// tickShard renews the lease of a shard if it is due.
func (s State) tickShard(ctx Context, i int) (State, Result) {
	isLost := func(a askMessage) bool { return ctx.Now.Sub(a.sent) >= askAgain }
	s = s.withShard(i, s.shards[i].withoutAsks(isLost))
	s, pending := s.servePending(ctx, i)
	contact := s.shards[i].contact
	if contact.node != "" && !contact.unanswered.IsZero() && ctx.Now.Sub(contact.unanswered) >= leaseReplyTimeout {
		s = s.withAvoided(ctx, contact.node)
	}
	if s.isTop(i) || !s.shards[i].renewalDue(ctx.Now) {
		return s, pending
	}
	s, renewal := s.renew(ctx, i)
	return s, pending.with(renewal)
}

// tickAccount ends waits that have lasted for too long, and serves the rest.
func (s State) tickAccount(ctx Context, name fleet.AccountName) (State, Result) {
	a := s.account(name)
	var result Result
	var remaining []waiter
	for _, w := range a.waiters {
		switch {
		case ctx.Now.Before(w.until):
			remaining = append(remaining, w)
		case w.local == nil:
			result.Effects = append(result.Effects, reply(ctx, w, shardOf(name), message.UsageGrant{Account: name}))
		default:
			s, result = s.refuse(result, w, fleet.NewProblem(fleet.Overloaded, fleet.NotRun,
				"no node has confirmed in time that the account is within its rate limit").WithRetryAfter(time.Second))
		}
	}
	a.waiters = remaining
	if a.ask.number != 0 && ctx.Now.Sub(a.ask.first) >= replyTimeout {
		// A node that has replied to a later message is slow or a message was lost.
		contact := s.shards[shardOf(name)].contact
		hasReplied := contact.node == a.ask.to && contact.stampAt.After(a.ask.first)
		if a.ask.to == s.source(ctx.Now, shardOf(name)).node && !hasReplied {
			s = s.withAvoided(ctx, a.ask.to)
		}
		a.ask = ask{}
	}
	s, more := s.serve(ctx, name, a)
	return s, result.with(more)
}

// withoutIdle drops the state of some of the accounts that were not used for a while.
func (s State) withoutIdle(now time.Time) State {
	checked := 0
	next := fleet.AccountName("")
	for name, a := range s.accounts.From(s.idleCursor) {
		if checked++; checked > idlePerTick {
			next = name
			break
		}
		if now.Sub(a.touched) >= idleDuration && !s.busy.Has(name) {
			s.accounts = s.accounts.Without(name)
		}
	}
	s.idleCursor = next
	return s
}

// MessageReceived handles a message about usage.
func (s State) MessageReceived(ctx Context, envelope message.Envelope) (State, Result) {
	s = s.prepared(ctx)
	var result Result
	switch m := envelope.Message.(type) {
	case message.UsageRequest:
		s, result = s.requestReceived(ctx, envelope, m)
	case message.UsageReply:
		s, result = s.replyReceived(ctx, envelope.From, m)
	}
	return s.finished(result)
}

// requestReceived records the lease in a request and serves the accounts that it names.
func (s State) requestReceived(ctx Context, envelope message.Envelope, m message.UsageRequest) (State, Result) {
	if m.Shard >= shardCount || envelope.From == s.self {
		return s, Result{}
	}
	s = s.withPromotion(ctx, envelope.From, m.Shard)
	isSource := s.source(ctx.Now, m.Shard).node == envelope.From
	asker := waiter{peer: envelope.From, address: envelope.Address, number: m.Number, until: ctx.Now.Add(relayLimit)}
	usable := m.Duration - time.Duration(driftMargin*float64(m.Duration))
	stamp := time.Unix(0, m.Stamp)
	if ends := stamp.Add(usable); !isSource && m.Stamp > 0 && m.Shares > 0 && !stamp.After(ctx.Now) && ends.After(ctx.Now) {
		sh := s.shards[m.Shard].withLease(lease{node: envelope.From, shares: m.Shares, ends: ends, members: m.Members})
		s = s.withShard(m.Shard, sh.withWeight(ctx.Now, s.view.members))
	}
	var result, more Result
	s, told := s.debts(ctx, m.Shard, m.Wants)
	if len(m.Wants) == 0 || m.Shares > 0 && len(told) > 0 {
		result.Effects = append(result.Effects, reply(ctx, asker, m.Shard, told...))
	}
	for _, want := range m.Wants {
		limit, limited := ctx.limit(want.Account)
		if !limited || isSource || shardOf(want.Account) != m.Shard || want.Tokens == 0 {
			result.Effects = append(result.Effects, reply(ctx, asker, m.Shard, message.UsageGrant{Account: want.Account}))
			continue
		}
		asker.tokens = want.Tokens
		a := s.account(want.Account).withDemand(ctx.Now, want.Tokens).withDebt(ctx.Now, limit.Rate, want.Debt).withWaiter(asker)
		s, more = s.serve(ctx, want.Account, a)
		result = result.with(more)
	}
	return s, result
}

// replyReceived records the stamp of the upstream, and serves the accounts that the reply names.
func (s State) replyReceived(ctx Context, from fleet.NodeID, m message.UsageReply) (State, Result) {
	if m.Shard >= shardCount {
		return s, Result{}
	}
	var result, more Result
	if sh := *s.shards[m.Shard]; sh.contact.node == from {
		sh.contact.stamp, sh.contact.stampAt, sh.contact.unanswered = m.Stamp, ctx.Now, time.Time{}
		s = s.withShard(m.Shard, sh)
		if shares, _ := sh.leasable(ctx.Now); shares > 0 && !sh.leased(ctx.Now) {
			s, more = s.renew(ctx, m.Shard)
			result = result.with(more)
		}
	}
	for _, g := range m.Grants {
		limit, limited := ctx.limit(g.Account)
		if !limited {
			continue
		}
		a := s.account(g.Account).withDebt(ctx.Now, limit.Rate, g.Debt)
		if g.Debt > 0 {
			s = s.withAccount(g.Account, a)
		}
		if !a.ask.matches(from, m.Number) {
			continue
		}
		s, more = s.serve(ctx, g.Account, a.withReply(ctx.Now, g))
		result = result.with(more)
	}
	s = s.withShard(m.Shard, s.shards[m.Shard].withoutAsks(func(a askMessage) bool { return a.number == m.Number }))
	s, more = s.servePending(ctx, m.Shard)
	return s, result.with(more)
}

// servePending serves the accounts whose requests for tokens had to wait.
func (s State) servePending(ctx Context, i int) (State, Result) {
	sh := *s.shards[i]
	pending := sh.pending
	if pending.Len() == 0 || !sh.mayAsk(s.number) {
		return s, Result{}
	}
	sh.pending = fleet.Set[fleet.AccountName]{}
	s = s.withShard(i, sh)
	var result, more Result
	for name := range pending.All() {
		s, more = s.serve(ctx, name, s.account(name))
		result = result.with(more)
	}
	return s, result
}

// renew sends a lease to the upstream of a shard.
func (s State) renew(ctx Context, i int) (State, Result) {
	s, request := s.request(ctx, i, s.view.upstream[i], nil)
	return s, Result{Effects: append(Result{}.Effects, request)}
}

// withReply returns the account after the reply to its request for tokens.
func (a account) withReply(now time.Time, g message.UsageGrant) account {
	switch {
	case g.Tokens > 0:
		a = a.withTokens(now, batch{tokens: g.Tokens, expires: a.ask.first.Add(min(g.Lifetime, tokenLifetime))})
	case g.RefusedFor > 0:
		a.refusedUntil = now.Add(min(g.RefusedFor, 2*maxRefusal))
	default:
		a.askAfter = now.Add(retryDelay)
	}
	a.ask = ask{}
	return a
}

// MessageSendFailed replaces an allocator that cannot be reached.
func (s State) MessageSendFailed(ctx Context, to fleet.NodeID) (State, Result) {
	if !s.active {
		return s, Result{}
	}
	s = s.prepared(ctx)
	known := false
	for i, up := range s.view.upstream {
		known = known || up.node == to || s.source(ctx.Now, i).node == to
	}
	if !known {
		return s, Result{}
	}
	s = s.withAvoided(ctx, to)
	var result, more Result
	for name := range s.busy.All() {
		a := s.account(name)
		if a.ask.to == to {
			a.ask = ask{}
		}
		s, more = s.serve(ctx, name, a)
		result = result.with(more)
	}
	return s.finished(result)
}
