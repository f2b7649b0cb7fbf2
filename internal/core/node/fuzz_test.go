package node

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/event"
	"jayfold.dev/jayfold/internal/core/fleet"
)

const (
	// maxOverrun is the time after its deadline within which a request must end: two ticks.
	maxOverrun = 2 * tickInterval
	// maxCancelOverrun is the additional time for a request that is not idempotent: the wait for the confirmation of its
	// cancellation and a tick.
	maxCancelOverrun = 300*time.Millisecond + tickInterval
)

// ledger is the test oracle. It counts the runs of each request and records the verdict that its caller received.
type ledger struct {
	count   int
	entries map[fleet.RequestID]*entry
	open    []*entry
	// violations describes the guarantees that were broken.
	violations []string
	// seen counts the runs and the ends of requests by kind.
	seen map[string]int
}

type entry struct {
	id          fleet.RequestID
	host        *host
	incarnation int
	idempotent  bool
	deadline    time.Time
	runs        int
	ended       bool
	toldNotRun  bool
}

func newLedger() *ledger {
	return &ledger{entries: map[fleet.RequestID]*entry{}, seen: map[string]int{}}
}

func (l *ledger) violation(format string, args ...any) {
	l.violations = append(l.violations, fmt.Sprintf(format, args...))
}

func (l *ledger) requestSent(id fleet.RequestID, h *host, idempotent bool, deadline time.Time) {
	e := &entry{id: id, host: h, incarnation: h.incarnation, idempotent: idempotent, deadline: deadline}
	l.count++
	l.entries[id] = e
	l.open = append(l.open, e)
}

func (l *ledger) runStarted(id fleet.RequestID) {
	e := l.entries[id]
	e.runs++
	l.seen["runs"]++
	if e.runs > 1 {
		l.seen["second runs"]++
	}
	if e.runs > 1 && !e.idempotent {
		l.violation("%s is not idempotent and ran %d times", id, e.runs)
	}
	if e.toldNotRun {
		l.violation("%s ran after its caller was told NotRun", id)
	}
}

func (l *ledger) requestEnded(id fleet.RequestID, outcome string) *entry {
	e := l.entries[id]
	if e.ended && outcome != "canceled" {
		// The edge drops responses after the caller has disconnected.
		outcome = "late"
	}
	l.seen[outcome]++
	e.ended = true
	return e
}

func (l *ledger) requestRefused(r effect.RefuseRequest) {
	e := l.requestEnded(r.Request, r.Problem.Verdict.String())
	if r.Problem.Verdict != fleet.NotRun {
		return
	}
	e.toldNotRun = true
	if e.runs > 0 {
		l.violation("%s ran %d times and its caller was told NotRun (%s)", r.Request, e.runs, r.Problem.Cause)
	}
}

func (l *ledger) responseRelayed(a effect.RelayResponse, s *stream) {
	l.requestEnded(a.Request, "answered")
	if s == nil || s.status == 0 || s.payload.Request() != a.Request {
		l.violation("%s received no response, or the response to another request", a.Request)
	}
}

// nodeCrashed ends the requests of a node that crashed. Their callers see a broken connection.
func (l *ledger) nodeCrashed(h *host) {
	for _, e := range l.open {
		if e.host == h && e.incarnation == h.incarnation {
			e.ended = true
		}
	}
}

// check fails the test on a violation, and on requests that have not ended within the bound after their deadline.
func (sim *simulation) check(t *rapid.T) {
	if len(sim.ledger.violations) > 0 {
		t.Fatal(sim.ledger.violations[0])
	}
	open := sim.ledger.open[:0]
	for _, e := range sim.ledger.open {
		if e.ended {
			continue
		}
		open = append(open, e)
		bound := maxOverrun
		if !e.idempotent {
			bound += maxCancelOverrun
		}
		if !e.host.paused && sim.now.After(e.deadline.Add(bound)) {
			t.Fatalf("%s has not ended %s after its deadline", e.id, sim.now.Sub(e.deadline))
		}
	}
	sim.ledger.open = open
}

func (sim *simulation) drawHost(t *rapid.T) *host {
	return sim.hosts[rapid.IntRange(0, hostCount-1).Draw(t, "host")]
}

func (sim *simulation) drawTarget(t *rapid.T) (*host, *target) {
	h := sim.drawHost(t)
	return h, h.targets[rapid.IntRange(0, targetsPerHost-1).Draw(t, "target")]
}

