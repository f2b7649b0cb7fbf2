package node

import (
	"time"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/event"
)

// maxLeaveTime is the maximum time for which a stopping node still accepts requests, so that its peers and the callers' load
// balancers can notice that it is leaving. Users accept a leave time of a few seconds.
const maxLeaveTime = 2 * time.Second

// drainFraction is the fraction of the leave time after which the targets on this host accept no new attempts. Until then
// they accept attempts as usual, and most attempts that start by then end before the listener closes.
const drainFraction = 0.5

// Fractions of the stop grace.
const (
	// leaveFraction limits the leave time if the grace is short.
	leaveFraction = 1.0 / 3
	// requestEndFraction is the fraction after which requests in flight are ended, so that their callers receive a response
	// before the process is killed.
	requestEndFraction = 0.88
	// stopFraction is the fraction after which the process stops in any case.
	stopFraction = 0.95
)

// shutdown is the state of a graceful shutdown.
type shutdown struct {
	started time.Time
	grace   time.Duration
	// drainingTargets is true once the targets on this host accept no new attempts.
	drainingTargets bool
	// drainingCallers is true once effect.DrainCallers was returned, callersDrained once event.CallersDrained arrived.
	drainingCallers bool
	callersDrained  bool
	// stopped is true once effect.StopProcess was returned.
	stopped bool
}

// inProgress reports whether the node is stopping.
func (sd shutdown) inProgress() bool { return !sd.started.IsZero() }

// timeAtGraceFraction returns the time at which a fraction of the stop grace has passed.
func (sd shutdown) timeAtGraceFraction(fraction float64) time.Time {
	return sd.started.Add(time.Duration(fraction * float64(sd.grace)))
}

// leaveTime returns how long the node accepts requests after the start of the shutdown.
func (sd shutdown) leaveTime() time.Duration {
	return min(maxLeaveTime, time.Duration(leaveFraction*float64(sd.grace)))
}

// shouldDrainTargets reports whether the targets on this host should be drained now.
func (sd shutdown) shouldDrainTargets(now time.Time) bool {
	return sd.inProgress() && !sd.drainingTargets && now.Sub(sd.started) >= time.Duration(drainFraction*float64(sd.leaveTime()))
}

// shutdownRequested tells callers to use other nodes and sets the time by which every request must end, those in flight and
// those still to come. Requests in flight can finish until then; one that has not started to run by then is refused.
func (s State) shutdownRequested(ev event.Event) (State, []effect.Effect) {
	if s.shutdown.inProgress() {
		return s, nil
	}
	s.shutdown.started = ev.At
	s.attempts = s.attempts.WithDrainDeadline(s.shutdown.timeAtGraceFraction(requestEndFraction))
	return s, []effect.Effect{effect.SetReadiness{Leaving: true}}
}

// drainTargets makes the targets on this host refuse new attempts and publishes that the node is leaving.
func (s State) drainTargets(ev event.Event) (State, []effect.Effect) {
	s.shutdown.drainingTargets = true
	var refused, released []effect.Effect
	s.admission, refused = s.admission.DrainStarted(ev.At)
	s.ejection, released = s.ejection.DrainStarted(s.ejectionContext(ev))
	s, left := s.withMembership(s.membership.Leave())
	effects := append(s.completeReports(ev.At, refused), released...)
	return s, append(effects, left...)
}

// withGrace sets the stop grace. A shutdown in progress keeps its own.
func (sd shutdown) withGrace(grace time.Duration) shutdown {
	if !sd.inProgress() {
		sd.grace = grace
	}
	return sd
}

func (sd shutdown) withCallersDrained() shutdown {
	sd.callersDrained = true
	return sd
}

// tick drains the callers once the leave time has passed. It stops the process when nothing is in flight any more or the
// grace is nearly over.
func (sd shutdown) tick(now time.Time, inFlight int) (shutdown, []effect.Effect) {
	switch {
	case !sd.inProgress() || sd.stopped || now.Sub(sd.started) < sd.leaveTime():
		return sd, nil
	case !sd.drainingCallers:
		sd.drainingCallers = true
		return sd, []effect.Effect{effect.DrainCallers{}}
	case (!sd.callersDrained || inFlight > 0) && now.Before(sd.timeAtGraceFraction(stopFraction)):
		return sd, nil
	default:
		sd.stopped = true
		return sd, []effect.Effect{effect.StopProcess{}}
	}
}
