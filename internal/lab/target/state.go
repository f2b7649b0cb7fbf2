package target

import (
	"strings"
	"time"

	"jayfold.dev/jayfold/internal/core/fleet"
)

// State is what the stand-in knows. It is immutable.
type State struct {
	settings Settings
	started  time.Time
	faults   Faults
	// running holds the requests that occupy a slot; held those whose service has ended while the target is frozen.
	running fleet.Set[uint64]
	held    fleet.Map[uint64, int]
	ledger  fleet.Map[string, LedgerEntry]
	shown   LoadStatus
	shownAt time.Time
}

// LedgerEntry says how often a request was started.
type LedgerEntry struct {
	// Request is the id that the sidecar gave, Token the one that the load generator gave.
	Request string
	Token   string
	Runs    int
}

// LoadStatus is what the health and load endpoints say.
type LoadStatus struct {
	Healthy  bool
	InFlight int
	Slots    int
}

// newState returns the state of a target that has just started.
func newState(settings Settings, now time.Time) State {
	return State{
		settings: settings,
		started:  now,
		shown:    LoadStatus{Healthy: true, Slots: settings.Slots},
		shownAt:  now,
	}
}

// reduce returns the state after an event and what is to be done.
func (s State) reduce(ev event) (State, []effect) {
	switch body := ev.body.(type) {
	case requestArrived:
		return s.arrived(ev, body)
	case serviceEnded:
		return s.ended(body)
	case requestLeft:
		return s.left(body), nil
	case faultsSet:
		return s.faultsSet(body)
	default:
		return s, nil
	}
}

// arrived starts a request, or sheds it when every slot is taken.
func (s State) arrived(ev event, body requestArrived) (State, []effect) {
	if s.running.Len() >= s.settings.Slots {
		return s, []effect{shed{number: body.number}}
	}
	s.running = s.running.With(body.number)
	s = s.record(body)
	started := record{token: body.token}
	if mark := s.faults.CrashMark; mark != "" && strings.Contains(body.content, mark) {
		return s, []effect{started, crash{}}
	}
	return s, []effect{started, serve{
		number: body.number,
		takes:  s.serviceTime(ev.at),
		failed: unit(ev.random) < s.errorRate(ev.at),
	}}
}

// record counts the start of a request. Requests without a token are not the load generator's.
func (s State) record(body requestArrived) State {
	key := body.request + " " + body.token
	entry, _ := s.ledger.Get(key)
	entry.Request, entry.Token = body.request, body.token
	entry.Runs++
	s.ledger = s.ledger.With(key, entry)
	return s
}

// serviceTime returns how long a request that starts now runs.
func (s State) serviceTime(now time.Time) time.Duration {
	takes := float64(s.settings.ServiceTime)
	if s.faults.Slowdown > 0 {
		takes *= s.faults.Slowdown
	}
	if age := now.Sub(s.started); age < s.settings.ColdStart {
		warm := float64(age) / float64(s.settings.ColdStart)
		takes *= coldFactor - (coldFactor-1)*warm
	}
	return time.Duration(takes)
}

// errorRate returns the share of requests that fail now. Bursts fall into the same times of the day on all targets.
func (s State) errorRate(now time.Time) float64 {
	f := s.faults
	if f.BurstEvery > 0 && time.Duration(now.UnixNano())%time.Duration(f.BurstEvery) < time.Duration(f.BurstLength) {
		return max(f.ErrorRate, f.BurstErrorRate)
	}
	return f.ErrorRate
}

// ended answers a request, or holds it back while the target is frozen.
func (s State) ended(body serviceEnded) (State, []effect) {
	if !s.running.Has(body.number) {
		return s, nil
	}
	if s.faults.Frozen {
		s.held = s.held.With(body.number, body.status)
		return s, nil
	}
	return s, []effect{answer(body)}
}

// left frees the slot of a request that was answered or whose caller went away.
func (s State) left(body requestLeft) State {
	s.running = s.running.Without(body.number)
	s.held = s.held.Without(body.number)
	return s
}

// faultsSet replaces the faults and answers what was held back.
func (s State) faultsSet(body faultsSet) (State, []effect) {
	s.faults = body.faults
	if s.faults.Frozen {
		return s, nil
	}
	var effects []effect
	for number, status := range s.held.All() {
		effects = append(effects, answer{number: number, status: status})
	}
	s.held = fleet.Map[uint64, int]{}
	return s, effects
}

// view returns the state after the health and load endpoints were read, which show values as old as the lag.
func (s State) view(now time.Time) State {
	if now.Sub(s.shownAt) >= time.Duration(s.faults.Lag) {
		s.shown = LoadStatus{Healthy: s.healthy(now), InFlight: s.running.Len(), Slots: s.settings.Slots}
		s.shownAt = now
	}
	return s
}

// healthy reports what a probe sees: a target that fails half of its requests or less passes its probes.
func (s State) healthy(now time.Time) bool {
	return !s.faults.Frozen && s.errorRate(now) <= probeErrorRate
}

// unit returns the random number as a value in [0, 1).
func unit(random uint64) float64 { return float64(random>>11) / (1 << 53) }
