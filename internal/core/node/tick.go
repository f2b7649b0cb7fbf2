package node

import (
	"time"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/event"
)

// tick runs the periodic work of every component.
func (s State) tick(ev event.Event) (State, []effect.Effect) {
	var attempts, admission, ejection, orders, leaving, stop []effect.Effect
	s.attempts, attempts = s.attempts.Tick(s.attemptContext(ev))
	s.admission, admission = s.admission.Tick(s.admissionContext(ev))
	s.health = s.health.Tick(ev.At, s.silentFlights(ev.At))
	s.ejection, ejection = s.ejection.Tick(s.ejectionContext(ev))
	s, suspicions := s.tickQuarantine(ev)
	s = s.publishTargets(ev)
	s, membership := s.withMembership(s.membership.Tick(ev.At, ev.Random))
	s.orders, orders = s.orders.Tick(ev.At, s.membership.Directory(), s.membership.Self().Targets)
	s, tables := s.withTables(s.tables.Tick(ev.At, ev.Random))
	s, first := s.releaseFirstTables(ev)
	if s.shutdown.shouldDrainTargets(ev.At) {
		s, leaving = s.drainTargets(ev)
	}
	s, limited := s.tickUsage(ev)
	s, acks := s.completeAcks(ev.At)
	s.shutdown, stop = s.shutdown.tick(ev.At, s.attempts.InFlight()+s.admission.InFlight()+s.usage.Waiting())
	effects := append(attempts, s.completeReports(ev.At, admission)...)
	for _, more := range [][]effect.Effect{ejection, suspicions, membership, orders, tables, first, leaving, limited, acks, stop} {
		effects = append(effects, more...)
	}
	return s, effects
}

// Due returns the time at which the control loop should post event.RequestTimerFired, if there is one. A hedged attempt
// cannot wait for the next tick, which is too late for a lookup that takes a few milliseconds.
func (s State) Due() (time.Time, bool) { return s.attempts.Due() }

// requestTimerFired hedges, retries or ends the requests that are due.
func (s State) requestTimerFired(ev event.Event) (State, []effect.Effect) {
	next, effects := s.attempts.Tick(s.attemptContext(ev))
	s.attempts = next
	return s, effects
}
