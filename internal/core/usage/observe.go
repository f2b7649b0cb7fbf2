package usage

import (
	"time"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/fleet"
)

// refusalLogInterval is the minimum time between two log lines about the refusals of one account, and countInterval that between two
// updates of the counters.
const (
	refusalLogInterval = 10 * time.Second
	countInterval      = time.Second
)

// counts holds what has happened since the counters were last updated.
type counts struct {
	updated time.Time
	// waited is the number of requests that had to wait, asked that of requests for tokens to other nodes, and lost that of nodes
	// that did not reply.
	waited, asked, lost int64
}

// finished returns the result of a step with its log lines and merged messages, and the state without these lines.
func (s State) finished(result Result) (State, Result) {
	result.Effects = append(result.Effects, s.lines...)
	s.lines = nil
	return s, result.merged()
}

// withLine returns the state with one more log line.
func (s State) withLine(level effect.Level, text string, fields ...effect.LogField) State {
	s.lines = append(s.lines, effect.WriteLog{Level: level, Component: "usage", Message: text, Fields: fields})
	return s
}

// withLostLine logs that a node did not reply.
func (s State) withLostLine(id fleet.NodeID) State {
	s.counts.lost++
	return s.withLine(effect.Warn, "allocator does not reply, asking the next one",
		effect.LogField{Name: "Peer", Value: id}, effect.LogField{Name: "Avoided", Value: avoidDuration})
}

// withTopLine logs that this node has become the allocator of the fleet for a shard, or is no longer.
func (s State) withTopLine(shard int, top bool) State {
	text := "this node grants the tokens of a shard of accounts"
	if !top {
		text = "another node grants the tokens of a shard of accounts"
	}
	return s.withLine(effect.Info, text,
		effect.LogField{Name: "Shard", Value: shard},
		effect.LogField{Name: "Peer", Value: s.view.upstream[shard].node},
		effect.LogField{Name: "Members", Value: s.view.members},
		effect.LogField{Name: "Weight", Value: s.shards[shard].weight()})
}

// withRefusal counts a refused request of an account and logs the refusals of each account from time to time.
func (s State) withRefusal(ctx Context, a account, name fleet.AccountName) (State, account) {
	a.refusals++
	if !a.logged.IsZero() && ctx.Now.Sub(a.logged) < refusalLogInterval {
		return s, a
	}
	limit, _ := ctx.limit(name)
	s = s.withLine(effect.Warn, "account has reached its rate limit, requests refused",
		effect.LogField{Name: "Account", Value: name},
		effect.LogField{Name: "Rate", Value: limit.Rate},
		effect.LogField{Name: "Burst", Value: limit.Burst},
		effect.LogField{Name: "Refused", Value: a.refusals},
		effect.LogField{Name: "Allocator", Value: s.source(ctx.Now, shardOf(name)).node})
	a.refusals, a.logged = 0, ctx.Now
	return s, a
}

// countEffects returns the updates of the counters.
func (s State) countEffects(now time.Time) (State, []effect.Effect) {
	if now.Sub(s.counts.updated) < countInterval {
		return s, nil
	}
	var effects []effect.Effect
	for _, c := range []effect.AddToCounter{
		{Name: "usage_waits", Delta: s.counts.waited},
		{Name: "usage_asks", Delta: s.counts.asked},
		{Name: "usage_allocators_lost", Delta: s.counts.lost},
	} {
		if c.Delta > 0 {
			effects = append(effects, c)
		}
	}
	s.counts = counts{updated: now}
	return s, effects
}

// Status returns the state of each shard of accounts. It is empty if no account has a rate limit.
func (s State) Status(now time.Time) []effect.RateLimitStatus {
	if !s.active {
		return nil
	}
	statuses := make([]effect.RateLimitStatus, 0, shardCount)
	for i, sh := range s.shards {
		statuses = append(statuses, effect.RateLimitStatus{
			Shard:     i,
			Allocator: s.source(now, i).node,
			Shares:    sh.sharesUntil(now, ""),
			Members:   sh.members(s.view.members),
		})
	}
	return statuses
}
