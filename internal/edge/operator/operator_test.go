package operator

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/matryer/is"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/event"
	"jayfold.dev/jayfold/internal/core/fleet"
)

// sampleStatus has one ejected, one draining and one healthy target.
func sampleStatus() effect.NodeStatus {
	ejected := fleet.Target{ID: "n1/t1", Pool: "stock", Slots: 4, Ejected: true}
	draining := fleet.Target{ID: "n2/t1", Pool: "stock", Slots: 4, State: fleet.TargetDraining}
	return effect.NodeStatus{
		Node:           "n1",
		Revision:       7,
		NewestRevision: 8,
		Services:       []effect.ServiceStatus{{Service: "inventory", Pool: "stock", Floor: 3, Known: 3, InService: 2}},
		Targets:        []effect.TargetStatus{{Target: ejected, Judged: 40, Bad: 21, Score: 14.5, Baseline: 30 * time.Millisecond}},
		Members:        []fleet.Member{{Node: "n1", Targets: []fleet.Target{ejected}}, {Node: "n2", Targets: []fleet.Target{draining}}},
		Quarantined:    []effect.QuarantineStatus{{Fingerprint: 0xabc}},
	}
}

// served returns an operator whose control loop answers with a status, and the address of its handler.
func served(t *testing.T, s effect.NodeStatus) (*Operator, *memory.Handler, string) {
	t.Helper()
	lines := memory.New()
	var o *Operator
	o = New(Seams{Log: lines, Post: func(b event.Body) {
		o.ReplyStatus(effect.ReplyStatus{QueryID: b.(event.StatusRequested).QueryID, Status: s})
	}})
	t.Cleanup(o.Close)
	server := httptest.NewServer(o.Handler())
	t.Cleanup(server.Close)
	return o, lines, strings.TrimPrefix(server.URL, "http://")
}

func printed(t *testing.T, address string, asJSON bool) string {
	t.Helper()
	var b bytes.Buffer
	is.New(t).NoErr(PrintStatus(context.Background(), &b, address, asJSON))
	return b.String()
}

// contains fails the test unless a text contains every part.
func contains(t *testing.T, text string, parts ...string) {
	t.Helper()
	for _, part := range parts {
		if !strings.Contains(text, part) {
			t.Errorf("%q is missing in:\n%s", part, text)
		}
	}
}

// An operator must see on one screen what is wrong and why.
func TestStatusShowsWhatIsWrong(t *testing.T) {
	_, _, address := served(t, sampleStatus())
	text := printed(t, address, false)
	contains(t, text, "7 here, 8 newest seen", "below the floor", "21 of 40 requests bad, score 14.5, baseline 30ms",
		"DRAINING", "n2/t1", "0000000000000abc")
	contains(t, printed(t, address, true), `"Bad": 21`, `"NewestRevision": 8`, `"Status": "Alive"`)
}

// A fleet of 540 nodes in trouble must not scroll off the screen.
func TestStatusFitsOnOneScreen(t *testing.T) {
	s := sampleStatus()
	for i := range 540 {
		s.Members = append(s.Members, fleet.Member{Node: fleet.NodeID(fmt.Sprint("m", i)), Status: fleet.Leaving, Targets: s.Members[0].Targets})
		s.Services = append(s.Services, s.Services[0])
		s.Quarantined = append(s.Quarantined, s.Quarantined[0])
	}
	_, _, address := served(t, s)
	text := printed(t, address, false)
	contains(t, text, "and 529 more")
	is.New(t).True(strings.Count(text, "\n") <= 4*(rowLimit+3)+3)
}

func TestHealthFollowsTheState(t *testing.T) {
	for name, c := range map[string]struct {
		status effect.NodeStatus
		code   int
	}{
		"serving":   {effect.NodeStatus{Revision: 1}, http.StatusOK},
		"leaving":   {effect.NodeStatus{Revision: 1, Draining: true}, http.StatusServiceUnavailable},
		"no tables": {effect.NodeStatus{}, http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			o, _, _ := served(t, c.status)
			recorder := httptest.NewRecorder()
			o.Handler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/healthz", nil))
			is.New(t).Equal(recorder.Code, c.code)
		})
	}
}

// Traffic that repeats a line must not fill the log, and what was left out must be counted.
func TestRepeatedLinesAreLimited(t *testing.T) {
	lines := memory.New()
	now := time.Unix(0, 0)
	o := New(Seams{Log: lines, Now: func() time.Time { return now }})
	for range 1000 {
		o.Observe(effect.WriteLog{Level: effect.Warn, Component: "peer", Message: "message refused"})
	}
	o.Observe(effect.WriteLog{Component: "tables", Message: "revision in force", Fields: []effect.LogField{{Name: "Revision", Value: 3}}})
	o.Close()
	is.New(t).Equal(len(lines.Entries), bursts[effect.Warn]+1)
	is.New(t).Equal(lines.Entries[0].Message, "peer: message refused")
	is.New(t).Equal(lines.Entries[bursts[effect.Warn]].Fields["Revision"], 3)
	passes, suppressed := o.lines.pass(now.Add(lineInterval), "peer: message refused", 1)
	is.New(t).True(passes)
	is.New(t).Equal(suppressed, 1000-bursts[effect.Warn])
}