// afterRandomDelay runs an action, such as the end of a fault, after up to 2 s.
func (sim *simulation) afterRandomDelay(t *rapid.T, action func()) {
	sim.after(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms"))*time.Millisecond, action)
}

// actions returns the actions of callers, the passing of time, and faults.
func (sim *simulation) actions() map[string]func(*rapid.T) {
	request := func(t *rapid.T) {
		class := rapid.SampledFrom(fleet.Classes[:]).Draw(t, "class")
		key := fleet.IdempotencyKey("")
		if rapid.IntRange(0, 9).Draw(t, "keyed") == 0 {
			key = fleet.IdempotencyKey(fmt.Sprint("k", sim.ledger.count))
		}
		timeout := time.Duration(rapid.IntRange(0, 3).Draw(t, "timeout")) * 200 * time.Millisecond
		sim.request(sim.drawHost(t), class, key, timeout)
	}
	advance := func(t *rapid.T) {
		sim.advance(time.Duration(rapid.IntRange(1, 200).Draw(t, "ms")) * time.Millisecond)
	}
	actions := map[string]func(*rapid.T){
		"burst": func(t *rapid.T) {
			for range 10 {
				request(t)
			}
		},
		"cancel": func(t *rapid.T) {
			if len(sim.ledger.open) == 0 {
				t.Skip("no request is open")
			}
			sim.cancel(rapid.SampledFrom(sim.ledger.open).Draw(t, "open"))
		},
		"cut": func(t *rapid.T) {
			link := [2]int{sim.drawHost(t).index, sim.drawHost(t).index}
			sim.cut[link] = link[0] != link[1]
			sim.afterRandomDelay(t, func() { delete(sim.cut, link) })
		},
		"heal":  func(*rapid.T) { sim.heal() },
		"lossy": func(*rapid.T) { sim.lossy = !sim.lossy },
		"crash": func(t *rapid.T) {
			if h := sim.drawHost(t); !h.down {
				sim.crash(h)
				sim.afterRandomDelay(t, func() { sim.start(h) })
			}
		},
		"pause": func(t *rapid.T) {
			h := sim.drawHost(t)
			incarnation := h.incarnation
			h.paused = !h.down
			sim.afterRandomDelay(t, func() { sim.endPause(h, incarnation) })
		},
		"target crashes": func(t *rapid.T) { sim.crashTarget(sim.drawTarget(t)) },
		"target freezes": func(t *rapid.T) {
			_, drawn := sim.drawTarget(t)
			drawn.frozen = true
			sim.afterRandomDelay(t, func() { drawn.frozen = false })
		},
		"target fails": func(t *rapid.T) {
			_, drawn := sim.drawTarget(t)
			drawn.failing = !drawn.failing
		},
	}
	// Requests and the passing of time are listed several times, so that faults are rarer and nodes and targets are mostly up.
	for i := range 12 {
		actions[fmt.Sprint("request ", i)] = request
		actions[fmt.Sprint("advance ", i)] = advance
	}
	return actions
}

// endPause resumes a paused node. Its next tick ends the requests that are overdue.
func (sim *simulation) endPause(h *host, incarnation int) {
	if h.down || h.incarnation != incarnation || !h.paused {
		return
	}
	sim.resume(h)
	sim.post(h, incarnation, event.Tick{})
}

func (sim *simulation) heal() {
	clear(sim.cut)
	sim.lossy = false
	for _, h := range sim.hosts {
		sim.endPause(h, h.incarnation)
		for _, t := range h.targets {
			t.frozen, t.failing = false, false
		}
	}
}

// TestMain sets the seed and the size of the stateful property test unless the command line sets others.
func TestMain(m *testing.M) {
	defaults := map[string]string{"rapid.seed": "20261204", "rapid.checks": "55", "rapid.steps": "1900"}
	flag.Parse()
	flag.Visit(func(f *flag.Flag) { delete(defaults, f.Name) })
	for name, value := range defaults {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// TestRequestsKeepTheirGuarantees guards against orders that run twice, the verdict NotRun for a request that ran, responses to
// other requests, attempts that start after their API key was revoked, and requests that never end, under all simulated faults of the network and the processes.
func TestRequestsKeepTheirGuarantees(t *testing.T) {
	steps, seen := 0, map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(rapid.Uint64().Draw(t, "random"))
		actions := sim.actions()
		if rapid.Bool().Draw(t, "accounts") {
			sim.keys = &simulatedKeys{byRequest: map[fleet.RequestID]fleet.Credential{}}
			actions["key changes"] = sim.changeKey
		}
		actions[""] = func(t *rapid.T) {
			steps++
			sim.check(t)
		}
		t.Repeat(actions)
		sim.heal()
		sim.advance(5 * time.Second)
		sim.check(t)
		if len(sim.ledger.open) > 0 {
			t.Fatalf("%s has not ended", sim.ledger.open[0].id)
		}
		for what, count := range sim.ledger.seen {
			seen[what] += count
		}
	})
	t.Log(steps, "steps:", seen)
	for _, what := range []string{"answered", "NotRun", "MayHaveRun", "runs", "second runs", "with a key"} {
		if seen[what] == 0 {
			t.Error("the simulation never led to:", what)
		}
	}
}
