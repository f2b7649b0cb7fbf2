package admission_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/fleet"
)

// newSharedHarness returns a target with one slot whose runs take 10 ms.
func newSharedHarness() *harness {
	h := newWarmHarness(1)
	for i := range 10 {
		id := fmt.Sprint("warm", i)
		h.submit(id, fleet.Lookup)
		h.finish(id, fleet.Outcome{Duration: 10 * time.Millisecond})
	}
	return h
}

// submitFor submits an attempt of an account.
func (h *harness) submitFor(account fleet.AccountName, id string, change func(*fleet.Attempt)) {
	attempt := h.attempt(id, fleet.Lookup)
	attempt.Account = account
	if change != nil {
		change(&attempt)
	}
	h.submitAttempt(attempt)
}

// drain ends the run of the attempt and of each that starts after it, and returns the ids in the order of their start.
func (h *harness) drain(running string) string {
	var order []string
	for running != "" {
		h.finish(running, fleet.Outcome{Duration: 10 * time.Millisecond})
		running = ""
		for _, e := range h.effects {
			if run, ok := e.(effect.StartRun); ok {
				running = string(run.Attempt.ID)
				order = append(order, running)
			}
		}
	}
	return strings.Join(order, " ")
}

// assertBefore checks that an attempt started before another.
func assertBefore(t *testing.T, order, first, second string) {
	t.Helper()
	i, j := strings.Index(order, first), strings.Index(order, second)
	if i < 0 || j < 0 || i > j {
		t.Errorf("the order is %q; want %s before %s", order, first, second)
	}
}

// TestShares guards against an account whose attempts wait behind all of another account, and against an order that accounts change
// where they must not.
func TestShares(t *testing.T) {
	t.Run("an account with one attempt goes before one with several", func(t *testing.T) {
		h := newSharedHarness()
		for _, id := range []string{"x0", "x1", "x2", "x3"} {
			h.submitFor("heavy", id, nil)
		}
		h.submitFor("light", "y", nil)
		assertBefore(t, h.drain("x0"), "y", "x2")
	})
	t.Run("an account that was served goes after one that was not", func(t *testing.T) {
		h := newSharedHarness()
		h.submitFor("heavy", "x0", nil)
		h.submitFor("heavy", "x1", nil)
		h.submitFor("light", "y", nil)
		is.New(t).Equal(h.drain("x0"), "y x1")
	})
	t.Run("priority goes before shares", func(t *testing.T) {
		h := newSharedHarness()
		h.submitFor("heavy", "x0", nil)
		h.submitFor("heavy", "x1", nil)
		h.submitFor("light", "y", func(a *fleet.Attempt) { a.Priority = 1 })
		is.New(t).Equal(h.drain("x0"), "x1 y")
	})
	t.Run("child requests go before new requests of their priority", func(t *testing.T) {
		h := newSharedHarness()
		h.submitFor("heavy", "x0", nil)
		h.submitFor("light", "y", func(a *fleet.Attempt) { a.Class = fleet.Order })
		h.submitFor("", "c", func(a *fleet.Attempt) { a.Child = true })
		is.New(t).Equal(h.drain("x0"), "c y")
	})
	t.Run("within an account the goal decides", func(t *testing.T) {
		h := newSharedHarness()
		h.submitFor("heavy", "x0", nil)
		h.submitFor("heavy", "x1", func(a *fleet.Attempt) { a.Goal = h.now.Add(2 * time.Second) })
		h.submitFor("heavy", "x2", func(a *fleet.Attempt) { a.Goal = h.now.Add(time.Second) })
		is.New(t).Equal(h.drain("x0"), "x2 x1")
	})
	t.Run("attempts of public routes count as those of one account", func(t *testing.T) {
		h := newSharedHarness()
		h.submitFor("light", "x0", nil)
		for _, id := range []string{"p1", "p2", "p3"} {
			h.submitFor("", id, nil)
		}
		h.submitFor("other", "y", nil)
		assertBefore(t, h.drain("x0"), "y", "p3")
	})
	t.Run("an account that always has attempts is served", func(t *testing.T) {
		// Each other attempt has an account of its own.
		h := newSharedHarness()
		h.submitFor("heavy", "x0", nil)
		running, served := "x0", 0
		for i := range 100 {
			h.submitFor("heavy", fmt.Sprintf("x%d", i+1), nil)
			h.submitFor(fleet.AccountName(fmt.Sprint("n", i)), fmt.Sprintf("y%d", i), nil)
			h.finish(running, fleet.Outcome{Duration: 10 * time.Millisecond})
			for _, e := range h.effects {
				if run, ok := e.(effect.StartRun); ok {
					running = string(run.Attempt.ID)
				}
			}
			if running[0] == 'x' {
				served++
			}
		}
		is.New(t).True(served >= 13) // half of all requests are served, and a quarter of that half must be
	})
	t.Run("after a burst an account is served like others", func(t *testing.T) {
		h := newSharedHarness()
		for i := range 200 {
			id := fmt.Sprint("x", i)
			h.submitFor("heavy", id, nil)
			h.finish(id, fleet.Outcome{Duration: 10 * time.Millisecond})
		}
		h.submitFor("light", "y0", nil)
		h.submitFor("heavy", "x", nil)
		for i := range 3 {
			h.submitFor("light", fmt.Sprint("y", i+1), nil)
		}
		assertBefore(t, h.drain("y0"), "x", "y3")
	})
}

