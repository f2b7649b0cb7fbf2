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
	// endBound is how long after its deadline a request may end: two ticks.
	endBound = 2 * worldTick
	// confirmBound is how much longer an order may take: the wait for the confirmation of its cancel and a tick.
	confirmBound = 300*time.Millisecond + worldTick
)

// ledger is the oracle: it counts the runs of each request and keeps the verdict that its caller got.
type ledger struct {
	count   int
	entries map[fleet.RequestID]*entry
	open    []*entry
	faults  []string
	seen    map[string]int
}

type entry struct {
	id         fleet.RequestID
	host       *host
	life       int
	idempotent bool
	deadline   time.Time
	runs       int
	ended      bool
	notRun     bool
}

func newLedger() *ledger {
	return &ledger{entries: map[fleet.RequestID]*entry{}, seen: map[string]int{}}
}

func (l *ledger) fault(format string, args ...any) {
	l.faults = append(l.faults, fmt.Sprintf(format, args...))
}

func (l *ledger) sent(id fleet.RequestID, h *host, idempotent bool, deadline time.Time) {
	e := &entry{id: id, host: h, life: h.life, idempotent: idempotent, deadline: deadline}
	l.count++
	l.entries[id] = e
	l.open = append(l.open, e)
}

func (l *ledger) ran(id fleet.RequestID) {
	e := l.entries[id]
	e.runs++
	l.seen["runs"]++
	if e.runs > 1 {
		l.seen["second runs"]++
	}
	if e.runs > 1 && !e.idempotent {
		l.fault("%s is not idempotent and ran %d times", id, e.runs)
	}
	if e.notRun {
		l.fault("%s ran after its caller was told NotRun", id)
	}
}

func (l *ledger) end(id fleet.RequestID, told string) *entry {
	e := l.entries[id]
	if e.ended && told != "canceled" {
		// The edge drops what comes after the caller went away.
		told = "late"
	}
	l.seen[told]++
	e.ended = true
	return e
}

func (l *ledger) refused(r effect.RefuseRequest) {
	e := l.end(r.Request, r.Problem.Verdict.String())
	if r.Problem.Verdict != fleet.NotRun {
		return
	}
	e.notRun = true
	if e.runs > 0 {
		l.fault("%s ran %d times and its caller was told NotRun (%s)", r.Request, e.runs, r.Problem.Cause)
	}
}

func (l *ledger) answered(a effect.RelayResponse, s *stream) {
	l.end(a.Request, "answered")
	if s == nil || s.status == 0 || s.payload.Request() != a.Request {
		l.fault("%s got an answer that is not its own", a.Request)
	}
}

// lost forgets the requests of a node that crashed: their callers see a broken connection.
func (l *ledger) lost(h *host) {
	for _, e := range l.open {
		if e.host == h && e.life == h.life {
			e.ended = true
		}
	}
}

// check reports the first fault, and requests that are still open past their deadline and the bound.
func (w *world) check(t *rapid.T) {
	if len(w.ledger.faults) > 0 {
		t.Fatal(w.ledger.faults[0])
	}
	open := w.ledger.open[:0]
	for _, e := range w.ledger.open {
		if e.ended {
			continue
		}
		open = append(open, e)
		bound := endBound
		if !e.idempotent {
			bound += confirmBound
		}
		if !e.host.paused && w.now.After(e.deadline.Add(bound)) {
			t.Fatalf("%s has no end %s after its deadline", e.id, w.now.Sub(e.deadline))
		}
	}
	w.ledger.open = open
}

func (w *world) anyHost(t *rapid.T) *host {
	return w.hosts[rapid.IntRange(0, worldHosts-1).Draw(t, "host")]
}

func (w *world) anyTarget(t *rapid.T) (*host, *target) {
	h := w.anyHost(t)
	return h, h.targets[rapid.IntRange(0, targetsPerHost-1).Draw(t, "target")]
}