// A duration must not be written as a number of nanoseconds that nobody can tell from milliseconds.
func TestFieldsAreWrittenInWords(t *testing.T) {
	lines := memory.New()
	o := New(Seams{Log: lines})
	o.Observe(effect.WriteLog{Component: "request", Message: "request answered", Fields: []effect.LogField{
		{Name: "Elapsed", Value: 1500 * time.Millisecond}, {Name: "Status", Value: 200},
	}})
	o.Close()
	is.New(t).Equal(lines.Entries[0].Fields["Elapsed"], "1.5s")
	is.New(t).Equal(lines.Entries[0].Fields["Status"], 200)
}

// The log's writer may block, for example on a full pipe; the control loop must not.
func TestObserveDoesNotBlock(t *testing.T) {
	entered, release := make(chan struct{}, 1), make(chan struct{})
	o := New(Seams{Log: blocked(entered, release)})
	o.Observe(effect.WriteLog{Component: "tables", Message: "revision in force"})
	<-entered
	for range 2 * observationQueue {
		o.Observe(effect.WriteLog{Component: "peer", Message: "message refused"})
	}
	is.New(t).Equal(o.logged.dropped.Load(), int64(observationQueue))
	close(release)
	o.Close()
}

// A log that nobody reads must neither hold up the metrics nor the end of the process.
func TestUnreadLog(t *testing.T) {
	is := is.New(t)
	entered, release := make(chan struct{}, 1), make(chan struct{})
	defer close(release)
	o := New(Seams{Log: blocked(entered, release)})
	o.Observe(effect.WriteLog{Component: "tables", Message: "revision in force"})
	<-entered
	for range 2 * observationQueue {
		o.Observe(effect.WriteLog{Component: "peer", Message: "message refused"})
	}
	measured := make(chan struct{})
	o.measured.carryOut = func(effect.Effect) { close(measured) }
	o.Observe(effect.AddToCounter{Name: "requests", Delta: 1})
	<-measured
	ended := make(chan struct{})
	go func() {
		o.Close()
		close(ended)
	}()
	select {
	case <-ended:
	case <-time.After(10 * closeWait):
		t.Fatal("the log holds the end of the process")
	}
	is.Equal(len(o.logged.waiting), observationQueue) // the memory is bounded
}

// Measures what a line costs the goroutine that observes it, with a log that is read and one that is not.
func BenchmarkObserve(b *testing.B) {
	line := effect.WriteLog{Component: "request", Message: "request answered", Fields: []effect.LogField{{Name: "Request", Value: "r1"}}}
	for name, handler := range map[string]log.Handler{
		"read":   log.HandlerFunc(func(*log.Entry) error { return nil }),
		"unread": blocked(make(chan struct{}, 1), make(chan struct{})),
	} {
		b.Run(name, func(b *testing.B) {
			o := New(Seams{Log: handler})
			defer o.Close()
			for b.Loop() {
				o.Observe(line)
			}
		})
	}
}

// blocked returns a log handler that says when it is first entered and blocks until the other channel closes.
func blocked(entered chan<- struct{}, until <-chan struct{}) log.Handler {
	return log.HandlerFunc(func(*log.Entry) error {
		select {
		case entered <- struct{}{}:
		default:
		}
		<-until
		return nil
	})
}

// Callers choose their names: metrics by caller must stay within their bound and still show the busy ones.
func TestOnlyBusyCallersAreMeasuredByName(t *testing.T) {
	m := newMetrics(Exporter{})
	defer m.close()
	for i := range 20_000 {
		m.caller(fmt.Sprint("rare", i))
		if i%10 == 0 {
			m.caller("busy")
		}
	}
	is.New(t).Equal(m.caller("busy"), "busy")
	is.New(t).Equal(m.caller("rare19999"), otherCallers)
	is.New(t).Equal(len(m.callers), 1)
	is.New(t).Equal(len(m.counted.counters), callerCounters)
}

// Prometheus panics on a label that is not UTF-8, and callers choose some of them.
func TestLabelsAreValid(t *testing.T) {
	is.New(t).Equal(label("a\xffb"), "a_b")
	is.New(t).True(len(label(strings.Repeat("é", tagLimit))) <= tagLimit)
}
