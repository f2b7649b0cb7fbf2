package usage

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/fleet"
)

// TestRefusalsAreLogged guards against an account over its limit that no log line names, and against a line for each refusal.
func TestRefusalsAreLogged(t *testing.T) {
	is := is.New(t)
	m, n := singleNode()
	var lines []effect.WriteLog
	for range 110 {
		m.step(n, func(ctx Context) (State, Result) {
			next, result := n.state.RequestArrived(ctx, fleet.Request{ID: "r", Account: "a"}, time.Second)
			for _, e := range result.Effects {
				if line, ok := e.(effect.WriteLog); ok {
					lines = append(lines, line)
				}
			}
			return next, result
		})
		m.advance(100 * time.Millisecond)
	}
	is.Equal(len(lines), 2) // in 11 s
	is.Equal(lines[0].Fields[0], effect.LogField{Name: "Account", Value: fleet.AccountName("a")})
	is.True(lines[1].Fields[3].Value.(int) > 50) // the refusals since the first line
}

// TestStatusNamesTheAllocators guards against a status without the nodes that grant tokens.
func TestStatusNamesTheAllocators(t *testing.T) {
	is := is.New(t)
	m := newModel(1, 9, 3, accountOf("a", 10))
	m.advance(settleTime)
	for i, shard := range m.top(0).state.Status(m.now) {
		is.Equal(shard.Shard, i)
		is.Equal(shard.Members, 9)
	}
	is.Equal(m.top(0).state.Status(m.now)[0], effect.RateLimitStatus{Shares: 9, Members: 9})
	is.Equal(len(New("n", "z").Status(m.now)), 0)
}
