package node

import (
	"jayfold.dev/jayfold/internal/core/admission"
	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/fleet"
	"jayfold.dev/jayfold/internal/core/health"
)

// evidence gives what the problems of runs say of a target. The others say nothing.
var evidence = map[fleet.Cause]health.Evidence{
	fleet.Broken:         health.Broken,
	fleet.TargetCrashed:  health.Broken,
	fleet.Unreachable:    health.Broken,
	fleet.TargetFailed:   health.ServerError,
	fleet.DeadlinePassed: health.ServerError,
	// The sidecar never gives a target more than its slots, so that one that refuses is not well.
	fleet.Shed: health.Shed,
}

// evidenceOf returns what a run says of its target.
func (s State) evidenceOf(run admission.Run, outcome fleet.Outcome) health.Evidence {
	problem, failed := outcome.Problem.Get()
	switch {
	case !failed:
		return health.Succeeded
	case s.failedBehind(run, outcome):
		return health.None
	default:
		return evidence[problem.Cause]
	}
}

// failedBehind reports whether a run ended with an error or without an answer in time because of a call that its target made. It
// answers an overload of a pool that others call: their targets would count as failing too, and take their slots out of service
// when they are needed most.
func (s State) failedBehind(run admission.Run, outcome fleet.Outcome) bool {
	problem, _ := outcome.Problem.Get()
	if evidence[problem.Cause] != health.ServerError {
		return false
	}
	return run.ChildRequestFailed || s.attempts.HasChild(run.Attempt.ID.Request())
}

// noteFailedCalls tells the sidecar which calls failed that requests on this host made.
func (s State) noteFailedCalls(effects []effect.Effect) State {
	for _, e := range effects {
		switch e := e.(type) {
		case effect.RefuseRequest:
			s.admission = s.admission.ChildRequestFailed(e.Parent)
		case effect.RelayResponse:
			if e.ServerError {
				s.admission = s.admission.ChildRequestFailed(e.Parent)
			}
		}
	}
	return s
}
