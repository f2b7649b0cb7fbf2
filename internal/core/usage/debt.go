package usage

import (
	"slices"
	"time"

	"jayfold.dev/jayfold/internal/core/fleet"
	"jayfold.dev/jayfold/internal/core/message"
)

const (
	// debtThreshold is the debt, in seconds of the rate, from which an allocator tells it to all that lease their shares to it.
	debtThreshold = 0.1
	// maxDebtsTold bounds the debts in one message.
	maxDebtsTold = 8
)

// debt is the number of tokens that an account has used before they were due, in the whole fleet, as this node knows it. A new
// allocator starts with it; otherwise an account could use the tokens of a window again whenever its allocator changes.
type debt struct {
	tokens float64
	known  time.Time
}

// at returns the debt at a time. It falls at the rate of the account.
func (d debt) at(now time.Time, rate float64) float64 {
	if d.tokens == 0 {
		return 0
	}
	return max(0, d.tokens-rate*now.Sub(d.known).Seconds())
}

// withDebt returns the account with a debt that another node has told, if it is higher than the known one.
func (a account) withDebt(now time.Time, rate float64, tokens int) account {
	if told := float64(tokens); told > a.debt.at(now, rate) {
		a.debt = debt{tokens: told, known: now}
		a.touched = now
	}
	return a
}

// indebted returns a refilled bucket that has at least the known debt.
func (b bucket) indebted(now time.Time, limit fleet.Account, weight float64, d debt) bucket {
	if known := d.at(now, limit.Rate); known > 0 {
		b.tokens = min(b.tokens, -known*weight)
	}
	return b
}

// debtAt returns the debt of an account in the whole fleet.
func (a account) debtAt(now time.Time, limit fleet.Account, weight float64, top bool) float64 {
	known := a.debt.at(now, limit.Rate)
	if !top || weight == 0 {
		return known
	}
	return max(known, -a.bucket.tokens/weight)
}

// withIndebted records whether the debt of an account is told to the nodes that lease shares to this one.
func (s State) withIndebted(name fleet.AccountName, tokens, rate float64) State {
	if is := tokens > debtThreshold*rate; is != s.indebted.Has(name) {
		if is {
			s.indebted = s.indebted.With(name)
		} else {
			s.indebted = s.indebted.Without(name)
		}
	}
	return s
}

// debts returns the debts of a shard that this node tells, and the state without the accounts that have none any more. Those of the
// accounts that are asked for are told with their tokens.
func (s State) debts(ctx Context, i int, asked []message.UsageWant) (State, []message.UsageGrant) {
	var told []message.UsageGrant
	for name := range s.indebted.All() {
		isAsked := slices.ContainsFunc(asked, func(w message.UsageWant) bool { return w.Account == name })
		if isAsked || shardOf(name) != i || len(told) == maxDebtsTold {
			continue
		}
		limit, limited := ctx.limit(name)
		a := s.account(name)
		if limited && len(s.shards[i].weights) > 0 {
			a.bucket = a.bucket.refilled(ctx.Now, limit, s.shards[i].weights)
		}
		tokens := a.debtAt(ctx.Now, limit, s.shards[i].weight(), limited)
		if s = s.withIndebted(name, tokens, limit.Rate); s.indebted.Has(name) {
			told = append(told, message.UsageGrant{Account: name, Debt: int(tokens)})
		}
	}
	return s, told
}
