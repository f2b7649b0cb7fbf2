package node

import (
	"time"

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
func (s State) evidenceOf(now time.Time, run admission.Run, outcome fleet.Outcome) health.Evidence {
	problem, failed := outcome.Problem.Get()
	switch {
	case !failed:
		return health.Succeeded
	case s.failedByChild(run, outcome), notSent(problem):
		return health.None
	case problem.Cause == fleet.Canceled && s.flightOf(now, run).IsOverdue() && !s.attempts.HasChild(run.Attempt.ID.Request()):
		return health.Overdue
	default:
		return evidenceByCause[problem.Cause]
	}
}

// notSent reports whether a run ended before anything was sent to its target, because its body stalled, its ingress was lost or its
// deadline passed. Such a run is no evidence about the target. A target that refuses connections or requests is evidence.
func notSent(problem fleet.Problem) bool {
	return problem.Verdict == fleet.NotRun && (problem.Cause == fleet.DeadlinePassed || problem.Cause == fleet.Broken)
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

// recordEndedChildren informs admission about the end of child requests of the requests that run on this host.
func (s State) recordEndedChildren(now time.Time, effects []effect.Effect) State {
	for _, e := range effects {
		switch e := e.(type) {
		case effect.RefuseRequest:
			s.admission = s.admission.ChildRequestEnded(now, e.Parent, true)
		case effect.RelayResponse:
			s.admission = s.admission.ChildRequestEnded(now, e.Parent, e.ServerError)
		}
	}
	return s
}

// flightOf returns what health judges of a run in flight. Targets of a pool differ in speed, and those that have run few requests have
// no percentile of their own: the larger of the target's and the pool's is the usual time.
func (s State) flightOf(now time.Time, run admission.Run) health.Flight {
	usual := max(run.Attempt.Baseline, s.detection.P95(run.Attempt.Target, run.Attempt.Class))
	return health.Flight{Started: run.Started, Silence: now.Sub(run.LastSign), Usual: usual}
}

// silentFlights returns the runs in flight that are silent for long enough to be evidence, by target. A run that waits for a child
// request is not silent.
func (s State) silentFlights(now time.Time) map[fleet.TargetID][]health.Flight {
	var silent map[fleet.TargetID][]health.Flight
	for run := range s.admission.Runs() {
		f := s.flightOf(now, run)
		if f.Usual == 0 || f.Silence < health.MinSilence(f.Usual) || s.attempts.HasChild(run.Attempt.ID.Request()) {
			continue
		}
		if silent == nil {
			silent = map[fleet.TargetID][]health.Flight{}
		}
		silent[run.Attempt.Target] = append(silent[run.Attempt.Target], f)
	}
	return silent
}
