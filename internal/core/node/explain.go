package node

import (
	"jayfold.dev/jayfold/internal/core/admission"
	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/event"
	"jayfold.dev/jayfold/internal/core/fleet"
)

// explain adds the log lines of what the sidecar decided about attempts in a step: each refusal with the load it rests on,
// each end of a run with the evidence it gave. The receiver is the state before the step, after the state after it.
func (s State) explain(ev event.Event, after State, effects []effect.Effect) []effect.Effect {
	if body, ok := ev.Body.(event.RunFinished); ok {
		if run, known := s.admission.Running(body.Attempt); known {
			effects = append(effects, runTold(ev, run, body.Outcome, after))
		}
	}
	for _, e := range effects {
		if refusal, ok := e.(effect.RefuseAttempt); ok {
			effects = append(effects, refusalTold(refusal))
		}
	}
	return effects
}

// usualRefusals are answers to a question for a free slot, which a busy fleet gives all the time.
var usualRefusals = map[fleet.Cause]bool{fleet.Overloaded: true, fleet.Failing: true}

func refusalTold(e effect.RefuseAttempt) effect.Effect {
	level := effect.Warn
	if usualRefusals[e.Problem.Cause] {
		level = effect.Info
	}
	load := e.Report.Load
	return effect.Log{Level: level, Part: "admission", Text: "attempt refused", Fields: []effect.Field{
		{Name: "Request", Value: string(e.Attempt.Request())},
		{Name: "Attempt", Value: string(e.Attempt)},
		{Name: "Target", Value: string(e.Report.Target)},
		{Name: "Cause", Value: string(e.Problem.Cause)},
		{Name: "Verdict", Value: e.Problem.Verdict.String()},
		{Name: "InFlight", Value: load.InFlight},
		{Name: "Queued", Value: load.Queued},
		{Name: "Slots", Value: load.Slots},
		{Name: "Suspect", Value: e.Report.Suspect},
		{Name: "Revision", Value: uint64(e.Report.Revision)},
	}}
}

func runTold(ev event.Event, run admission.Run, outcome fleet.Outcome, after State) effect.Effect {
	line := effect.Log{Level: effect.Info, Part: "admission", Text: "run ended", Fields: []effect.Field{
		{Name: "Request", Value: string(run.Attempt.ID.Request())},
		{Name: "Attempt", Value: string(run.Attempt.ID)},
		{Name: "Target", Value: string(run.Attempt.Target)},
		{Name: "Instance", Value: run.Instance},
		{Name: "Elapsed", Value: ev.At.Sub(run.Started).String()},
		{Name: "Status", Value: outcome.Status},
		{Name: "Suspect", Value: after.health.Suspect(run.Attempt.Target)},
	}}
	if problem, failed := outcome.Problem.Get(); failed {
		line.Level, line.Text = effect.Warn, "run failed"
		line.Fields = append(line.Fields,
			effect.Field{Name: "Cause", Value: string(problem.Cause)},
			effect.Field{Name: "Verdict", Value: problem.Verdict.String()},
			effect.Field{Name: "Detail", Value: problem.Detail})
	}
	return line
}
