package admission

import (
	"time"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/fleet"
)

// crashRetention is the time for which a crash is remembered. The runs that it ended finish one after the other, and the first
// heartbeat of the next process may arrive between them.
const crashRetention = maxAttemptTimeout

// brokenRunWindow is the time for which a run with a broken connection counts as in flight at a crash that is detected later. If
// the next process takes over the port before the dial that would detect the crash, only its first heartbeat reveals the crash.
const brokenRunWindow = 3 * time.Second

// Crash is a crash of a target's process.
type Crash struct {
	Target fleet.TargetID
	// InFlight lists the fingerprints of the requests that were running when the process died.
	InFlight []fleet.Fingerprint
	// First is true when a crash is first reported, and false when runs ended by the same crash finish later.
	First bool
}

// crashRecord describes a process that crashed or on which connections of runs have broken.
type crashRecord struct {
	instance string
	at       time.Time
	inFlight []fleet.Fingerprint
	// died is true if the process is known to have died.
	died bool
}

// runEnded updates the state of the target's process from the outcome of a run, before the run is removed.
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
		s, crash := s.unreachableAfterBreak(ctx.Now, run)
		s, effects := s.markUnreachable(ctx.Now, run.Attempt.Target, run.Instance)
		return s, effects, crash
	case failed && problem.Cause == fleet.Broken:
		return s.connectionBroke(ctx.Now, run)
	default:
		return s, nil, fleet.Option[Crash]{}
	}
}

// pendingCrashCheck is a run with a broken connection for which it is not known yet whether the target's process died.
type pendingCrashCheck struct {
	run     Run
	outcome fleet.Outcome
	at      time.Time
}

// CrashChecked records whether the target's process died when the connection of a run broke. The result is absent if no check is
// pending for the attempt.
func (s State) CrashChecked(ctx Context, id fleet.AttemptID, died bool) (State, []effect.Effect, fleet.Option[FinishedRun]) {
	check, ok := s.pendingCrashChecks.Get(id)
	if !ok {
		return s, nil, fleet.Option[FinishedRun]{}
	}
	s.pendingCrashChecks = s.pendingCrashChecks.Without(id)
	finished := FinishedRun{Run: check.run, Outcome: check.outcome}
	if !died {
		return s, nil, fleet.Some(finished)
	}
	s, crash := s.processDied(ctx.Now, check.run.Attempt.Target, check.run.Instance)
	s, effects := s.markUnreachable(ctx.Now, check.run.Attempt.Target, check.run.Instance)
	finished.Crash = fleet.Some(crash)
	return s, effects, fleet.Some(finished)
}

// processDied records the death of a process, with the requests that were running on it or whose connection broke shortly before.
func (s State) processDied(now time.Time, id fleet.TargetID, instance string) (State, Crash) {
	c, known := s.crashes.Get(id)
	if known && c.instance == instance && c.died {
		return s, Crash{Target: id, InFlight: c.inFlight}
	}
	if !known || c.instance != instance || now.Sub(c.at) > brokenRunWindow {
		c = crashRecord{instance: instance}
	}
	c.at, c.died = now, true
	c.inFlight = append(c.inFlight[:len(c.inFlight):len(c.inFlight)], s.fingerprintsOn(id, instance)...)
	s.crashes = s.crashes.With(id, c)
	return s, Crash{Target: id, InFlight: c.inFlight, First: true}
}

// fingerprintsOn returns the fingerprints of the requests that are running on a process.
func (s State) fingerprintsOn(id fleet.TargetID, instance string) []fleet.Fingerprint {
	var fingerprints []fleet.Fingerprint
	for _, run := range s.running.All() {
		if run.Attempt.Target == id && run.Instance == instance {
			fingerprints = append(fingerprints, run.Attempt.Fingerprint)
		}
	}
	return fingerprints
}

// connectionBroke records a run whose connection broke while its process seemed alive, or attributes the run to a known crash.
func (s State) connectionBroke(now time.Time, run Run) (State, []effect.Effect, fleet.Option[Crash]) {
	id := run.Attempt.Target
	c, known := s.crashes.Get(id)
	if known && c.instance == run.Instance && c.died {
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

// unreachableAfterBreak records the death of a process that takes no connection although one of its connections broke recently. A process
// that is ending may accept connections for longer than the check for a crash waits.
func (s State) unreachableAfterBreak(now time.Time, run Run) (State, fleet.Option[Crash]) {
	id := run.Attempt.Target
	c, known := s.crashes.Get(id)
	if !known || c.instance != run.Instance || c.died || now.Sub(c.at) > brokenRunWindow {
		return s, fleet.Option[Crash]{}
	}
	if l, _ := s.targets.Get(id); l.heartbeat.State == fleet.TargetDraining {
		return s, fleet.Option[Crash]{}
	}
	// The run itself has not reached the process.
	s.running = s.running.Without(run.Attempt.ID)
	s, crash := s.processDied(now, id, run.Instance)
	return s, fleet.Some(crash)
}

// markUnreachable marks a target as unreachable until its next heartbeat and refuses the attempts in its queue.
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
