package target

import (
	"strings"
	"time"

	"jayfold.dev/jayfold/internal/core/fleet"
)

// State is the state of the stand-in. It is immutable.
type State struct {
	settings Settings
	started  time.Time
	faults   Faults
	// running holds the numbers of the requests that occupy a slot. heldResponses holds the status codes of those whose service
	// has ended while the target is frozen, by number.
	running       fleet.Set[uint64]
	heldResponses fleet.Map[uint64, int]
	ledger        fleet.Map[string, LedgerEntry]
	loadStatus    LoadStatus
	loadStatusAt  time.Time
}

// LedgerEntry counts the runs of a request.
type LedgerEntry struct {
	// Request is the id assigned by the sidecar, Token the one assigned by the load generator.
	Request string
	Token   string
	Runs    int
}

// LoadStatus is what the health and load endpoints report.
type LoadStatus struct {
	Healthy  bool
	InFlight int
	Slots    int
}

// newState returns the state of a target that has just started.
func newState(settings Settings, now time.Time) State {
	return State{
		settings:     settings,
		started:      now,
		loadStatus:   LoadStatus{Healthy: true, Slots: settings.Slots},
		loadStatusAt: now,
	}
}

// reduce returns the state after an event and the resulting effects.
func (s State) reduce(ev event) (State, []effect) {
	switch body := ev.body.(type) {
	case requestArrived:
		return s.requestArrived(ev, body)
	case serviceEnded:
		return s.serviceEnded(body)
	case requestEnded:
		return s.requestEnded(body), nil
	case faultsSet:
		return s.faultsSet(body)
	default:
		return s, nil
	}
}

// requestArrived starts a request, or sheds it if every slot is occupied.
func (s State) requestArrived(ev event, body requestArrived) (State, []effect) {
	if s.running.Len() >= s.settings.Slots {
		return s, []effect{shed{number: body.number}}
	}
	s.running = s.running.With(body.number)
	s = s.withRun(body)
	started := recordStart{token: body.token}
	if mark := s.faults.CrashMark; mark != "" && strings.Contains(body.content, mark) {
		return s, []effect{started, crash{}}
	}
	return s, []effect{started, serve{
		number:   body.number,
		duration: s.serviceTime(ev.at),
		failed:   toUnitInterval(ev.random) < s.errorRate(ev.at),
	}}
}

// withRun adds a run to the ledger. Requests that do not come from the load generator have no token.
func (s State) withRun(body requestArrived) State {
	key := body.request + " " + body.token
	entry, _ := s.ledger.Get(key)
	entry.Request, entry.Token = body.request, body.token
	entry.Runs++
	s.ledger = s.ledger.With(key, entry)
	return s
}

// serviceTime returns the service time of a request that starts now.
func (s State) serviceTime(now time.Time) time.Duration {
	duration := float64(s.settings.ServiceTime)
	if s.faults.Slowdown > 0 {
		duration *= s.faults.Slowdown
	}
	if age := now.Sub(s.started); age < s.settings.ColdStart {
		warm := float64(age) / float64(s.settings.ColdStart)
		duration *= coldSlowdown - (coldSlowdown-1)*warm
	}
	return time.Duration(duration)
}

// errorRate returns the share of requests that fail now. Bursts follow the wall clock, so that they coincide on all targets.
func (s State) errorRate(now time.Time) float64 {
	f := s.faults
	if f.BurstEvery > 0 && time.Duration(now.UnixNano())%time.Duration(f.BurstEvery) < time.Duration(f.BurstLength) {
		return max(f.ErrorRate, f.BurstErrorRate)
	}
	return f.ErrorRate
}

// serviceEnded responds to a request, or holds its response back while the target is frozen.
func (s State) serviceEnded(body serviceEnded) (State, []effect) {
	if !s.running.Has(body.number) {
		return s, nil
	}
	if s.faults.Frozen {
		s.heldResponses = s.heldResponses.With(body.number, body.status)
		return s, nil
	}
	return s, []effect{respond(body)}
}

// requestEnded frees the slot of a request that has been responded to or whose caller has disconnected.
func (s State) requestEnded(body requestEnded) State {
	s.running = s.running.Without(body.number)
	s.heldResponses = s.heldResponses.Without(body.number)
	return s
}

// faultsSet replaces the faults and sends the held responses unless the target is frozen.
func (s State) faultsSet(body faultsSet) (State, []effect) {
	s.faults = body.faults
	if s.faults.Frozen {
		return s, nil
	}
	var effects []effect
	for number, status := range s.heldResponses.All() {
		effects = append(effects, respond{number: number, status: status})
	}
	s.heldResponses = fleet.Map[uint64, int]{}
	return s, effects
}

// withCurrentLoadStatus refreshes the reported load once the reported values are as old as the configured lag.
func (s State) withCurrentLoadStatus(now time.Time) State {
	if now.Sub(s.loadStatusAt) >= time.Duration(s.faults.Lag) {
		s.loadStatus = LoadStatus{Healthy: s.healthy(now), InFlight: s.running.Len(), Slots: s.settings.Slots}
		s.loadStatusAt = now
	}
	return s
}

// healthy reports whether a health probe succeeds. A target that fails at most half of its requests passes its probes.
func (s State) healthy(now time.Time) bool {
	return !s.faults.Frozen && s.errorRate(now) <= maxHealthyErrorRate
}

// toUnitInterval maps a random number to [0, 1).
func toUnitInterval(random uint64) float64 { return float64(random>>11) / (1 << 53) }
