// Package attempt holds the ingress's decisions: it picks a target for each request, retries within the deadline and the
// budget, and decides which answer the caller gets.
//
// # Usage
//
//	state := attempt.New(self, zone)
//	state, effects := state.Arrived(ctx, request, route, idempotent)
//	state, effects = state.Finished(ctx, attemptID, outcome, report)
package attempt

import (
	"time"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/fleet"
)

// State is the ingress's view of the requests that it has accepted.
type State struct {
	zone    fleet.AvailabilityZone
	flights fleet.Map[fleet.RequestID, flight]
}

// Context is what the ingress knows beside its own state when an event comes.
type Context struct {
	Now       time.Time
	Random    uint64
	Directory fleet.Directory
}

// flight is one request between its arrival and its answer.
type flight struct {
	request    fleet.Request
	route      fleet.Route
	idempotent bool
	deadline   time.Time
	attempts   int
	verdict    fleet.Verdict
}

// New returns the state of an ingress in the given availability zone.
func New(zone fleet.AvailabilityZone) State {
	return State{zone: zone}
}

// Arrived starts a request.
func (s State) Arrived(ctx Context, request fleet.Request, route fleet.Route, idempotent bool) (State, []effect.Effect) {
	deadline := route.Deadline
	if request.Timeout > 0 && request.Timeout < deadline {
		deadline = request.Timeout
	}
	return s.forward(ctx, flight{
		request:    request,
		route:      route,
		idempotent: idempotent,
		deadline:   ctx.Now.Add(deadline),
		verdict:    fleet.NotRun,
	})
}

func (s State) forward(ctx Context, f flight) (State, []effect.Effect) {
	candidates := ctx.Directory.Pool(f.route.Pool)
	if len(candidates) == 0 {
		problem := fleet.NewProblem(fleet.NoTarget, f.verdict, "no target serves pool "+string(f.route.Pool))
		s.flights = s.flights.Without(f.request.ID)
		return s, []effect.Effect{effect.Refuse{Request: f.request.ID, Problem: problem}}
	}
	f.attempts++
	c := candidates[ctx.Random%uint64(len(candidates))]
	s.flights = s.flights.With(f.request.ID, f)
	return s, []effect.Effect{effect.Forward{Attempt: fleet.Attempt{
		ID:          fleet.NewAttemptID(f.request.ID, f.attempts),
		Target:      c.Target.ID,
		Pool:        f.route.Pool,
		Node:        c.Node,
		Address:     c.ForwardAddress,
		Class:       f.route.Class,
		Idempotent:  f.idempotent,
		Caller:      f.request.Caller,
		Deadline:    f.deadline,
		Fingerprint: f.request.Fingerprint,
		Key:         f.request.Key,
	}}}
}

// Finished ends an attempt.
func (s State) Finished(
	_ Context, id fleet.AttemptID, outcome fleet.Outcome, _ fleet.Option[fleet.Report],
) (State, []effect.Effect) {
	f, ok := s.flights.Get(id.Request())
	if !ok || id != fleet.NewAttemptID(f.request.ID, f.attempts) {
		return s, nil
	}
	s.flights = s.flights.Without(f.request.ID)
	if problem, failed := outcome.Problem.Get(); failed {
		return s, []effect.Effect{effect.Refuse{Request: f.request.ID, Problem: problem}}
	}
	return s, []effect.Effect{effect.Answer{Request: f.request.ID, Attempt: id}}
}

// Canceled ends a request whose caller went away.
func (s State) Canceled(id fleet.RequestID) (State, []effect.Effect) {
	f, ok := s.flights.Get(id)
	if !ok {
		return s, nil
	}
	s.flights = s.flights.Without(id)
	return s, []effect.Effect{effect.Abandon{Attempt: fleet.NewAttemptID(id, f.attempts)}}
}

// Tick ends requests whose deadline passed.
func (s State) Tick(Context) (State, []effect.Effect) { return s, nil }

// InFlight returns the number of requests that wait for their answer.
func (s State) InFlight() int { return s.flights.Len() }
