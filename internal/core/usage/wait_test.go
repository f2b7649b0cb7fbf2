package usage

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestWaitLimit guards against requests with a goal of seconds that are refused because a reply between nodes was late: while links
// lost packets, 2 in 100 requests within their limit were.
func TestWaitLimit(t *testing.T) {
	for name, c := range map[string]struct{ goal, deadline, want time.Duration }{
		"a short goal":     {800 * time.Millisecond, 3 * time.Second, waitLimit},
		"a goal of 4 s":    {4 * time.Second, 10 * time.Second, time.Second},
		"a short deadline": {4 * time.Second, 300 * time.Millisecond, 300 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) { is.New(t).Equal(WaitLimit(c.goal, c.deadline), c.want) })
	}
}
