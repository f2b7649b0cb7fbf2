package admission

import (
	"strings"
	"time"

	"jayfold.dev/jayfold/internal/core/fleet"
)

// callDraws is the number of equally likely draws for the origin of a call that does not name it.
const callDraws = 1 << 16

// Call is a request that may come from a target of this host, which makes it while it runs another one.
type Call struct {
	// Parent is the request that the call names as its origin; empty where it names none.
	Parent fleet.RequestID
	// Internal means that its route is for calls of targets.
	Internal bool
}

// Called reports whether a request counts as a call of a repeated one, or of a call of one. Targets that have once named a
// request that ran here name it in all of their calls. Of those that do not, it is not known which of the requests on this
// host made a call, so that it is drawn by the share of the repeated ones, which is right on average.
func (s State) Called(now time.Time, call Call, random uint64) (State, bool) {
	if runs, repeated := s.runsOf(call.Parent); runs > 0 {
		s.named = true
		return s, repeated > 0
	}
	if s.named || !call.Internal {
		return s, false
	}
	return s, float64(random%callDraws) < s.repeatedShare(now)*callDraws
}

// runsOf returns how many attempts of a request run on targets of this host, and how many of them are repeated.
func (s State) runsOf(id fleet.RequestID) (runs, repeated int) {
	if id == "" {
		return 0, 0
	}
	prefix := fleet.AttemptID(id + ".")
	for attempt, run := range s.running.From(prefix) {
		if !strings.HasPrefix(string(attempt), string(prefix)) {
			break
		}
		if attempt.Request() != id {
			continue
		}
		runs++
		if draws(run.Attempt) {
			repeated++
		}
	}
	return runs, repeated
}

// repeatedShare returns which part of the requests that make calls on this host are repeated ones or their calls. Each
// makes as many calls as another, however long it runs, so that those count that started lately; without any, those that run.
func (s State) repeatedShare(now time.Time) float64 {
	if s.running.Len() == 0 {
		return 0
	}
	var started arrivals
	for _, l := range s.targets.All() {
		started = started.plus(l.repeats.lately(now, s.settings.Retries.Window))
	}
	if started.ran() > 0 {
		return started.share()
	}
	var running arrivals
	for _, run := range s.running.All() {
		running = running.with(run.Attempt)
	}
	return running.share()
}
