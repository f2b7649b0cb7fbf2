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

// sampleStatus returns a status with one ejected and one draining target.
func sampleStatus() effect.NodeStatus {
	ejected := fleet.Target{ID: "n1/t1", Pool: "stock", Slots: 4, Ejected: true}
	draining := fleet.Target{ID: "n2/t1", Pool: "stock", Slots: 4, State: fleet.TargetDraining}
	return effect.NodeStatus{
		Node:           "n1",
		Revision:       7,
		NewestRevision: 8,
		Unread:         []string{`route "a" has the unknown type "stream"`},
		Services:       []effect.ServiceStatus{{Service: "inventory", Pool: "stock", Floor: 3, Known: 3, InService: 2}},
		Targets:        []effect.TargetStatus{{Target: ejected, Judged: 40, Bad: 21, Score: 14.5, Baseline: 30 * time.Millisecond}},
		Members:        []fleet.Member{{Node: "n1", Targets: []fleet.Target{ejected}}, {Node: "n2", Targets: []fleet.Target{draining}}},
		Quarantined:    []effect.QuarantineStatus{{Fingerprint: 0xabc}},
	}
}

// newTestOperator returns an operator whose fake control loop replies with the given status, its log and its HTTP address.
func newTestOperator(t *testing.T, s effect.NodeStatus) (*Operator, *memory.Handler, string) {
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

func printStatus(t *testing.T, address string, asJSON bool) string {
	t.Helper()
	var b bytes.Buffer
	is.New(t).NoErr(PrintStatus(context.Background(), &b, address, asJSON))
	return b.String()
}

// assertContains fails the test unless text contains every part.
func assertContains(t *testing.T, text string, parts ...string) {
	t.Helper()
	for _, part := range parts {
		if !strings.Contains(text, part) {
			t.Errorf("%q is missing in:\n%s", part, text)
		}
	}
}

// TestStatusShowsProblems guards against a status text that omits ejected or draining targets, pools below their floor,
// quarantined requests or parts of the tables that the node cannot read.
func TestStatusShowsProblems(t *testing.T) {
	_, _, address := newTestOperator(t, sampleStatus())
	text := printStatus(t, address, false)
	assertContains(t, text, "7 here, 8 newest seen", "below the floor", "21 of 40 requests bad, score 14.5, baseline 30ms",
		"DRAINING", "n2/t1", "0000000000000abc")
	assertContains(t, text, `1 unread: route "a" has the unknown type "stream"`)
	assertContains(t, printStatus(t, address, true), `"Bad": 21`, `"NewestRevision": 8`, `"Status": "Alive"`)
}

// TestStatusShowsCosts guards against a status without the estimates by which targets are placed by cost.
func TestStatusShowsCosts(t *testing.T) {
	s := sampleStatus()
	_, _, address := newTestOperator(t, s)
	is.New(t).True(!strings.Contains(printStatus(t, address, true), "MeanTime"))
	s.Targets[0].ExpectedWait, s.Targets[0].MeanTime = 30*time.Millisecond, 120*time.Millisecond
	_, _, address = newTestOperator(t, s)
	assertContains(t, printStatus(t, address, true), `"ExpectedWait": "30ms"`, `"MeanTime": "120ms"`)
}

// TestStatusFitsOnOneScreen guards against a status text that does not fit on one screen, here with 540 leaving nodes.
func TestStatusFitsOnOneScreen(t *testing.T) {
	s := sampleStatus()
	for i := range 540 {
		s.Members = append(s.Members, fleet.Member{Node: fleet.NodeID(fmt.Sprint("m", i)), Status: fleet.Leaving, Targets: s.Members[0].Targets})
		s.Services = append(s.Services, s.Services[0])
		s.Quarantined = append(s.Quarantined, s.Quarantined[0])
	}
	_, _, address := newTestOperator(t, s)
	text := printStatus(t, address, false)
	assertContains(t, text, "and 529 more")
	is.New(t).True(strings.Count(text, "\n") <= 4*(maxRows+3)+3)
}

// TestHealthEndpoint guards against health checks that report a node as healthy while it is leaving or has no tables.
func TestHealthEndpoint(t *testing.T) {
	for name, c := range map[string]struct {
		status effect.NodeStatus
		code   int
	}{
		"serving":   {effect.NodeStatus{Revision: 1}, http.StatusOK},
		"leaving":   {effect.NodeStatus{Revision: 1, Draining: true}, http.StatusServiceUnavailable},
		"no tables": {effect.NodeStatus{}, http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			o, _, _ := newTestOperator(t, c.status)
			recorder := httptest.NewRecorder()
			o.Handler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/healthz", nil))
			is.New(t).Equal(recorder.Code, c.code)
		})
	}
}

