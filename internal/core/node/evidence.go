package node

import (
	"jayfold.dev/jayfold/internal/core/admission"
	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/fleet"
	"jayfold.dev/jayfold/internal/core/health"
)

// evidenceByCause maps the cause of a run's problem to evidence about the target. Other causes are no evidence.
var evidenceByCause = map[fleet.Cause]health.Evidence{
	fleet.Broken:         health.Broken,
	fleet.TargetCrashed:  health.Broken,
	fleet.Unreachable:    health.Broken,
	fleet.TargetFailed:   health.ServerError,
	fleet.DeadlinePassed: health.ServerError,
	// The sidecar never sends a target more requests than it has slots, so a target that sheds is not healthy.
	fleet.Shed: health.Shed,
}

// evidenceOf returns the evidence that a run provides about its target.
func (s State) evidenceOf(run admission.Run, outcome fleet.Outcome) health.Evidence {
	problem, failed := outcome.Problem.Get()
	switch {
	case !failed:
		return health.Succeeded
	case s.failedByChild(run, outcome):
		return health.None
	default:
		return evidenceByCause[problem.Cause]
	}
}

// failedByChild reports whether a run failed or timed out because of a child request of its target. Such runs are no
// evidence, so that an overload of one pool does not spread. Otherwise the targets that call the pool would count as failing
// and be taken out of service when their slots are needed most.
func (s State) failedByChild(run admission.Run, outcome fleet.Outcome) bool {
	problem, _ := outcome.Problem.Get()
	if evidenceByCause[problem.Cause] != health.ServerError {
		return false
	}
	return run.ChildRequestFailed || s.attempts.HasChild(run.Attempt.ID.Request())
}

// recordFailedChildren informs admission about failed child requests of the requests that run on this host.
func (s State) recordFailedChildren(effects []effect.Effect) State {
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
