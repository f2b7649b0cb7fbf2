package node

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/event"
	"jayfold.dev/jayfold/internal/core/fleet"
)

// classOfRequest returns the class of the attempt that a request to the pool stock starts.
func (r *runner) classOfRequest(is *is.I, request fleet.Request) fleet.Class {
	for _, e := range r.reduce(event.RequestArrived{Request: request}) {
		if forward, ok := e.(effect.ForwardAttempt); ok {
			return forward.Attempt.Class
		}
	}
	is.Fail() // no attempt was started
	return 0
}

// TestClassFollowsTheRun guards against requests of callers that are taken for requests of targets because of their route's priority.
// Such a request waited past its latency goal, since an internal one may wait as long as its deadline allows. A request is internal
// because a request that it names runs on this host.
func TestClassFollowsTheRun(t *testing.T) {
	running := func() *runner {
		r := newParentNode()
		r.reduce(event.AdmissionRequested{Attempt: fleet.Attempt{
			ID: fleet.NewAttemptID("parent", 1), Target: "n1/t", Pool: "shop", Deadline: r.now.Add(time.Second),
		}})
		return r
	}
	for name, c := range map[string]struct {
		method string
		parent fleet.RequestID
		want   fleet.Class
	}{
		"a request of a caller":            {"GET", "", fleet.Lookup},
		"a request of the running request": {"GET", "parent", fleet.Internal},
		"the parent runs on another host":  {"GET", "other", fleet.Lookup},
		"the request runs at most once":    {"POST", "parent", fleet.Lookup},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			got := running().classOfRequest(is, fleet.Request{ID: "r", Parent: c.parent, Method: c.method, Path: "/stock/1"})
			is.Equal(got, c.want)
		})
	}
}