// TestRepeatedLinesAreLimited guards against repeated lines that fill the log, and against suppressed lines that are not
// counted.
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
	allowed, suppressed := o.logger.allow(now.Add(rateLimitInterval), "peer: message refused", 1)
	is.New(t).True(allowed)
	is.New(t).Equal(suppressed, 1000-bursts[effect.Warn])
}

// TestFieldsAreFormatted guards against durations that are logged as plain numbers of nanoseconds, without a unit.
func TestFieldsAreFormatted(t *testing.T) {
	lines := memory.New()
	o := New(Seams{Log: lines})
	o.Observe(effect.WriteLog{Component: "request", Message: "request answered", Fields: []effect.LogField{
		{Name: "Elapsed", Value: 1500 * time.Millisecond}, {Name: "Status", Value: 200},
	}})
	o.Close()
	is.New(t).Equal(lines.Entries[0].Fields["Elapsed"], "1.5s")
	is.New(t).Equal(lines.Entries[0].Fields["Status"], 200)
}

// TestObserveDoesNotBlock guards against a log writer that blocks the control loop, for example on a full pipe.
func TestObserveDoesNotBlock(t *testing.T) {
	entered, release := make(chan struct{}, 1), make(chan struct{})
	o := New(Seams{Log: blockingHandler(entered, release)})
	o.Observe(effect.WriteLog{Component: "tables", Message: "revision in force"})
	<-entered
	for range 2 * queueCapacity {
		o.Observe(effect.WriteLog{Component: "peer", Message: "message refused"})
	}
	is.New(t).Equal(o.logQueue.dropped.Load(), int64(queueCapacity))
	close(release)
	o.Close()
}

// TestBlockedLog guards against a blocked log writer that delays the metrics or the exit of the process.
func TestBlockedLog(t *testing.T) {
	is := is.New(t)
	entered, release := make(chan struct{}, 1), make(chan struct{})
	defer close(release)
	o := New(Seams{Log: blockingHandler(entered, release)})
	o.Observe(effect.WriteLog{Component: "tables", Message: "revision in force"})
	<-entered
	for range 2 * queueCapacity {
		o.Observe(effect.WriteLog{Component: "peer", Message: "message refused"})
	}
	measured := make(chan struct{})
	o.metricsQueue.execute = func(effect.Effect) { close(measured) }
	o.Observe(effect.AddToCounter{Name: "requests", Delta: 1})
	<-measured
	closed := make(chan struct{})
	go func() {
		o.Close()
		close(closed)
	}()
	select {
	case <-closed:
	case <-time.After(10 * closeTimeout):
		t.Fatal("the blocked log delays Close")
	}
	is.Equal(len(o.logQueue.effects), queueCapacity) // the queue is bounded
}

// BenchmarkObserve measures the cost of a log line for the goroutine that calls Observe, with a working and a blocked log writer.
func BenchmarkObserve(b *testing.B) {
	line := effect.WriteLog{Component: "request", Message: "request answered", Fields: []effect.LogField{{Name: "Request", Value: "r1"}}}
	for name, handler := range map[string]log.Handler{
		"working": log.HandlerFunc(func(*log.Entry) error { return nil }),
		"blocked": blockingHandler(make(chan struct{}, 1), make(chan struct{})),
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

// blockingHandler returns a log handler that sends to entered and then blocks until the channel until is closed.
func blockingHandler(entered chan<- struct{}, until <-chan struct{}) log.Handler {
	return log.HandlerFunc(func(*log.Entry) error {
		select {
		case entered <- struct{}{}:
		default:
		}
		<-until
		return nil
	})
}

// TestOnlyBusyCallersAreMeasuredByName guards against an unbounded number of histograms by caller, since callers choose their
// names, and against busy callers without their own histogram.
func TestOnlyBusyCallersAreMeasuredByName(t *testing.T) {
	m := newMetrics(Exporter{})
	defer m.close()
	for i := range 20_000 {
		m.callerLabel(fmt.Sprint("rare", i))
		if i%10 == 0 {
			m.callerLabel("busy")
		}
	}
	is.New(t).Equal(m.callerLabel("busy"), "busy")
	is.New(t).Equal(m.callerLabel("rare19999"), otherCallers)
	is.New(t).Equal(len(m.namedCallers), 1)
	is.New(t).Equal(len(m.callerCounts.counters), trackedCallers)
}

// TestLabelsAreValid guards against label values on which the Prometheus client panics because they are not UTF-8, and against
// label values of unlimited length. Callers choose some of them.
func TestLabelsAreValid(t *testing.T) {
	is.New(t).Equal(sanitizeLabel("a\xffb"), "a_b")
	is.New(t).True(len(sanitizeLabel(strings.Repeat("é", maxLabelBytes))) <= maxLabelBytes)
}