// TestSharesOfFullQueue guards against a full queue in which one account leaves no place for the others.
func TestSharesOfFullQueue(t *testing.T) {
	is, h := is.New(t), newSharedHarness()
	for i := range 5 {
		h.submitFor("heavy", fmt.Sprint("x", i), nil)
	}
	h.submitFor("light", "y", nil)
	is.Equal(len(h.effects), 0) // x4 has the reserved place
	h.submitFor("heavy", "x5", nil)
	h.assertRefused(is, "x5", fleet.Overloaded, fleet.NotRun)
	h.submitFor("other", "z", nil)
	h.assertRefused(is, "x3", fleet.Overloaded, fleet.NotRun)
	for i := range 20 {
		h.submitFor(fleet.AccountName(fmt.Sprint("n", i)), fmt.Sprint("w", i), nil)
	}
	is.Equal(h.state.Load(targetA).Queued, 5) // the queue is bounded
}

// TestExpectedWaitByShare guards against an account that is refused because another account's attempts wait.
func TestExpectedWaitByShare(t *testing.T) {
	is, h := is.New(t), newSharedHarness()
	for i := range 4 {
		h.submitFor("heavy", fmt.Sprint("x", i), nil)
	}
	waitOf := func(account fleet.AccountName) time.Duration {
		a := h.attempt("r", fleet.Lookup)
		a.Account = account
		return h.state.Report(h.now, a).ExpectedWait
	}
	is.True(waitOf("light") < waitOf("heavy"))
}

// BenchmarkSharedQueue measures the refusal of a probe by a target with a full queue, by number of slots. The queue has four attempts
// for each slot, and without accounts a refusal needs no order among them.
func BenchmarkSharedQueue(b *testing.B) {
	for _, slots := range []int{4, 32} {
		for _, accounts := range []int{0, 16} {
			b.Run(fmt.Sprintf("%d slots, %d accounts", slots, accounts), func(b *testing.B) {
				h := newWarmHarness(slots)
				name := func(i int) fleet.AccountName {
					if accounts == 0 {
						return ""
					}
					return fleet.AccountName(fmt.Sprint("a", i%accounts))
				}
				for i := range 5 * slots {
					h.submitFor(name(i), fmt.Sprint("q", i), nil)
				}
				for i := 0; b.Loop(); i++ {
					h.submitFor(name(0), fmt.Sprint("r", i), func(a *fleet.Attempt) { a.Probe = true })
				}
			})
		}
	}
}
