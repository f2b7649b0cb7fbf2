package node

import (
	"time"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/event"
)

// tick lets every part act on the time that has passed.
func (s State) tick(ev event.Event) (State, []effect.Effect) {
	var attempts, admission, ejection, orders, leaving, stop []effect.Effect
	s.attempts, attempts = s.attempts.Tick(s.attemptContext(ev))
	s.admission, admission = s.admission.Tick(s.admissionContext(ev))
	s.health = s.health.Tick(ev.At)
	s.ejection, ejection = s.ejection.Tick(s.ejectionContext(ev))
	s, suspicions := s.tickQuarantine(ev)
	s = s.publishTargets(ev)
	s, membership := s.withMembership(s.membership.Tick(ev.At, ev.Random))
	s.orders, orders = s.orders.Tick(ev.At, s.membership.Directory(), s.membership.Self().Targets)
	s, tables := s.withTables(s.tables.Tick(ev.At, ev.Random))
	if s.shutdown.drains(ev.At) {
		s, leaving = s.drain(ev)
	}
	s.shutdown, stop = s.shutdown.tick(ev.At, s.attempts.InFlight()+s.admission.InFlight())
	effects := append(attempts, s.completeReports(ev.At, admission)...)
	for _, more := range [][]effect.Effect{ejection, suspicions, membership, orders, tables, leaving, stop} {
		effects = append(effects, more...)
	}
	return s, effects
}

// Due returns when a request needs attention next. The control loop then posts event.RequestTimerFired, since a hedge that waits
// for the next tick comes too late for a lookup that takes a few milliseconds.
func (s State) Due() (time.Time, bool) { return s.attempts.Due() }

// requestsDue hedges, replaces and ends the attempts whose time has come.
func (s State) requestsDue(ev event.Event) (State, []effect.Effect) {
	next, effects := s.attempts.Tick(s.attemptContext(ev))
	s.attempts = next
	return s, effects
}
