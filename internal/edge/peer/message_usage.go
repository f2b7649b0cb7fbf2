package peer

import (
	"errors"
	"time"

	"jayfold.dev/jayfold/internal/core/fleet"
	"jayfold.dev/jayfold/internal/core/message"
)

// wireUsageRequest and wireUsageReply are encoded as arrays, because they are the most frequent messages between nodes.
type wireUsageRequest struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack through reflection

	Shard    int
	Number   uint64
	Stamp    int64
	Shares   int
	Duration time.Duration
	Members  int
	Wants    []wireUsageWant
}

type wireUsageWant struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack through reflection

	Account string
	Tokens  int
	Debt    int
}

type wireUsageReply struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack through reflection

	Shard  int
	Number uint64
	Stamp  int64
	Grants []wireUsageGrant
}

type wireUsageGrant struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack through reflection

	Account    string
	Tokens     int
	Lifetime   time.Duration
	RefusedFor time.Duration
	Debt       int
}

var errInvalidUsage = errors.New("a message about usage has a missing or oversized name or a negative number")

func usageRequestToWire(m message.UsageRequest) wireUsageRequest {
	return wireUsageRequest{
		Shard: m.Shard, Number: m.Number, Stamp: m.Stamp, Shares: m.Shares, Duration: m.Duration, Members: m.Members,
		Wants: convertAll(m.Wants, func(w message.UsageWant) wireUsageWant {
			return wireUsageWant{Account: string(w.Account), Tokens: w.Tokens, Debt: w.Debt}
		}),
	}
}

func usageRequestFromWire(w wireUsageRequest) (message.UsageRequest, error) {
	wants, err := convertAllChecked(w.Wants, func(w wireUsageWant) (message.UsageWant, error) {
		if !validName(w.Account) || min(w.Tokens, w.Debt) < 0 {
			return message.UsageWant{}, errInvalidUsage
		}
		return message.UsageWant{Account: fleet.AccountName(w.Account), Tokens: w.Tokens, Debt: w.Debt}, nil
	})
	if err == nil && (min(w.Shard, w.Shares, w.Members) < 0 || w.Duration < 0) {
		err = errInvalidUsage
	}
	return message.UsageRequest{
		Shard: w.Shard, Number: w.Number, Stamp: w.Stamp, Shares: w.Shares, Duration: w.Duration,
		Members: w.Members, Wants: wants,
	}, err
}

func usageReplyToWire(m message.UsageReply) wireUsageReply {
	return wireUsageReply{
		Shard: m.Shard, Number: m.Number, Stamp: m.Stamp,
		Grants: convertAll(m.Grants, func(g message.UsageGrant) wireUsageGrant {
			return wireUsageGrant{
				Account: string(g.Account), Tokens: g.Tokens,
				Lifetime: g.Lifetime, RefusedFor: g.RefusedFor, Debt: g.Debt,
			}
		}),
	}
}

func usageReplyFromWire(w wireUsageReply) (message.UsageReply, error) {
	grants, err := convertAllChecked(w.Grants, func(w wireUsageGrant) (message.UsageGrant, error) {
		if !validName(w.Account) || min(w.Tokens, w.Debt) < 0 || w.Lifetime < 0 || w.RefusedFor < 0 {
			return message.UsageGrant{}, errInvalidUsage
		}
		return message.UsageGrant{
			Account: fleet.AccountName(w.Account), Tokens: w.Tokens,
			Lifetime:   w.Lifetime,
			RefusedFor: w.RefusedFor,
			Debt:       w.Debt,
		}, nil
	})
	if err == nil && w.Shard < 0 {
		err = errInvalidUsage
	}
	return message.UsageReply{Shard: w.Shard, Number: w.Number, Stamp: w.Stamp, Grants: grants}, err
}
