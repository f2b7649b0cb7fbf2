package node

import (
	"time"

	"jayfold.dev/jayfold/internal/core/admission"
	"jayfold.dev/jayfold/internal/core/attempt"
	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/event"
	"jayfold.dev/jayfold/internal/core/fleet"
	"jayfold.dev/jayfold/internal/core/routing"
)

// attemptContext returns the context of the attempt component. Its functions capture single components, because a function
// that captures the whole state makes every step copy it.
func (s State) attemptContext(ev event.Event) attempt.Context {
	now := ev.At
	ctx := attempt.Context{
		Now:         now,
		Random:      ev.Random,
		Directory:   s.membership.Directory(),
		JustStarted: s.membership.JustStarted(now),
		Revision:    s.Revision(),
		RevisionAge: s.tables.Age(now),
	}
	if suspects := s.quarantine.Suspects(); suspects.Any() {
		ctx.Quarantined = func(f fleet.Fingerprint) bool { return suspects.Quarantined(now, f) }
	}
	return ctx
}

// requestArrived refuses a request that arrives before the first tables, matches no route or is quarantined, or whose body is complete
// only after the listener of a stopping node has closed: the node might end before the request. It starts any other request.
func (s State) requestArrived(ev event.Event, body event.RequestArrived) (State, []effect.Effect) {
	request := body.Request
	if s.shutdown.drainingCallers {
		return s, refuse(request, fleet.Draining, "the node is stopping and takes no more requests")
	}
	if s.Revision() == 0 {
		return s, refuse(request, fleet.NoTables, "this node has no tables yet")
	}
	if route, ok := s.tables.Router().Match(request); ok && s.isRateLimited(request.Account) &&
		!s.quarantine.Suspects().Quarantined(ev.At, request.Fingerprint) {
		return s.limitRequest(ev, request, route)
	}
	return s.startRequest(ev, request, ev.At)
}

// startRequest starts a request that arrived at the given time and has waited for a token since, or refuses it.
func (s State) startRequest(ev event.Event, request fleet.Request, arrived time.Time) (State, []effect.Effect) {
	route, ok := s.tables.Router().Match(request)
	if !ok {
		return s, refuse(request, fleet.NoRoute, "no route matches "+request.Method+" "+request.Path)
	}
	if s.quarantine.Suspects().Quarantined(ev.At, request.Fingerprint) {
		return s, refuse(request, fleet.Quarantined, "requests with this fingerprint have crashed several targets")
	}
	if waited := ev.At.Sub(arrived); waited > 0 {
		route.Deadline, route.Goal = remaining(route.Deadline, waited), remaining(route.Goal, waited)
		request.Timeout = remaining(request.Timeout, waited)
	}
	s.splitter, route.Pool = s.splitter.NextPool(route, ev.Random)
	idempotent := routing.IsIdempotent(route, request)
	route.Class = s.classOf(route, request, idempotent)
	child := admission.ChildRequest{Parent: request.Parent, Internal: route.Class == fleet.Internal}
	s.admission = s.admission.ChildRequestSeen(ev.At, request.Parent)
	s.admission, request.ParentRetried = s.admission.ParentRetried(ev.At, child, ev.Random)
	next, effects := s.attempts.RequestArrived(s.attemptContext(ev), request, route, idempotent)
	s.attempts = next
	return s, effects
}

// classOf returns the class of a request. An idempotent request is internal if a target on this host made it while it was serving
// another one, whatever its route says: the run waits for the response.
func (s State) classOf(route fleet.Route, request fleet.Request, idempotent bool) fleet.Class {
	if idempotent && s.admission.HasRunOf(request.Parent) {
		return fleet.Internal
	}
	return route.Class
}

func refuse(request fleet.Request, cause fleet.Cause, detail string) []effect.Effect {
	return []effect.Effect{effect.RefuseRequest{
		Request: request.ID,
		Problem: fleet.NewProblem(cause, fleet.NotRun, detail),
		Parent:  request.Parent,
	}}
}

func (s State) requestCanceled(ev event.Event, body event.RequestCanceled) (State, []effect.Effect) {
	if s.usage.Waiting() > 0 {
		s.usage = new(s.usage.RequestCanceled(body.Request))
	}
	next, effects := s.attempts.RequestCanceled(ev.At, body.Request)
	s.attempts = next
	return s, effects
}

// attemptFinished records the quarantined fingerprints in the target's report before the attempt component may start another
// attempt.
func (s State) attemptFinished(ev event.Event, body event.AttemptFinished) (State, []effect.Effect) {
	if report, ok := body.Report.Get(); ok && len(report.Quarantined) > 0 {
		s.quarantine = s.quarantine.QuarantinesReported(ev.At, report.Quarantined)
	}
	next, effects := s.attempts.AttemptFinished(s.attemptContext(ev), body.Attempt, body.Outcome, body.Report)
	s.attempts = next
	return s, effects
}
