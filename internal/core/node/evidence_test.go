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

// newParentNode returns a node with a target in the pool shop, which makes child requests to the pool stock on another node.
func newParentNode() *runner {
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
	r.heartbeat()
	return r
}

// heartbeat sends a heartbeat of the target.
func (r *runner) heartbeat() {
	r.reduce(event.HeartbeatReceived{Heartbeat: fleet.Heartbeat{
		Name: "t", Pool: "shop", Address: "127.0.0.1:8000", Slots: 4, Connections: 10, Instance: "1", Started: time.Unix(1, 0),
		Sequence: uint64(r.now.UnixNano()),
	}})
}

// childRequest makes a child request of parent to the pool stock and returns its attempt.
func (r *runner) childRequest(parent fleet.RequestID) fleet.AttemptID {
	for _, e := range r.reduce(event.RequestArrived{Request: fleet.Request{
		ID: parent + "-call", Parent: parent, Method: "GET", Path: "/stock/1",
	}}) {
		if forward, ok := e.(effect.ForwardAttempt); ok {
			return forward.Attempt.ID
		}
	}
	return ""
}

// finishChild ends the attempt of a child request, with a problem if cause is not empty.
func (r *runner) finishChild(child fleet.AttemptID, cause fleet.Cause) {
	outcome := fleet.Outcome{Status: 200}
	if cause != "" {
		outcome = problemOutcome(cause)
	}
	r.reduce(event.AttemptFinished{Attempt: child, Outcome: outcome})
}

func problemOutcome(cause fleet.Cause) fleet.Outcome {
	return fleet.Outcome{Problem: fleet.Some(fleet.NewProblem(cause, fleet.Ran, "simulated"))}
}

// TestFailedChildRequestsAreNoEvidence guards against targets that are ejected or take only trial requests because of failures in
// another pool that they call. An overload of that pool would take healthy targets out of service.
func TestFailedChildRequestsAreNoEvidence(t *testing.T) {
	for name, c := range map[string]struct {
		// during is what the target does while it runs a request, and cause is the problem with which the run ends.
		during func(r *runner, request fleet.RequestID)
		cause  fleet.Cause
		want   fleet.Health
	}{
		"no child request": {
			during: func(*runner, fleet.RequestID) {},
			cause:  fleet.TargetFailed, want: fleet.Faulty,
		},
		"a successful child request": {
			during: func(r *runner, request fleet.RequestID) { r.finishChild(r.childRequest(request), "") },
			cause:  fleet.TargetFailed, want: fleet.Faulty,
		},
		"a child request that its target fails": {
			during: func(r *runner, request fleet.RequestID) { r.finishChild(r.childRequest(request), fleet.TargetFailed) },
			cause:  fleet.TargetFailed, want: fleet.Healthy,
		},
		"a child request that is refused": {
			during: func(r *runner, request fleet.RequestID) { r.finishChild(r.childRequest(request), fleet.Overloaded) },
			cause:  fleet.TargetFailed, want: fleet.Healthy,
		},
		"a child request without a response by the deadline": {
			during: func(r *runner, request fleet.RequestID) { r.childRequest(request) },
			cause:  fleet.DeadlinePassed, want: fleet.Healthy,
		},
		"a child request of another request": {
			during: func(r *runner, _ fleet.RequestID) { r.finishChild(r.childRequest("other"), fleet.TargetFailed) },
			cause:  fleet.TargetFailed, want: fleet.Faulty,
		},
		"a child request that fails before the target breaks the connection": {
			during: func(r *runner, request fleet.RequestID) { r.finishChild(r.childRequest(request), fleet.TargetFailed) },
			cause:  fleet.Broken, want: fleet.Faulty,
		},
	} {
		t.Run(name, func(t *testing.T) {
			is, r := is.New(t), newParentNode()
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

// TestUnsentRunsAreNoEvidence guards against targets that are avoided because the body of a request stalled until its deadline, or was
// lost with its ingress, before anything was sent to them.
func TestUnsentRunsAreNoEvidence(t *testing.T) {
	for name, c := range map[string]struct {
		problem fleet.Problem
		want    fleet.Health
	}{
		"the body stalled until the deadline": {fleet.NewProblem(fleet.DeadlinePassed, fleet.NotRun, "simulated"), fleet.Healthy},
		"the ingress was lost":                {fleet.NewProblem(fleet.Broken, fleet.NotRun, "simulated"), fleet.Healthy},
		"the target did not respond":          {fleet.NewProblem(fleet.DeadlinePassed, fleet.MayHaveRun, "simulated"), fleet.Faulty},
		"the target refuses connections":      {fleet.NewProblem(fleet.Unreachable, fleet.NotRun, "simulated"), fleet.Faulty},
	} {
		t.Run(name, func(t *testing.T) {
			is, r := is.New(t), newParentNode()
			for i := range 3 {
				attempt := fleet.NewAttemptID(fleet.RequestID(fmt.Sprint("r", i)), 1)
				r.reduce(event.AdmissionRequested{Attempt: fleet.Attempt{
					ID: attempt, Target: "n1/t", Pool: "shop", Idempotent: true, Deadline: r.now.Add(time.Second),
				}})
				r.reduce(event.RunFinished{Attempt: attempt, Outcome: fleet.Outcome{Problem: fleet.Some(c.problem)}})
			}
			is.Equal(r.state.health.Health("n1/t"), c.want)
		})
	}
}
