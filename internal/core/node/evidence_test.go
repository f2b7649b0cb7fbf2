package node

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/event"
	"jayfold.dev/jayfold/internal/core/fleet"
	"jayfold.dev/jayfold/internal/core/message"
	"jayfold.dev/jayfold/internal/core/routing"
)

// newCaller returns a node with a target of the pool shop, which makes calls to the pool stock on another node.
func newCaller() *runner {
	r := newRunner(memberRecord("n1", 1))
	stock := memberRecord("n2", 1)
	stock.Targets = []fleet.Target{{ID: "n2/s", Pool: "stock", Slots: 4}}
	r.reduce(event.MessageReceived{Envelope: message.Envelope{
		From: "n2", Address: "n2", Incarnation: 1, Message: message.SyncReply{Members: []fleet.Member{stock}},
	}})
	tables := fleet.Tables{Revision: 1}
	for _, name := range []fleet.PoolName{"shop", "stock"} {
		tables.Pools = tables.Pools.With(name, fleet.Pool{Name: name, Floor: 1, FalseEjectionInterval: time.Hour})
		tables.Routes = append(tables.Routes, fleet.Route{
			Name: string(name), PathPrefix: "/" + string(name), Pool: name, Deadline: time.Second, Attempts: 1,
		})
	}
	r.reduce(event.TablesDecoded{Tables: tables, Router: routing.New(tables)})
	r.reduce(event.HeartbeatReceived{Heartbeat: fleet.Heartbeat{
		Name: "t", Pool: "shop", Address: "127.0.0.1:8000", Slots: 4, Connections: 10, Instance: "1", Started: time.Unix(1, 0),
	}})
	return r
}

// call has the target call the pool stock while it runs a request, and returns the attempt that goes there.
func (r *runner) call(parent fleet.RequestID) fleet.AttemptID {
	for _, e := range r.reduce(event.RequestArrived{Request: fleet.Request{
		ID: parent + "-call", Parent: parent, Method: "GET", Path: "/stock/1",
	}}) {
		if forward, ok := e.(effect.ForwardAttempt); ok {
			return forward.Attempt.ID
		}
	}
	return ""
}

// callEnds ends a call, with a problem where there is a cause.
func (r *runner) callEnds(call fleet.AttemptID, cause fleet.Cause) {
	outcome := fleet.Outcome{Status: 200}
	if cause != "" {
		outcome = problemOutcome(cause)
	}
	r.reduce(event.AttemptFinished{Attempt: call, Outcome: outcome})
}

func problemOutcome(cause fleet.Cause) fleet.Outcome {
	return fleet.Outcome{Problem: fleet.Some(fleet.NewProblem(cause, fleet.Ran, "as the test has it"))}
}

// TestFailedCallsAreNotBlamedOnTheCaller guards against targets that take only trials, or are ejected, because of another pool that
// they call: an overload there would take the slots of healthy targets out of service.
func TestFailedCallsAreNotBlamedOnTheCaller(t *testing.T) {
	for name, c := range map[string]struct {
		// during is what the target does while it runs a request, and cause how that ends.
		during func(r *runner, request fleet.RequestID)
		cause  fleet.Cause
		want   fleet.Health
	}{
		"no call": {
			during: func(*runner, fleet.RequestID) {},
			cause:  fleet.TargetFailed, want: fleet.Faulty,
		},
		"a call that is answered": {
			during: func(r *runner, request fleet.RequestID) { r.callEnds(r.call(request), "") },
			cause:  fleet.TargetFailed, want: fleet.Faulty,
		},
		"a call that its target fails": {
			during: func(r *runner, request fleet.RequestID) { r.callEnds(r.call(request), fleet.TargetFailed) },
			cause:  fleet.TargetFailed, want: fleet.Healthy,
		},
		"a call that is refused": {
			during: func(r *runner, request fleet.RequestID) { r.callEnds(r.call(request), fleet.Overloaded) },
			cause:  fleet.TargetFailed, want: fleet.Healthy,
		},
		"a call without an answer by the deadline": {
			during: func(r *runner, request fleet.RequestID) { r.call(request) },
			cause:  fleet.DeadlinePassed, want: fleet.Healthy,
		},
		"a call of another request": {
			during: func(r *runner, _ fleet.RequestID) { r.callEnds(r.call("other"), fleet.TargetFailed) },
			cause:  fleet.TargetFailed, want: fleet.Faulty,
		},
		"a call that fails before the target breaks off": {
			during: func(r *runner, request fleet.RequestID) { r.callEnds(r.call(request), fleet.TargetFailed) },
			cause:  fleet.Broken, want: fleet.Faulty,
		},
	} {
		t.Run(name, func(t *testing.T) {
			is, r := is.New(t), newCaller()
			for i := range 3 {
				r.now = r.now.Add(10 * time.Millisecond)
				request := fleet.RequestID(fmt.Sprint("r", i))
				attempt := fleet.NewAttemptID(request, 1)
				r.reduce(event.AdmissionRequested{Attempt: fleet.Attempt{
					ID: attempt, Target: "n1/t", Pool: "shop", Idempotent: true, Deadline: r.now.Add(time.Second),
				}})
				_, running := r.state.admission.Running(attempt)
				is.True(running || c.want == fleet.Faulty)
				c.during(r, request)
				r.reduce(event.RunFinished{Attempt: attempt, Outcome: problemOutcome(c.cause)})
			}
			is.Equal(r.state.health.Health("n1/t"), c.want)
		})
	}
}
