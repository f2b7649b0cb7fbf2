package settings

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// TestMemory guards against a node that lets callers take more memory than its host has, and against a bound that nobody set.
func TestMemory(t *testing.T) {
	const smallestHost = 184 << 20
	for _, c := range []struct {
		limits                   Limits
		system, callers, process int64
	}{
		{Limits{MaxBufferedBytes: 32 << 20}, 0, 48 << 20, 0},
		{Limits{MaxBufferedBytes: 32 << 20}, smallestHost, 48 << 20, smallestHost/100*85 - 12<<20},
		{Limits{MaxBufferedBytes: 32 << 20}, 100 << 20, (100 << 20) / 100 * 40, (100<<20)/100*85 - 12<<20},
		{Limits{MaxBufferedBytes: 32 << 20, Memory: 1000 << 20}, smallestHost, (1000 << 20) / 100 * 40, (1000<<20)/100*85 - 12<<20},
	} {
		t.Run(fmt.Sprintf("%d of %d", c.limits.Memory, c.system), func(t *testing.T) {
			is := is.New(t)
			is.Equal(c.limits.callerMemory(c.system), c.callers)
			is.Equal(c.limits.processMemory(c.system), c.process)
		})
	}
}

// TestMemoryIsReloadable guards against a changed bound that waits for the next start.
func TestMemoryIsReloadable(t *testing.T) {
	before := defaults()
	after := before
	after.Limits.Memory = 64 << 20
	reloaded, nextStart := diff(before, after)
	is.New(t).Equal(reloaded, []string{"Limits.Memory"})
	is.New(t).Equal(len(nextStart), 0)
}
