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
	members, detectors := s.membership, s.detection
	return ejection.Context{
		Now:          ev.At,
		Random:       ev.Random,
		Tables:       s.tables.Current(),
		Directory:    s.membership.Directory(),
		LocalTargets: s.admission.Targets(),
		PeerAddress:  func(id fleet.NodeID) (string, bool) { return members.PeerAddress(id) },
		Evidence:     detectors.Evidence,
	}
}

func (s State) admissionContext(ev event.Event) admission.Context {
	now, ejections, healths, directory := ev.At, s.ejection, s.health, s.membership.Directory()
	ctx := admission.Context{
		Now:          now,
		ServiceState: func(id fleet.TargetID) admission.ServiceState { return ejections.ServiceState(now, id) },
		PoolSize:     func(name fleet.PoolName) int { return len(directory.Candidates(name)) },
		Health:       healths.Health,
		AllowsTrial:  func(id fleet.TargetID) bool { return healths.AllowsTrial(now, id) },
	}
	if suspects := s.quarantine.Suspects(); suspects.Any() {
		ctx.Quarantined = func(f fleet.Fingerprint) bool { return suspects.Quarantined(now, f) }
		ctx.Suspected = func(f fleet.Fingerprint) bool { return suspects.Suspected(now, f) }
	}
	return ctx
}

func (s State) decideAdmission(ev event.Event, body event.AdmissionRequested) (State, []effect.Effect) {
	service := s.ejection.ServiceState(ev.At, body.Attempt.Target)
	next, effects := s.admission.AttemptArrived(s.admissionContext(ev), body.Attempt)
	s.admission = next
	if service == admission.TrialDue && slices.ContainsFunc(effects, startsRun) {
		s.ejection = s.ejection.TrialStarted(ev.At, body.Attempt.Target)
	}
	return s, s.completeReports(ev.At, effects)
}

func startsRun(e effect.Effect) bool {
	_, ok := e.(effect.StartRun)
	return ok
}

// completeReports fills in the target reports of refused attempts.
func (s State) completeReports(now time.Time, effects []effect.Effect) []effect.Effect {
	for i, e := range effects {
		if refusal, ok := e.(effect.RefuseAttempt); ok {
			refusal.Report = s.completeReport(now, refusal.Report)
			effects[i] = refusal
		}
	}
	return effects
}

// completeReport adds the data of the components other than admission to a target report.
func (s State) completeReport(now time.Time, report fleet.TargetReport) fleet.TargetReport {
	report.P95 = s.detection.P95(report.Target, report.Class)
	report.Ejected = s.ejection.Ejected(now, report.Target)
	report.Health = s.health.Health(report.Target)
	report.Quarantined = s.quarantine.RecentQuarantines(now)
	return report
}

func (s State) cancelAdmission(ev event.Event, body event.AdmissionCanceled) (State, []effect.Effect) {
	next, effects := s.admission.AttemptCanceled(s.admissionContext(ev), body.Attempt)
	s.admission = next
	return s, s.completeReports(ev.At, effects)
}

// finishRun frees the run's slot, records its outcome and passes the run to the outlier detector. If a crash check is pending,
// the detector receives the run after the check.
func (s State) finishRun(ev event.Event, body event.RunFinished) (State, []effect.Effect) {
	next, effects, result := s.admission.RunFinished(s.admissionContext(ev), body.Attempt, body.Outcome)
	s.admission = next
	finished, ok := result.Get()
	if !ok {
		return s, effects
	}
	run := finished.Run
	s.ejection = s.ejection.TrialFinished(run.Attempt.Target)
	s.health = s.health.RunFinished(ev.At, run.Attempt.Target, body.Attempt, s.evidenceOf(ev.At, run, body.Outcome), ev.At.Sub(run.Started))
	if body.Outcome.Verdict() == fleet.Ran {
		s.quarantine = s.quarantine.RequestSucceeded(ev.At, run.Attempt.Fingerprint)
	} else {
		s = s.publishTargets(ev)
	}
	if !body.Outcome.CrashCheckPending {
		var more []effect.Effect
		s, more = s.attributeFailure(ev, finished)
		effects = append(effects, more...)
	}
	report := s.completeReport(ev.At, s.admission.Report(ev.At, run.Attempt))
	effects = append(effects, effect.AttachRunReport{Attempt: body.Attempt, Report: report})
	return s, s.completeReports(ev.At, effects)
}

// crashChecked completes a run that ended with a pending crash check.
func (s State) crashChecked(ev event.Event, body event.CrashChecked) (State, []effect.Effect) {
	next, effects, result := s.admission.CrashChecked(s.admissionContext(ev), body.Attempt, body.TargetCrashed)
	s.admission = next
	finished, ok := result.Get()
	if !ok {
		return s, effects
	}
	s = s.publishTargets(ev)
	s, more := s.attributeFailure(ev, finished)
	return s, s.completeReports(ev.At, append(effects, more...))
}

// attributeFailure decides whether a crash may be the fault of a request. If not, the run counts for the outlier detection of
// the target.
func (s State) attributeFailure(ev event.Event, finished admission.FinishedRun) (State, []effect.Effect) {
	crash, crashed := finished.Crash.Get()
	s, effects := s.recordCrash(ev, finished.Crash)
	if crashed && s.anySuspected(ev.At, crash.InFlight) {
		return s, effects
	}
	s, more := s.detectOutlier(ev, finished.Run, finished.Outcome)
	return s, append(effects, more...)
}

