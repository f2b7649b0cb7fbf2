package node

import (
	"time"

	"jayfold.dev/jayfold/internal/core/admission"
	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/event"
	"jayfold.dev/jayfold/internal/core/fleet"
)

// appendLogLines adds the log lines about a step: requests refused on arrival, refused attempts, ended runs, and changes in
// the health of targets and the reachability of nodes. The receiver is the state before the step, after is the state after
// it.
func (s State) appendLogLines(ev event.Event, after State, effects []effect.Effect) []effect.Effect {
	switch body := ev.Body.(type) {
	case event.RunFinished:
		if run, known := s.admission.Running(body.Attempt); known {
			effects = append(effects, runLine(ev, run, body.Outcome, after))
			effects = append(effects, s.healthLines(after, run.Attempt.Target)...)
		}
	case event.Tick:
		for _, target := range s.admission.Targets() {
			effects = append(effects, s.healthLines(after, target.ID)...)
		}
	case event.RequestArrived:
		effects = append(effects, s.requestRefusalLines(ev, body, effects)...)
	case event.AttemptFinished:
		effects = append(effects, s.reachabilityLines(ev, after, body)...)
	}
	for _, e := range effects {
		if refusal, ok := e.(effect.RefuseAttempt); ok {
			effects = append(effects, attemptRefusalLine(refusal))
		}
	}
	return effects
}

// routineRefusals are the causes of refusals that are frequent on a busy fleet. They are logged at a lower level.
var routineRefusals = map[fleet.Cause]bool{fleet.Overloaded: true, fleet.Failing: true}

func attemptRefusalLine(e effect.RefuseAttempt) effect.Effect {
	level := effect.Warn
	if routineRefusals[e.Problem.Cause] {
		level = effect.Info
	}
	load := e.Report.Load
	return effect.WriteLog{Level: level, Component: "admission", Message: "attempt refused", Fields: []effect.LogField{
		{Name: "Request", Value: string(e.Attempt.Request())},
		{Name: "Attempt", Value: string(e.Attempt)},
		{Name: "Target", Value: string(e.Report.Target)},
		{Name: "Cause", Value: string(e.Problem.Cause)},
		{Name: "Verdict", Value: e.Problem.Verdict},
		{Name: "Lent", Value: e.Report.BudgetCharged},
		{Name: "InFlight", Value: load.InFlight},
		{Name: "Queued", Value: load.Queued},
		{Name: "Slots", Value: load.Slots},
		{Name: "Health", Value: e.Report.Health},
		{Name: "Revision", Value: uint64(e.Report.Revision)},
	}}
}

func runLine(ev event.Event, run admission.Run, outcome fleet.Outcome, after State) effect.Effect {
	line := effect.WriteLog{Level: effect.Info, Component: "admission", Message: "run ended", Fields: []effect.LogField{
		{Name: "Request", Value: string(run.Attempt.ID.Request())},
		{Name: "Attempt", Value: string(run.Attempt.ID)},
		{Name: "Target", Value: string(run.Attempt.Target)},
		{Name: "Instance", Value: run.Instance},
		{Name: "Elapsed", Value: ev.At.Sub(run.Started)},
		{Name: "Status", Value: outcome.Status},
		{Name: "Health", Value: after.health.Health(run.Attempt.Target)},
	}}
	if problem, failed := outcome.Problem.Get(); failed {
		line.Level, line.Message = effect.Warn, "run failed"
		line.Fields = append(line.Fields,
			effect.LogField{Name: "Cause", Value: string(problem.Cause)},
			effect.LogField{Name: "Verdict", Value: problem.Verdict},
			effect.LogField{Name: "Detail", Value: problem.Detail})
	}
	return line
}

// requestRefusalLines returns the log line about a request that was refused on arrival.
func (s State) requestRefusalLines(ev event.Event, body event.RequestArrived, effects []effect.Effect) []effect.Effect {
	for _, e := range effects {
		refusal, refused := e.(effect.RefuseRequest)
		if !refused || !refusedOnArrival[refusal.Problem.Cause] {
			continue
		}
		return []effect.Effect{effect.WriteLog{
			Level: effect.Warn, Component: "request", Message: "request refused on arrival", Fields: []effect.LogField{
				{Name: "Request", Value: string(refusal.Request)},
				{Name: "Host", Value: body.Request.Host},
				{Name: "Path", Value: body.Request.Path},
				{Name: "Cause", Value: string(refusal.Problem.Cause)},
				{Name: "Verdict", Value: refusal.Problem.Verdict},
				{Name: "Detail", Value: refusal.Problem.Detail},
				{Name: "Parent", Value: string(refusal.Parent)},
				{Name: "Revision", Value: uint64(s.Revision())},
				{Name: "RevisionAge", Value: s.tables.Age(ev.At).Round(time.Millisecond)},
				{Name: "Newest", Value: uint64(s.tables.NewestRevision())},
			},
		}}
	}
	return nil
}

// refusedOnArrival holds the causes for which a request is refused before a target is selected.
var refusedOnArrival = map[fleet.Cause]bool{
	fleet.NoTables: true, fleet.NoRoute: true, fleet.Unauthorized: true, fleet.UnknownParent: true, fleet.OverCap: true,
	fleet.Quarantined: true,
}

// healthLines returns the log line about a target whose health has changed.
func (s State) healthLines(after State, id fleet.TargetID) []effect.Effect {
	health := after.health.Health(id)
	if s.health.Health(id) == health {
		return nil
	}
	failing, shedding := after.health.Scores(id)
	line := effect.WriteLog{Level: effect.Info, Component: "health", Message: healthMessages[health], Fields: []effect.LogField{
		{Name: "Target", Value: string(id)},
		{Name: "Health", Value: health},
		{Name: "Score", Value: failing},
		{Name: "ShedScore", Value: shedding},
	}}
	if health != fleet.Healthy {
		line.Level = effect.Warn
	}
	return []effect.Effect{line}
}

// healthMessages holds the log message for each health that a target can change to.
var healthMessages = map[fleet.Health]string{
	fleet.Healthy:  "target trusted again",
	fleet.Shedding: "target sheds requests, asked after others",
	fleet.Silent:   "target silent, takes idempotent requests",
	fleet.Faulty:   "target suspect, takes only trials",
}

// reachabilityLines returns the log line about a node that has become unreachable or reachable again.
func (s State) reachabilityLines(ev event.Event, after State, body event.AttemptFinished) []effect.Effect {
	if s.attempts.AllNodesReachable() && after.attempts.AllNodesReachable() {
		return nil
	}
	node, known := s.attempts.NodeOf(body.Attempt)
	if !known {
		return nil
	}
	before, until := s.attempts.AvoidedUntil(node), after.attempts.AvoidedUntil(node)
	line := effect.WriteLog{Level: effect.Info, Component: "peer", Message: "node reached again"}
	avoided := until.After(before) && until.After(ev.At)
	if !avoided && (before.IsZero() || !until.IsZero()) {
		return nil
	}
	line.Fields = []effect.LogField{{Name: "Peer", Value: string(node)}, {Name: "Request", Value: string(body.Attempt.Request())}}
	if avoided {
		line.Level, line.Message = effect.Warn, "node not reached"
		line.Fields = append(line.Fields, effect.LogField{Name: "Avoided", Value: until.Sub(ev.At).Round(time.Millisecond)})
		if problem, failed := body.Outcome.Problem.Get(); failed {
			line.Fields = append(line.Fields, effect.LogField{Name: "Error", Value: problem.Detail})
		}
	}
	return []effect.Effect{line}
}
