package node

import (
	"time"

	"jayfold.dev/jayfold/internal/core/accounts"
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
		Accounts:    s.tables.Accounts(),
	}
	if suspects := s.quarantine.Suspects(); suspects.Any() {
		ctx.Quarantined = func(f fleet.Fingerprint) bool { return suspects.Quarantined(now, f) }
	}
	return ctx
}

// acceptedRequest is a request that passed the checks of its arrival, and its route.
type acceptedRequest struct {
	request fleet.Request
	route   fleet.Route
}

// requestArrived refuses a request that arrives before the first tables, or whose body is complete only after the listener of a stopping
// node has closed: the node might end before the request. A request of an account with a rate limit may have to wait for a token.
func (s State) requestArrived(ev event.Event, body event.RequestArrived) (State, []effect.Effect) {
	request := body.Request
	if s.shutdown.drainingCallers {
		return s, refuse(request, fleet.Draining, "the node is stopping and takes no more requests")
	}
	if s.Revision() == 0 {
		return s, refuse(request, fleet.NoTables, "this node has no tables yet")
	}
	accepted, refusal := s.acceptRequest(ev, request)
	switch {
	case refusal != nil:
		return s, refusal
	case s.isRateLimited(accepted.request.Account):
		return s.limitRequest(ev, accepted)
	}
	return s.startRequest(ev, accepted)
}

// acceptRequest refuses a request that matches no route, is not accepted for an account, or is quarantined.
func (s State) acceptRequest(ev event.Event, request fleet.Request) (acceptedRequest, []effect.Effect) {
	route, ok := s.tables.Router().Match(request)
	if !ok {
		return acceptedRequest{}, refuse(request, fleet.NoRoute, "no route matches "+request.Method+" "+request.Path)
	}
	decision := s.checkAccount(request, route)
	if problem, refused := decision.Problem.Get(); refused {
		return acceptedRequest{}, append(refuseWith(request, problem), accounts.Count(decision.Reason))
	}
	if s.quarantine.Suspects().Quarantined(ev.At, request.Fingerprint) {
		return acceptedRequest{}, refuse(request, fleet.Quarantined, "requests with this fingerprint have crashed several targets")
	}
	request.Account, request.Child = decision.Account.Name, decision.Child
	route.Priority += decision.Priority * fleet.PriorityLevels
	return acceptedRequest{request: request, route: route}, nil
}

// resumeRequest starts a request that has waited for a token since its arrival. The tables may have changed meanwhile, so that it is
// checked again.
func (s State) resumeRequest(ev event.Event, request fleet.Request, arrived time.Time) (State, []effect.Effect) {
	accepted, refusal := s.acceptRequest(ev, request)
	if refusal != nil {
		return s, refusal
	}
	if waited := ev.At.Sub(arrived); waited > 0 {
		accepted.route.Deadline = remaining(accepted.route.Deadline, waited)
		accepted.route.Goal = remaining(accepted.route.Goal, waited)
		accepted.request.Timeout = remaining(accepted.request.Timeout, waited)
	}
	return s.startRequest(ev, accepted)
}

// startRequest starts a request that was accepted.
func (s State) startRequest(ev event.Event, accepted acceptedRequest) (State, []effect.Effect) {
	request, route := accepted.request, accepted.route
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
	return refuseWith(request, fleet.NewProblem(cause, fleet.NotRun, detail))
}

func refuseWith(request fleet.Request, problem fleet.Problem) []effect.Effect {
	return []effect.Effect{effect.RefuseRequest{Request: request.ID, Problem: problem, Parent: request.Parent}}
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
