package admission

import (
	"time"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/fleet"
)

// Run is the execution of an attempt on a target on this host.
type Run struct {
	Attempt fleet.Attempt
	Started time.Time
	// LastSign is the last time at which the target showed that it works on the run: the start, a child request or the response to
	// one.
	LastSign time.Time
	// Instance identifies the target's process.
	Instance string
	// ChildRequestFailed is true if a child request that the target made to serve the attempt has failed.
	ChildRequestFailed bool
}

// FinishedRun is a run that has ended.
type FinishedRun struct {
	Run     Run
	Outcome fleet.Outcome
	// Crash is present if the target's process died while the attempt was running.
	Crash fleet.Option[Crash]
}

func (s State) startRun(ctx Context, l localTarget, attempt fleet.Attempt) (State, []effect.Effect) {
	l.running = l.running.With(attempt.ID)
	l.fair = l.fair.withStart(attempt, l.expectedWork(attempt))
	l.retryBudget = l.retryBudget.withAttempt(ctx.Now, s.budgetParamsFor(ctx, attempt), attempt)
	s.targets = s.targets.With(attempt.Target, l)
	s.running = s.running.With(attempt.ID, Run{
		Attempt:  attempt,
		Started:  ctx.Now,
		LastSign: ctx.Now,
		Instance: l.heartbeat.Instance,
	})
	s.seen = s.seen.withStarted(ctx.Now, attempt.ID)
	return s, []effect.Effect{effect.StartRun{
		Attempt:     attempt,
		Address:     l.heartbeat.Address,
		Connections: l.heartbeat.Connections,
	}}
}

// startQueued starts queued attempts until the target has no free slot, and refuses those that must not run any more.
func (s State) startQueued(ctx Context, id fleet.TargetID) (State, []effect.Effect) {
	l, _ := s.targets.Get(id)
	var effects []effect.Effect
	for _, q := range l.inQueueOrder(ctx.Now) {
		attempt := q.attempt
		if l.running.Len() >= l.slots {
			break
		}
		cause, refused := s.refusalCause(ctx, l, attempt)
		if !refused && !s.canStart(ctx, l, attempt) {
			continue
		}
		var more []effect.Effect
		s, l = s.dequeue(l, attempt)
		switch {
		case refused:
			more = s.refuse(ctx.Now, attempt, cause)
		case l.tooLate(ctx.Now, attempt, 0):
			more = s.refuse(ctx.Now, attempt, fleet.Overloaded)
		default:
			s, more = s.startRun(ctx, l, attempt)
			l, _ = s.targets.Get(id)
		}
		effects = append(effects, more...)
	}
	return s, effects
}

// RunFinished frees the slot of a run and starts queued attempts. The result is absent if the attempt was not running here.
func (s State) RunFinished(
	ctx Context, id fleet.AttemptID, outcome fleet.Outcome,
) (State, []effect.Effect, fleet.Option[FinishedRun]) {
	run, ok := s.running.Get(id)
	if !ok {
		return s, nil, fleet.Option[FinishedRun]{}
	}
	s, effects, crash := s.runEnded(ctx, run, outcome)
	s.running = s.running.Without(id)
	l, ok := s.targets.Get(run.Attempt.Target)
	if ok && l.heartbeat.Instance == run.Instance {
		l.running = l.running.Without(id)
		if duration, complete := serviceTime(ctx.Now, run, outcome); complete {
			l.serviceTimes = l.serviceTimes.with(run.Attempt.Class, duration)
			if s.byCost() {
				l.costs = l.costs.with(run.Attempt.Class, duration)
			}
		}
		s.targets = s.targets.With(run.Attempt.Target, l)
	}
	if problem, _ := outcome.Problem.Get(); problem.Cause == fleet.BodyStalled {
		var refused []effect.Effect
		s, refused = s.refuseQueuedFrom(ctx.Now, run.Attempt.Ingress)
		effects = append(effects, refused...)
	}
	s, started := s.startQueued(ctx, run.Attempt.Target)
	if outcome.CrashCheckPending {
		s.pendingCrashChecks = s.pendingCrashChecks.With(id, pendingCrashCheck{run: run, outcome: outcome, at: ctx.Now})
	}
	return s, append(effects, started...), fleet.Some(FinishedRun{Run: run, Outcome: outcome, Crash: crash})
}

// serviceTime returns the time for which a run occupied its slot. It reports false for runs that failed before their deadline,
// since their duration does not show how long a complete run takes.
func serviceTime(now time.Time, run Run, outcome fleet.Outcome) (time.Duration, bool) {
	problem, failed := outcome.Problem.Get()
	if failed && problem.Cause != fleet.DeadlinePassed {
		return 0, false
	}
	if outcome.Duration > 0 {
		return outcome.Duration, true
	}
	return now.Sub(run.Started), true
}
