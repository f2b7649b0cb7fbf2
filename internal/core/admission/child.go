package admission

import (
	"slices"
	"strings"
	"time"

	"jayfold.dev/jayfold/internal/core/fleet"
)

// parentDraws is the number of equally likely draws for the origin of a call that does not name it.
const parentDraws = 1 << 16

// ChildRequest is a request that may come from a target of this host, which makes it while it runs another one.
type ChildRequest struct {
	// Parent is the request that the call names as its origin; empty where it names none.
	Parent fleet.RequestID
	// Internal means that its route is for calls of targets.
	Internal bool
}

// ParentRetried reports whether a request counts as a call of a repeated one, or of a call of one. Targets that have once named a
// request that ran here name it in all of their calls. Of those that do not, it is not known which of the requests on this
// host made a call, so that it is drawn by the share of the repeated ones, which is right on average.
func (s State) ParentRetried(now time.Time, call ChildRequest, random uint64) (State, bool) {
	if runs := s.runsOf(call.Parent); len(runs) > 0 {
		s.parentsNamed = true
		return s, slices.ContainsFunc(runs, func(r Run) bool { return countsAsRetry(r.Attempt) })
	}
	if s.parentsNamed || !call.Internal {
		return s, false
	}
	return s, float64(random%parentDraws) < s.retryShare(now)*parentDraws
}

// ChildRequestFailed notes that a call failed which a request that runs on this host made: what becomes of the request then says nothing of
// its target.
func (s State) ChildRequestFailed(parent fleet.RequestID) State {
	for _, run := range s.runsOf(parent) {
		run.ChildRequestFailed = true
		s.running = s.running.With(run.Attempt.ID, run)
	}
	return s
}

// runsOf returns the attempts of a request that run on targets of this host.
func (s State) runsOf(id fleet.RequestID) []Run {
	if id == "" {
		return nil
	}
	var runs []Run
	prefix := fleet.AttemptID(id + ".")
	for attempt, run := range s.running.From(prefix) {
		if !strings.HasPrefix(string(attempt), string(prefix)) {
			break
		}
		if attempt.Request() == id {
			runs = append(runs, run)
		}
	}
	return runs
}

// retryShare returns which part of the requests that make calls on this host are repeated ones or their calls. Each
// makes as many calls as another, however long it runs, so that those count that started lately; without any, those that run.
func (s State) retryShare(now time.Time) float64 {
	if s.running.Len() == 0 {
		return 0
	}
	var started attemptCounts
	for _, l := range s.targets.All() {
		started = started.plus(l.retryBudget.recent(now, s.settings.RetryBudget.Window))
	}
	if started.ran() > 0 {
		return started.retryShare()
	}
	var running attemptCounts
	for _, run := range s.running.All() {
		running = running.with(run.Attempt)
	}
	return running.retryShare()
}
