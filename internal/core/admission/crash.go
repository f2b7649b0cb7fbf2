package admission

import (
	"time"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/fleet"
)

// crashRetention is how long the end of a process is remembered: the runs that it ended are reported one after the other, and
// the heartbeat of its successor may come between them.
const crashRetention = maxDeadline

// brokenRunWindow is how long a broken run counts as in flight at a crash that is noticed after it: until the successor's first
// heartbeat, when the successor took the port before the dial that tells a crash.
const brokenRunWindow = 3 * time.Second

// Crash is the death of a target's process.
type Crash struct {
	Target fleet.TargetID
	// InFlight are the fingerprints of the requests that ran when the process died.
	InFlight []fleet.Fingerprint
	// First is true once per crash; the runs of the same crash that end later have it false.
	First bool
}

// crashRecord is what is remembered of a process that died, or on which runs broke off.
type crashRecord struct {
	instance string
	at       time.Time
	inFlight []fleet.Fingerprint
	// reported means that the process is known to have died.
	reported bool
}

// runEnded notes what a finished run says of the target's process, before the run is removed.
func (s State) runEnded(
	ctx Context, run Run, outcome fleet.Outcome,
) (State, []effect.Effect, fleet.Option[Crash]) {
	problem, failed := outcome.Problem.Get()
	switch {
	case outcome.TargetCrashed && outcome.Verdict() != fleet.NotRun:
		s, crash := s.processDied(ctx.Now, run.Attempt.Target, run.Instance)
		s, effects := s.markUnreachable(ctx.Now, run.Attempt.Target, run.Instance)
		return s, effects, fleet.Some(crash)
	case outcome.TargetCrashed, failed && problem.Cause == fleet.Unreachable:
		s, effects := s.markUnreachable(ctx.Now, run.Attempt.Target, run.Instance)
		return s, effects, fleet.Option[Crash]{}
	case failed && problem.Cause == fleet.Broken:
		return s.runBroke(ctx.Now, run)
	default:
		return s, nil, fleet.Option[Crash]{}
	}
}

// pendingCrashCheck is a run that broke off, of which it is not known yet whether the target's process died.
type pendingCrashCheck struct {
	run     Run
	outcome fleet.Outcome
	at      time.Time
}

// CrashChecked takes in whether the target's process died when a run broke off. The result is absent for any other run.
func (s State) CrashChecked(ctx Context, id fleet.AttemptID, died bool) (State, []effect.Effect, fleet.Option[FinishedRun]) {
	b, ok := s.pendingCrashChecks.Get(id)
	if !ok {
		return s, nil, fleet.Option[FinishedRun]{}
	}
	s.pendingCrashChecks = s.pendingCrashChecks.Without(id)
	finished := FinishedRun{Run: b.run, Outcome: b.outcome}
	if !died {
		return s, nil, fleet.Some(finished)
	}
	s, crash := s.processDied(ctx.Now, b.run.Attempt.Target, b.run.Instance)
	s, effects := s.markUnreachable(ctx.Now, b.run.Attempt.Target, b.run.Instance)
	finished.Crash = fleet.Some(crash)
	return s, effects, fleet.Some(finished)
}

// processDied notes the death of a process, with everything that ran on it or broke off on it shortly before.
func (s State) processDied(now time.Time, id fleet.TargetID, instance string) (State, Crash) {
	c, known := s.crashes.Get(id)
	if known && c.instance == instance && c.reported {
		return s, Crash{Target: id, InFlight: c.inFlight}
	}
	if !known || c.instance != instance || now.Sub(c.at) > brokenRunWindow {
		c = crashRecord{instance: instance}
	}
	c.at, c.reported = now, true
	c.inFlight = append(c.inFlight[:len(c.inFlight):len(c.inFlight)], s.fingerprintsOn(id, instance)...)
	s.crashes = s.crashes.With(id, c)
	return s, Crash{Target: id, InFlight: c.inFlight, First: true}
}

// fingerprintsOn returns the fingerprints of the requests that run on a process.
func (s State) fingerprintsOn(id fleet.TargetID, instance string) []fleet.Fingerprint {
	var fingerprints []fleet.Fingerprint
	for _, run := range s.running.All() {
		if run.Attempt.Target == id && run.Instance == instance {
			fingerprints = append(fingerprints, run.Attempt.Fingerprint)
		}
	}
	return fingerprints
}

// runBroke remembers a run that runBroke off while its process seemed alive, or counts it to a crash that is known already.
func (s State) runBroke(now time.Time, run Run) (State, []effect.Effect, fleet.Option[Crash]) {
	id := run.Attempt.Target
	c, known := s.crashes.Get(id)
	if known && c.instance == run.Instance && c.reported {
		return s, nil, fleet.Some(Crash{Target: id, InFlight: c.inFlight})
	}
	if !known || c.instance != run.Instance || now.Sub(c.at) > brokenRunWindow {
		c = crashRecord{instance: run.Instance}
	}
	c.at = now
	c.inFlight = append(c.inFlight[:len(c.inFlight):len(c.inFlight)], run.Attempt.Fingerprint)
	s.crashes = s.crashes.With(id, c)
	return s, nil, fleet.Option[Crash]{}
}

// markUnreachable takes a target out of use until its next heartbeat, and refuses what waits for it.
func (s State) markUnreachable(now time.Time, id fleet.TargetID, instance string) (State, []effect.Effect) {
	l, ok := s.targets.Get(id)
	if !ok || l.unreachable || l.heartbeat.Instance != instance {
		return s, nil
	}
	l.unreachable = true
	s.targets = s.targets.With(id, l)
	s, effects := s.refuseQueued(now, id, fleet.Unreachable)
	return s, append(effects, logLine(effect.Warn, "target takes no connections", id))
}
