package node

import (
	"time"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/event"
)

// leaveGrace is how long a leaving node keeps taking requests of callers, so that its peers and the callers' balancers
// learn that it leaves. The users allow a few seconds.
const leaveGrace = 2 * time.Second

// drainPart is the part of that time after which the targets of the host take no new attempt. Until then they are as good as
// before, and what starts by then mostly ends before the listener closes.
const drainPart = 0.5

// The parts of the grace that are left for taking requests, where it is short; after which a leaving node gives up what is in
// flight, so that its callers get an answer before the process is ended by force; and after which it stops in any case.
const (
	leavePart  = 1.0 / 3
	answerPart = 0.88
	stopPart   = 0.95
)

// shutdown is a graceful stop in progress.
type shutdown struct {
	started time.Time
	grace   time.Duration
	// drained means that the targets of the host take no new attempt.
	drained bool
	// closing means that the callers' listener was told to close, closed that all requests of callers have ended since.
	closing bool
	closed  bool
	stopped bool
}

// begun reports whether the node is leaving.
func (sd shutdown) begun() bool { return !sd.started.IsZero() }

// after returns the time when a part of the grace is over.
func (sd shutdown) after(part float64) time.Time {
	return sd.started.Add(time.Duration(part * float64(sd.grace)))
}

// leaveTime is how long the node takes requests of callers.
func (sd shutdown) leaveTime() time.Duration {
	return min(leaveGrace, time.Duration(leavePart*float64(sd.grace)))
}

// drains reports whether the targets of the host are to take no new attempt from now on.
func (sd shutdown) drains(now time.Time) bool {
	return sd.begun() && !sd.drained && now.Sub(sd.started) >= time.Duration(drainPart*float64(sd.leaveTime()))
}

// shutdownStarted tells callers to use other nodes, and lets what is in flight finish within the grace. What could not be
// answered by then is refused before it runs.
func (s State) shutdownStarted(ev event.Event) (State, []effect.Effect) {
	if s.shutdown.begun() {
		return s, nil
	}
	s.shutdown.started = ev.At
	s.attempts = s.attempts.WithDrainDeadline(s.shutdown.after(answerPart))
	return s, []effect.Effect{effect.SetReadiness{Leaving: true}}
}

// drain leaves the fleet: the targets of this host take no new attempt.
func (s State) drain(ev event.Event) (State, []effect.Effect) {
	s.shutdown.drained = true
	var refused, released []effect.Effect
	s.admission, refused = s.admission.DrainStarted(ev.At)
	s.ejection, released = s.ejection.DrainStarted(s.ejectionContext(ev))
	s, left := s.withMembership(s.membership.Leave())
	effects := append(s.completeReports(ev.At, refused), released...)
	return s, append(effects, left...)
}

// withGrace returns the shutdown under another grace. A stop in progress keeps its own.
func (sd shutdown) withGrace(grace time.Duration) shutdown {
	if !sd.begun() {
		sd.grace = grace
	}
	return sd
}

// callersClosed takes in that no request of a caller can come any more.
func (sd shutdown) callersClosed() shutdown {
	sd.closed = true
	return sd
}

// tick closes the callers' listener some time after the start, and stops the process once nothing is in flight or the grace
// is nearly over.
func (sd shutdown) tick(now time.Time, inFlight int) (shutdown, []effect.Effect) {
	switch {
	case !sd.begun() || sd.stopped || now.Sub(sd.started) < sd.leaveTime():
		return sd, nil
	case !sd.closing:
		sd.closing = true
		return sd, []effect.Effect{effect.DrainCallers{}}
	case (!sd.closed || inFlight > 0) && now.Before(sd.after(stopPart)):
		return sd, nil
	default:
		sd.stopped = true
		return sd, []effect.Effect{effect.StopProcess{}}
	}
}