// recordRunStarts informs the health component about the runs that started in a step.
func (s State) recordRunStarts(now time.Time, effects []effect.Effect) State {
	for _, e := range effects {
		if run, ok := e.(effect.StartRun); ok {
			s.health = s.health.RunStarted(now, run.Attempt.Target, run.Attempt.ID)
		}
	}
	return s
}

// recordCrash passes the requests that were in flight at a crash to the quarantine component, once per crash.
func (s State) recordCrash(ev event.Event, crash fleet.Option[admission.Crash]) (State, []effect.Effect) {
	c, crashed := crash.Get()
	if !crashed || !c.First {
		return s, nil
	}
	next, effects := s.quarantine.TargetCrashed(s.quarantineContext(ev), c.Target, c.InFlight)
	s.quarantine = next
	return s, effects
}

// anySuspected reports whether a crash may be the fault of a request that was in flight rather than of the target.
func (s State) anySuspected(now time.Time, inFlight []fleet.Fingerprint) bool {
	suspects := s.quarantine.Suspects()
	return slices.ContainsFunc(inFlight, func(f fleet.Fingerprint) bool { return suspects.Suspected(now, f) })
}

// firstServerError is the lowest HTTP status that counts as a failure of the target.
const firstServerError = 500

// detectOutlier passes a run to the outlier detector and acts on the judgement. Runs of quarantined requests, runs that failed
// because of a child request or of their ingress, and runs of which nothing was sent are no evidence about the target.
func (s State) detectOutlier(ev event.Event, run admission.Run, outcome fleet.Outcome) (State, []effect.Effect) {
	problem, failed := outcome.Problem.Get()
	canceled := problem.Cause == fleet.Canceled
	if s.quarantine.Suspects().Quarantined(ev.At, run.Attempt.Fingerprint) || s.failedByChild(run, outcome) ||
		problem.Cause == fleet.BodyStalled || notSent(problem) {
		return s, nil
	}
	pool, _ := s.tables.Current().Pool(run.Attempt.Pool)
	target := run.Attempt.Target
	next, judgement := s.detection.RunFinished(ev.At, detection.Sample{
		Target:                target,
		Class:                 run.Attempt.Class,
		Failed:                !canceled && (failed || outcome.Status >= firstServerError),
		Canceled:              canceled,
		Duration:              outcome.Duration,
		Baseline:              run.Attempt.Baseline,
		FalseEjectionInterval: pool.FalseEjectionInterval,
		Ejected:               s.ejection.Ejected(ev.At, target),
	})
	s.detection = next
	act, ok := judgementActions[judgement]
	if !ok {
		return s, nil
	}
	nextEjection, effects := act(s.ejection, s.ejectionContext(ev), target)
	s.ejection = nextEjection
	return s, effects
}

// judgementActions maps the judgement of the outlier detector to the resulting action of the ejection component.
var judgementActions = map[detection.Judgement]func(
	ejection.State, ejection.Context, fleet.TargetID,
) (ejection.State, []effect.Effect){
	detection.Failing:   ejection.State.TargetFailing,
	detection.Recovered: ejection.State.TargetRecovered,
	detection.Relapsed:  ejection.State.TargetRelapsed,
}

// heartbeatReceived handles a heartbeat of a target. Evidence about an earlier process of the target is discarded.
func (s State) heartbeatReceived(ev event.Event, body event.HeartbeatReceived) (State, []effect.Effect) {
	next, effects, result := s.admission.HeartbeatReceived(s.admissionContext(ev), body.Heartbeat)
	s.admission = next
	if result.NewProcess {
		s.detection = s.detection.Forget(result.Target)
		s.health = s.health.Forget(result.Target)
	}
	s, more := s.recordCrash(ev, result.Crash)
	effects = append(effects, more...)
	s, reply := s.publishTargets(ev).acknowledge(ev.At, body.AckID, body.Heartbeat.State == fleet.TargetDraining)
	return s, append(s.completeReports(ev.At, effects), reply...)
}

func (s State) targetWithdrew(ev event.Event, body event.TargetWithdrew) (State, []effect.Effect) {
	next, effects := s.admission.TargetWithdrew(ev.At, body.Name)
	s.admission = next
	s, reply := s.publishTargets(ev).acknowledge(ev.At, body.AckID, true)
	return s, append(s.completeReports(ev.At, effects), reply...)
}

// restoreTombstones restores the tombstones in member records of this node's earlier processes.
func (s State) restoreTombstones(ev event.Event, records []fleet.Member) (State, []effect.Effect) {
	next, effects := s.admission.TombstonesRestored(ev.At, s.membership.EarlierTombstones(records))
	s.admission = next
	return s.publishTargets(ev), s.completeReports(ev.At, effects)
}

// publishTargets updates the targets and tombstones in this node's member record if they have changed.
func (s State) publishTargets(ev event.Event) State {
	targets := s.admission.Targets()
	for i, t := range targets {
		targets[i].Ejected = s.ejection.Ejected(ev.At, t.ID)
	}
	tombstones := s.admission.Tombstones(ev.At)
	published := s.membership.Self()
	if slices.Equal(targets, published.Targets) && slices.Equal(tombstones, published.Tombstones) {
		return s
	}
	for _, t := range published.Targets {
		if !s.admission.HasTarget(t.ID) {
			s.detection = s.detection.Forget(t.ID)
			s.health = s.health.Forget(t.ID)
		}
	}
	s.membership = new(s.membership.TargetsChanged(targets, tombstones))
	return s
}
