package message

import (
	"time"

	"jayfold.dev/jayfold/internal/core/fleet"
)

// UsageRequest asks an allocator for tokens of rate-limited accounts, and leases it the sender's shares of their rate limits.
type UsageRequest struct {
	// Shard is the shard of accounts that the lease and the accounts belong to.
	Shard int
	// Number distinguishes the requests of one sender.
	Number uint64
	// Stamp is that of the last UsageReply of the receiver; 0 if there is none, and the message then contains no lease.
	Stamp int64
	// Shares is the number of nodes whose shares are leased, until Duration after Stamp by the receiver's clock.
	Shares   int
	Duration time.Duration
	// Members is the number of nodes among which each rate limit is divided, as the sender knows it.
	Members int
	Wants   []UsageWant
}

// UsageWant asks for tokens of one account.
type UsageWant struct {
	Account fleet.AccountName
	Tokens  int
	// Debt is the debt of the account in the fleet, as far as the sender knows it.
	Debt int
}

// UsageReply is the reply to a UsageRequest. Tokens of an account that was asked for may follow in a second reply with the same
// number.
type UsageReply struct {
	Shard  int
	Number uint64
	// Stamp is the sender's clock, which the receiver returns with its next request.
	Stamp  int64
	Grants []UsageGrant
}

// UsageGrant tells how many tokens of an account its asker gets. The first reply to a lease also tells the debts of accounts that were
// not asked for.
type UsageGrant struct {
	Account fleet.AccountName
	Tokens  int
	// Lifetime is the time within which the tokens may be used, counted from when the asker sent its request.
	Lifetime time.Duration
	// RefusedFor is the time for which the account has no tokens, because it has reached its rate limit; 0 if this is not known.
	RefusedFor time.Duration
	// Debt is the number of tokens that the account has used before they were due, in the whole fleet.
	Debt int
}

func (UsageRequest) isMessage() {}
func (UsageReply) isMessage()   {}
