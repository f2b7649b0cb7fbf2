package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"jayfold.dev/jayfold/internal/core/fleet"
)

// TestRefusedIDsAreBounded guards against a node that grows over the memory of its machine with each request that it refuses, and is killed
// with the requests of its other callers.
func TestRefusedIDsAreBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	var seen seenAttempts
	seen = seen.withStarted(now, "started")
	id := func(i int) fleet.AttemptID { return fleet.AttemptID(fmt.Sprint("refused", i)) }
	const refusals = 5 * maxRefusedIDs
	for i := range refusals {
		seen = seen.withRefused(now, id(i))
	}
	t.Run("their number", func(t *testing.T) {
		is.New(t).True(seen.refused.recent.Len()+seen.refused.older.Len() <= 2*maxRefusedIDs)
	})
	t.Run("the latest are known", func(t *testing.T) {
		is := is.New(t)
		for i := refusals - maxRefusedIDs; i < refusals; i++ {
			started, known := seen.get(id(i))
			is.True(known && !started)
		}
	})
	t.Run("an attempt that has started is known", func(t *testing.T) {
		started, known := seen.get("started")
		is.New(t).True(known && started)
	})
	t.Run("they expire", func(t *testing.T) {
		later := seen.withRefused(now.Add(seenRetention), "x").withRefused(now.Add(2*seenRetention), "y")
		_, known := later.get(id(refusals - 1))
		is.New(t).True(!known)
	})
}
