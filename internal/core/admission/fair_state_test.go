package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"jayfold.dev/jayfold/internal/core/fleet"
)

// TestFairSharesAreBounded guards against an account whose work in the reserved place counts against it without end, and against state
// that grows with the number of accounts that ever sent a request.
func TestFairSharesAreBounded(t *testing.T) {
	const work = 10 * time.Millisecond
	t.Run("the advance of an account", func(t *testing.T) {
		var f fairShares
		for i := range 100 {
			a := fleet.Attempt{ID: fleet.AttemptID(fmt.Sprint("r", i)), Account: "heavy"}
			f.reserved = reservedPlace{id: a.ID, ticket: ticket(i + 1)}
			f = f.withStart(a, work)
		}
		is.New(t).True(f.tag("heavy")-f.virtual <= maxAdvance*work)
	})
	t.Run("the number of accounts", func(t *testing.T) {
		var f fairShares
		for i := range 10_000 {
			f = f.withStart(fleet.Attempt{ID: "r", Account: fleet.AccountName(fmt.Sprint("n", i))}, work)
			if i%10 == 0 {
				f = f.withoutPast()
			}
		}
		t.Log(f.finish.Len(), "accounts")
		is.New(t).True(f.finish.Len() < 2*maxAhead)
	})
}
