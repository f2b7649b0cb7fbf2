package node

import (
	"slices"
	"time"

	"jayfold.dev/jayfold/internal/core/admission"
	"jayfold.dev/jayfold/internal/core/detection"
	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/ejection"
	"jayfold.dev/jayfold/internal/core/event"
	"jayfold.dev/jayfold/internal/core/fleet"
)

func (s State) ejectionContext(ev event.Event) ejection.Context {
	return ejection.Context{
		Now:         ev.At,
		Random:      ev.Random,
		Tables:      s.tables.Current(),
		Directory:   s.membership.Directory(),
		Local:       s.admission.Targets(),
		PeerAddress: s.membership.PeerAddress,
		Evidence:    s.detection.Evidence,
	}
}

func (s State) admissionAsked(ev event.Event, body event.AdmissionAsked) (State, []effect.Effect) {
	gate := s.ejection.Gate(ev.At, body.Attempt.Target)
	next, effects := s.admission.Asked(ev.At, body.Attempt, gate)
	s.admission = next
	if gate == admission.Trial && slices.ContainsFunc(effects, startsRun) {
		s.ejection = s.ejection.Tried(ev.At, body.Attempt.Target)
	}
	return s, s.completeReports(ev.At, effects)
}

func startsRun(e effect.Effect) bool {
	_, ok := e.(effect.Run)
	return ok
}

// completeReports adds to the reports on their way to an ingress what the other parts know.
func (s State) completeReports(now time.Time, effects []effect.Effect) []effect.Effect {
	for i, e := range effects {
		if refusal, ok := e.(effect.RefuseAttempt); ok {
			refusal.Report = s.completeReport(now, refusal.Report)
			effects[i] = refusal
		}
	}
	return effects
}

func (s State) completeReport(now time.Time, report fleet.Report) fleet.Report {
	report.P95 = s.detection.P95(report.Target, report.Class)
	report.Ejected = s.ejection.Ejected(now, report.Target)
	report.Quarantine = s.quarantine.Recent()
	return report
}

func (s State) admissionCanceled(ev event.Event, body event.AdmissionCanceled) (State, []effect.Effect) {
	next, effects := s.admission.Canceled(ev.At, body.Attempt)
	s.admission = next
	return s, s.completeReports(ev.At, effects)
}

// runFinished frees the slot, feeds the detector and carries out its judgement.
func (s State) runFinished(ev event.Event, body event.RunFinished) (State, []effect.Effect) {
	next, effects, finished := s.admission.RunFinished(ev.At, body.Attempt, body.Outcome)
	s.admission = next
	run, ok := finished.Get()
	if !ok {
		return s, effects
	}
	s.ejection = s.ejection.TrialFinished(run.Attempt.Target)
	if body.Outcome.Crashed {
		var crash []effect.Effect
		s, crash = s.targetCrashed(ev, run)
		effects = append(effects, crash...)
	} else {
		s.quarantine = s.quarantine.Succeeded(ev.At, run.Attempt.Fingerprint)
	}
	s, judged := s.judge(ev, run, body.Outcome)
	effects = append(effects, judged...)
	report := s.completeReport(ev.At, s.admission.Report(run.Attempt))
	effects = append(effects, effect.ReportRun{Attempt: body.Attempt, Report: report})
	return s, s.completeReports(ev.At, effects)
}

func (s State) targetCrashed(ev event.Event, run admission.Run) (State, []effect.Effect) {
	inFlight := []fleet.Fingerprint{run.Attempt.Fingerprint}
	next, effects := s.quarantine.Crashed(ev.At, run.Attempt.Target, inFlight)
	s.quarantine = next
	return s, effects
}

// firstServerError is the lowest HTTP status of an answer that counts as a failure of the target.
const firstServerError = 500

// judge feeds the detector. Cancelled runs and crashes by a quarantined request say nothing of the target.
func (s State) judge(ev event.Event, run admission.Run, outcome fleet.Outcome) (State, []effect.Effect) {
	problem, failed := outcome.Problem.Get()
	if problem.Cause == fleet.Canceled || s.quarantine.Has(ev.At, run.Attempt.Fingerprint) {
		return s, nil
	}
	pool, _ := s.tables.Current().Pool(run.Attempt.Pool)
	target := run.Attempt.Target
	next, judgement := s.detection.Observed(ev.At, detection.Sample{
		Target:                target,
		Class:                 run.Attempt.Class,
		Failed:                failed || outcome.Status >= firstServerError,
		Took:                  outcome.Took,
		Baseline:              run.Attempt.Baseline,
		FalseEjectionInterval: pool.FalseEjectionInterval,
		Ejected:               s.ejection.Ejected(ev.At, target),
	})
	s.detection = next
	decide, ok := judgements[judgement]
	if !ok {
		return s, nil
	}
	ejected, effects := decide(s.ejection, s.ejectionContext(ev), target)
	s.ejection = ejected
	return s, effects
}

// judgements maps the detector's judgement to what the ejection part does about it.
var judgements = map[detection.Judgement]func(
	ejection.State, ejection.Context, fleet.TargetID,
) (ejection.State, []effect.Effect){
	detection.Failing:   ejection.State.Failing,
	detection.Recovered: ejection.State.Recovered,
	detection.Relapsed:  ejection.State.Relapsed,
}

func (s State) targetAnnounced(ev event.Event, body event.TargetAnnounced) (State, []effect.Effect) {
	next, effects := s.admission.Announced(ev.At, body.Announcement)
	s.admission = next
	return s.publishTargets(ev), s.completeReports(ev.At, effects)
}

func (s State) targetWithdrawn(ev event.Event, body event.TargetWithdrawn) (State, []effect.Effect) {
	next, effects := s.admission.Withdrawn(ev.At, body.Name)
	s.admission = next
	return s.publishTargets(ev), s.completeReports(ev.At, effects)
}

// publishTargets puts the targets of this host into the node's member record when they have changed.
func (s State) publishTargets(ev event.Event) State {
	targets := s.admission.Targets()
	for i, t := range targets {
		targets[i].Ejected = s.ejection.Ejected(ev.At, t.ID)
	}
	if !slices.Equal(targets, s.membership.Self().Targets) {
		s.membership = s.membership.TargetsChanged(targets)
	}
	return s
}
