package admission_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"jayfold.dev/jayfold/internal/core/admission"
	"jayfold.dev/jayfold/internal/core/fleet"
)

// parentRetried reports whether a request counts as a child request of a retried request.
func (h *harness) parentRetried(parent fleet.RequestID, internal bool, random uint64) bool {
	var retried bool
	h.state, retried = h.state.ParentRetried(h.now, admission.ChildRequest{Parent: parent, Internal: internal}, random)
	return retried
}

// parentRetriedShare returns the fraction of requests without a named parent that count as child requests of retried requests.
func (h *harness) parentRetriedShare() float64 {
	const requests = 1 << 10
	retried := 0
	for i := range uint64(requests) {
		if h.parentRetried("", true, i<<6) {
			retried++
		}
	}
	return float64(retried) / requests
}

// TestParentRetriedShare guards against child requests of retried requests that are not counted. A retried request whose child
// request fails ends soon, so that it is rarely running when the next child request arrives. Computing the share from the running
// attempts alone missed 29 of 50 such child requests in 10 s.
func TestParentRetriedShare(t *testing.T) {
	is, h := is.New(t), newWarmHarness(4)
	is.Equal(h.parentRetriedShare(), 0.0)
	h.submit("first", fleet.Lookup)
	for i := range 3 {
		a := h.attempt(fmt.Sprint("retry", i), fleet.Lookup)
		a.IsRetry = true
		h.submitAttempt(a)
		h.finish(string(a.ID), fleet.Outcome{})
	}
	is.Equal(h.parentRetriedShare(), 0.75)
	h.advance(3*time.Second, "i1", 4)
	is.Equal(h.parentRetriedShare(), 0.0) // only the first attempt is still running, and none has started recently
}

// TestParentRetried guards against child requests that are wrongly charged as those of retried requests, which can use up to half
// of a pool's retry budget, and against child requests of retried requests that are not charged.
func TestParentRetried(t *testing.T) {
	// running returns a sidecar on which two attempts run, the second of which is a retry.
	running := func() *harness {
		h := newWarmHarness(4)
		h.submit("first.1", fleet.Lookup)
		a := h.attempt("again.2", fleet.Lookup)
		a.IsRetry = true
		h.submitAttempt(a)
		return h
	}
	// lowestDraw makes a request count at any share of retries above 0, highestDraw only at a share of 1.
	const lowestDraw, highestDraw = 0, 1<<16 - 1
	for name, c := range map[string]struct {
		parent   fleet.RequestID
		internal bool
		random   uint64
		want     bool
	}{
		"of a first attempt": {"first", true, lowestDraw, false},
		"of a retry":         {"again", true, highestDraw, true},
		"of a retry, on a route of another class": {"again", false, highestDraw, true},
		"no parent, draw below the share":         {"", true, lowestDraw, true},
		"no parent, draw above the share":         {"", true, highestDraw, false},
		"no parent, on a route of another class":  {"", false, lowestDraw, false},
		"parent runs on another host":             {"other", false, lowestDraw, false},
		"parent id is only a prefix":              {"firs", false, lowestDraw, false},
	} {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(running().parentRetried(c.parent, c.internal, c.random), c.want)
		})
	}
	t.Run("child of a child request that is counted", func(t *testing.T) {
		is, h := is.New(t), newWarmHarness(4)
		a := h.attempt("parent.call.1", fleet.Lookup)
		a.ParentRetried = true
		h.submitAttempt(a)
		is.True(h.parentRetried("parent.call", true, highestDraw))
		is.True(!h.parentRetried("parent", false, highestDraw)) // that request runs on another host
	})
	t.Run("targets that name parents always name them", func(t *testing.T) {
		is, h := is.New(t), running()
		is.True(!h.parentRetried("first", true, highestDraw))
		is.True(!h.parentRetried("", true, lowestDraw))
	})
	t.Run("no request is running", func(t *testing.T) {
		is, h := is.New(t), running()
		h.finish("first.1", fleet.Outcome{})
		h.finish("again.2", fleet.Outcome{})
		is.True(!h.parentRetried("", true, lowestDraw))
	})
}
