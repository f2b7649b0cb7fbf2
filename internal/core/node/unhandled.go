package node

import (
	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/event"
	"jayfold.dev/jayfold/internal/core/fleet"
)

// unhandledDetail is the detail of the problem for an event that the reducer could not handle.
const unhandledDetail = "the node could not handle the request because of an internal error"

// Unhandled returns the effects that reply to whoever waits for an event that the reducer failed on, so that the state is that before
// the event. A request or an attempt that has just arrived has not run. All other requests go on: their timers end them with what is
// known of them.
func Unhandled(body event.Body) []effect.Effect {
	notRun := fleet.NewProblem(fleet.InternalError, fleet.NotRun, unhandledDetail)
	switch body := body.(type) {
	case event.RequestArrived:
		return []effect.Effect{effect.RefuseRequest{Request: body.Request.ID, Problem: notRun, Parent: body.Request.Parent}}
	case event.AdmissionRequested:
		report := fleet.TargetReport{Target: body.Attempt.Target, Class: body.Attempt.Class}
		return []effect.Effect{effect.RefuseAttempt{Attempt: body.Attempt.ID, Problem: notRun, Report: report}}
	case event.HeartbeatReceived:
		return []effect.Effect{effect.AcknowledgeTarget{AckID: body.AckID}}
	case event.TargetWithdrew:
		return []effect.Effect{effect.AcknowledgeTarget{AckID: body.AckID}}
	case event.StatusRequested:
		return []effect.Effect{effect.ReplyStatus{QueryID: body.QueryID}}
	default:
		return nil
	}
}

// Readiness returns the effect that sets whether callers should use this node as its state is now.
func (s State) Readiness() effect.SetReadiness {
	leaving := s.shutdown.inProgress()
	return effect.SetReadiness{Ready: s.Revision() != 0 && !leaving, Leaving: leaving}
}
