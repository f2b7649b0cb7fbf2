package admission

import (
	"slices"
	"strings"
	"time"

	"jayfold.dev/jayfold/internal/core/fleet"
)

// parentDraws is the number of equally likely random values that decide about a request whose parent is unknown.
const parentDraws = 1 << 16

// maxRecentAttempts is the number of attempts of a request that are looked up: 4 targets and 12 refusals, the defaults of the ingress.
const maxRecentAttempts = 16

// ChildRequest describes a request that a target on this host may have made while it was serving another one.
type ChildRequest struct {
	// Parent is the request named as the parent; empty if the request names none.
	Parent fleet.RequestID
	// Internal is true if the request's route has the class Internal, which is for requests made by targets.
	Internal bool
}

// ParentRetried reports whether a request counts as a child request of a retried request or of one of its descendants. Once a
// child request has named a parent that runs on this host, all targets of this host are assumed to name parents. Until then, the
// parent of an internal request is unknown. Such a request counts at random with a probability equal to the share of retries on
// this host, so that the number of counted requests is right on average.
func (s State) ParentRetried(now time.Time, child ChildRequest, random uint64) (State, bool) {
	if runs := s.runsOf(child.Parent); len(runs) > 0 {
		s.parentsNamed = true
		return s, slices.ContainsFunc(runs, func(r Run) bool { return countsAsRetry(r.Attempt) })
	}
	if s.parentsNamed || !child.Internal {
		return s, false
	}
	return s, float64(random%parentDraws) < s.retryShare(now)*parentDraws
}

// HasRunOf reports whether an attempt of the request runs on this host.
func (s State) HasRunOf(id fleet.RequestID) bool { return len(s.runsOf(id)) > 0 }

// HasRecentlyRun reports whether an attempt of the request runs on this host or has started here within seenRetention. The ids of
// attempts are remembered anyway; only the first maxRecentAttempts of a request are looked up.
func (s State) HasRecentlyRun(id fleet.RequestID) bool {
	if id == "" {
		return false
	}
	if s.HasRunOf(id) {
		return true
	}
	for n := 1; n <= maxRecentAttempts; n++ {
		if started, _ := s.seen.get(fleet.NewAttemptID(id, n)); started {
			return true
		}
	}
	return false
}

// ChildRequestSeen records that a child request of a request running on this host has arrived.
func (s State) ChildRequestSeen(now time.Time, parent fleet.RequestID) State {
	return s.withRunsOf(parent, func(run Run) Run {
		run.LastSign = now
		return run
	})
}

// ChildRequestEnded records the end of a child request of a request running on this host. If it has failed, a server error or a missed
// deadline of the parent request is no evidence about its target.
func (s State) ChildRequestEnded(now time.Time, parent fleet.RequestID, failed bool) State {
	return s.withRunsOf(parent, func(run Run) Run {
		run.LastSign = now
		run.ChildRequestFailed = run.ChildRequestFailed || failed
		return run
	})
}

// withRunsOf returns the state with every run of a request's attempts on this host changed.
func (s State) withRunsOf(id fleet.RequestID, change func(Run) Run) State {
	for _, run := range s.runsOf(id) {
		s.running = s.running.With(run.Attempt.ID, change(run))
	}
	return s
}

// runsOf returns the runs of a request's attempts on this host.
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

// retryShare returns the fraction of attempts on this host that count as retries. The number of child requests that a request
// makes does not depend on how long it runs, so the attempts that started recently count, or those that are running if none did.
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
