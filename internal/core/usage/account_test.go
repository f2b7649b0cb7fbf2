package usage

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"jayfold.dev/jayfold/internal/core/fleet"
)

// singleNode returns the model of a fleet of one node with an account "a" that has used all its tokens for a window.
func singleNode() (*model, *modelNode) {
	m := newModel(1, 1, 1, fleet.Account{Name: "a", Rate: 2, Burst: 2})
	m.advance(settleTime)
	for range 16 { // 2*5 + 2, and the four extra tokens
		m.request(m.nodes[0], "a")
	}
	return m, m.nodes[0]
}

// refusedBy returns the number of requests that are refused when another one arrives.
func (m *model) refusedBy(n *modelNode) int {
	before := len(m.records["a"].refused[fleet.OverCap])
	m.request(n, "a")
	return len(m.records["a"].refused[fleet.OverCap]) - before
}

// TestTokenOfARequestThatDidNotRunIsReturned guards against an account that pays for requests that its targets refused.
func TestTokenOfARequestThatDidNotRunIsReturned(t *testing.T) {
	notRun := func(m *model, n *modelNode, id fleet.RequestID) {
		m.step(n, func(ctx Context) (State, Result) { return n.state.RequestNotRun(ctx, id) })
	}
	t.Run("no token is returned", func(t *testing.T) {
		m, n := singleNode()
		is.New(t).Equal(m.refusedBy(n), 1)
	})
	t.Run("one is returned, once", func(t *testing.T) {
		is := is.New(t)
		m, n := singleNode()
		notRun(m, n, "r16")
		notRun(m, n, "r16")
		is.Equal(m.refusedBy(n), 0)
		is.Equal(m.refusedBy(n), 1)
	})
	t.Run("it has expired", func(t *testing.T) {
		m, n := singleNode()
		m.advance(tokenLifetime)
		notRun(m, n, "r16")
		is.New(t).Equal(m.refusedBy(n), 1)
	})
}

// TestLoweredLimitHoldsAtOnce guards against tokens and bucket contents of a rate limit that has been lowered.
func TestLoweredLimitHoldsAtOnce(t *testing.T) {
	is := is.New(t)
	limit := accountOf("a", 100)
	m := newModel(1, 9, 3, limit)
	m.advance(settleTime)
	m.load("a", 300, 20*time.Second, m.anyNode)
	m.advance(6 * time.Second)
	lowered := fleet.Account{Name: "a", Rate: 10, Burst: 10}
	m.accounts = m.accounts.With("a", lowered)
	for _, n := range m.nodes {
		m.useTables(n)
	}
	before := len(m.records["a"].ran)
	m.advance(modelWindow)
	is.True(float64(len(m.records["a"].ran)-before) <= bound(lowered))
}
