package admission_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"jayfold.dev/jayfold/internal/core/admission"
	"jayfold.dev/jayfold/internal/core/fleet"
)

// called reports whether a call counts as one of a repeated request.
func (r *rig) called(parent fleet.RequestID, internal bool, random uint64) bool {
	var repeated bool
	r.state, repeated = r.state.ParentRetried(r.now, admission.ChildRequest{Parent: parent, Internal: internal}, random)
	return repeated
}

// repeatedShare returns the share of the calls without a parent that count as those of repeated requests.
func (r *rig) repeatedShare() float64 {
	const calls = 1 << 10
	repeated := 0
	for i := range uint64(calls) {
		if r.called("", true, i<<6) {
			repeated++
		}
	}
	return float64(repeated) / calls
}

// TestRepeatedShare guards against calls of repeated requests that are taken for those of others: a repeated request whose
// call fails ends soon, so that it was seldom among those that ran when a call came. Of 50 such calls in 10 s, 29 were missed.
func TestRepeatedShare(t *testing.T) {
	is, r := is.New(t), newWarmRig(4)
	is.Equal(r.repeatedShare(), 0.0)
	r.ask("first", fleet.Lookup)
	for i := range 3 {
		a := r.attempt(fmt.Sprint("repeated", i), fleet.Lookup)
		a.IsRetry = true
		r.askAs(a)
		r.finish(string(a.ID), fleet.Outcome{})
	}
	is.Equal(r.repeatedShare(), 0.75)
	r.pass(3*time.Second, "i1", 4)
	is.Equal(r.repeatedShare(), 0.0) // only the first one still runs, and none has started lately
}

// TestCalls guards against calls that count as those of repeated requests although they are not, which used up to half of the
// retry budget of a pool, and against those of repeated requests that do not count.
func TestCalls(t *testing.T) {
	// running returns a sidecar on which two requests run, of which the second one is repeated.
	running := func() *rig {
		r := newWarmRig(4)
		r.ask("first.1", fleet.Lookup)
		a := r.attempt("again.2", fleet.Lookup)
		a.IsRetry = true
		r.askAs(a)
		return r
	}
	const never, always = 0, 1<<16 - 1 // draws that any share and no share above 0 are above
	for name, c := range map[string]struct {
		parent   fleet.RequestID
		internal bool
		random   uint64
		want     bool
	}{
		"of a first attempt":                      {"first", true, never, false},
		"of a repeated one":                       {"again", true, always, true},
		"of a repeated one, on a route of others": {"again", false, always, true},
		"without a parent, by its share":          {"", true, never, true},
		"without a parent, above its share":       {"", true, always, false},
		"without a parent, on a route of others":  {"", false, never, false},
		"of a request that runs elsewhere":        {"other", false, never, false},
		"of a name that only begins like one":     {"firs", false, never, false},
	} {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(running().called(c.parent, c.internal, c.random), c.want)
		})
	}
	t.Run("a call of a call that is counted", func(t *testing.T) {
		is, r := is.New(t), newWarmRig(4)
		a := r.attempt("parent.call.1", fleet.Lookup)
		a.ParentRetried = true
		r.askAs(a)
		is.True(r.called("parent.call", true, always))
		is.True(!r.called("parent", false, always)) // its own request runs elsewhere
	})
	t.Run("targets that name parents name them always", func(t *testing.T) {
		is, r := is.New(t), running()
		is.True(!r.called("first", true, always))
		is.True(!r.called("", true, never))
	})
	t.Run("a call while nothing runs is drawn by nothing", func(t *testing.T) {
		is, r := is.New(t), running()
		r.finish("first.1", fleet.Outcome{})
		r.finish("again.2", fleet.Outcome{})
		is.True(!r.called("", true, never))
	})
}