// afterSome ends a fault after up to 2 s.
func (w *world) afterSome(t *rapid.T, act func()) {
	w.after(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms"))*time.Millisecond, act)
}

// actions are what callers, time and faults do.
func (w *world) actions() map[string]func(*rapid.T) {
	request := func(t *rapid.T) {
		class := rapid.SampledFrom(fleet.Classes[:]).Draw(t, "class")
		key := fleet.IdempotencyKey("")
		if rapid.IntRange(0, 9).Draw(t, "keyed") == 0 {
			key = fleet.IdempotencyKey(fmt.Sprint("k", w.ledger.count))
		}
		timeout := time.Duration(rapid.IntRange(0, 3).Draw(t, "timeout")) * 200 * time.Millisecond
		w.request(w.anyHost(t), class, key, timeout)
	}
	advance := func(t *rapid.T) {
		w.advance(time.Duration(rapid.IntRange(1, 200).Draw(t, "ms")) * time.Millisecond)
	}
	actions := map[string]func(*rapid.T){
		"burst": func(t *rapid.T) {
			for range 10 {
				request(t)
			}
		},
		"cancel": func(t *rapid.T) {
			if len(w.ledger.open) == 0 {
				t.Skip("no request is open")
			}
			w.cancel(rapid.SampledFrom(w.ledger.open).Draw(t, "open"))
		},
		"cut": func(t *rapid.T) {
			link := [2]int{w.anyHost(t).index, w.anyHost(t).index}
			w.cut[link] = link[0] != link[1]
			w.afterSome(t, func() { delete(w.cut, link) })
		},
		"heal":  func(*rapid.T) { w.heal() },
		"lossy": func(*rapid.T) { w.lossy = !w.lossy },
		"crash": func(t *rapid.T) {
			if h := w.anyHost(t); !h.down {
				w.crash(h)
				w.afterSome(t, func() { w.start(h) })
			}
		},
		"pause": func(t *rapid.T) {
			h := w.anyHost(t)
			life := h.life
			h.paused = !h.down
			w.afterSome(t, func() { w.wake(h, life) })
		},
		"target crashes": func(t *rapid.T) { w.crashTarget(w.anyTarget(t)) },
		"target freezes": func(t *rapid.T) {
			_, hit := w.anyTarget(t)
			hit.frozen = true
			w.afterSome(t, func() { hit.frozen = false })
		},
		"target fails": func(t *rapid.T) {
			_, hit := w.anyTarget(t)
			hit.failing = !hit.failing
		},
	}
	// Faults are rarer than requests, so that nodes and targets are mostly up.
	for i := range 12 {
		actions[fmt.Sprint("request ", i)] = request
		actions[fmt.Sprint("advance ", i)] = advance
	}
	return actions
}

// wake ends a pause. The node's first tick after it ends what is overdue.
func (w *world) wake(h *host, life int) {
	if h.down || h.life != life || !h.paused {
		return
	}
	w.resume(h)
	w.post(h, life, event.Tick{})
}

func (w *world) heal() {
	clear(w.cut)
	w.lossy = false
	for _, h := range w.hosts {
		w.wake(h, h.life)
		for _, t := range h.targets {
			t.frozen, t.failing = false, false
		}
	}
}

// TestMain fixes the seed and the size of the stateful fuzz unless the command line gives others.
func TestMain(m *testing.M) {
	fixed := map[string]string{"rapid.seed": "20261204", "rapid.checks": "55", "rapid.steps": "1900"}
	flag.Parse()
	flag.Visit(func(f *flag.Flag) { delete(fixed, f.Name) })
	for name, value := range fixed {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// TestRequestsKeepTheirGuarantees guards against orders that run twice, against NotRun for a request that ran, against
// answers to other requests, and against requests without an end, under every fault that the network and the processes can
// show.
func TestRequestsKeepTheirGuarantees(t *testing.T) {
	steps, seen := 0, map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "random"))
		actions := w.actions()
		actions[""] = func(t *rapid.T) {
			steps++
			w.check(t)
		}
		t.Repeat(actions)
		w.heal()
		w.advance(5 * time.Second)
		w.check(t)
		if len(w.ledger.open) > 0 {
			t.Fatalf("%s has no end", w.ledger.open[0].id)
		}
		for what, count := range w.ledger.seen {
			seen[what] += count
		}
	})
	t.Log(steps, "steps:", seen)
	for _, what := range []string{"answered", "NotRun", "MayHaveRun", "runs", "second runs"} {
		if seen[what] == 0 {
			t.Error("the faults never led to:", what)
		}
	}
}
