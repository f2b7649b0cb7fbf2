package peer

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/event"
	"jayfold.dev/jayfold/internal/core/fleet"
)

// harness connects a forwarder to a sidecar on loopback that has a fake reducer and a fake target.
type harness struct {
	sidecar   *Sidecar
	forwarder *Forwarder
	server    *http.Server
	address   string
	// decide is the fake reducer. The default starts every run immediately.
	decide func(*Sidecar, event.Body)
	// target is the handler of the fake target.
	target http.HandlerFunc

	mu     sync.Mutex
	events []event.Body
}

func newHarness(t *testing.T) *harness {
	t.Helper()
	h := &harness{decide: admitAll, target: func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "hello") }}
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { h.target(w, r) }))
	t.Cleanup(target.Close)
	h.sidecar = NewSidecar(SidecarSeams{
		Now:     time.Now,
		Post:    h.post,
		Crashed: func(context.Context, string) bool { return false },
		Run: func(ctx context.Context, _ effect.StartRun, r *http.Request) (*http.Response, error) {
			return runOn(ctx, target.URL, r)
		},
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	h.server = NewForwardServer(h.sidecar)
	go func() { _ = h.server.Serve(listener) }()
	t.Cleanup(func() { _ = h.server.Close() })
	h.address = listener.Addr().String()
	h.forwarder = NewForwarder("a", ForwarderSeams{Now: time.Now, Post: func(event.Body) {}})
	t.Cleanup(h.forwarder.Close)
	return h
}

func runOn(ctx context.Context, target string, r *http.Request) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, r.Method, target+r.URL.RequestURI(), r.Body)
	if err != nil {
		return nil, err
	}
	request.Header = r.Header.Clone()
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		return nil, fleet.NewProblem(fleet.Broken, fleet.MayHaveRun, err.Error())
	}
	return response, nil
}

func (h *harness) post(body event.Body) {
	h.mu.Lock()
	h.events = append(h.events, body)
	h.mu.Unlock()
	h.decide(h.sidecar, body)
}

// waitForOutcome returns the outcome of the first run that finishes, or fails the test after about two seconds.
func (h *harness) waitForOutcome(t *testing.T) fleet.Outcome {
	t.Helper()
	for range 200 {
		h.mu.Lock()
		for _, body := range h.events {
			if run, ok := body.(event.RunFinished); ok {
				h.mu.Unlock()
				return run.Outcome
			}
		}
		h.mu.Unlock()
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("no run finished")
	return fleet.Outcome{}
}

var testReport = fleet.TargetReport{
	Target: "b/t", Class: fleet.Order, Load: fleet.Load{InFlight: 1, Queued: 2, Slots: 3}, P95: 5 * time.Millisecond,
	Revision: 9, Quarantined: []fleet.Fingerprint{7, 8},
}

func admitAll(s *Sidecar, body event.Body) {
	switch body := body.(type) {
	case event.AdmissionRequested:
		s.StartRun(effect.StartRun{Attempt: body.Attempt})
	case event.RunFinished:
		s.AttachRunReport(effect.AttachRunReport{Attempt: body.Attempt, Report: testReport})
	}
}

func (h *harness) attempt() fleet.Attempt {
	return fleet.Attempt{
		ID: "r.1", Target: "b/t", Pool: "p", Node: "b", Address: h.address, Class: fleet.Order, Caller: "acme",
		Deadline: time.Now().Add(2 * time.Second), Baseline: time.Millisecond, Fingerprint: 5,
	}
}

// forwardResult holds the results of Forwarder.Forward and the body of the response.
type forwardResult struct {
	response *http.Response
	report   func() fleet.Option[fleet.TargetReport]
	body     string
	err      error
}

// send forwards an attempt and reads the complete response.
func (h *harness) send(ctx context.Context, attempt fleet.Attempt, method, body string) forwardResult {
	r := httptest.NewRequest(method, "http://shop.example/x?q=1", strings.NewReader(body))
	r.Header.Set("Connection", "X-Hop")
	r.Header.Set("X-Hop", "1")
	r.Header.Set("X-Kept", "1")
	r.Header.Set("Jayfold-Verify", "1")
	response, report, err := h.forwarder.Forward(ctx, effect.ForwardAttempt{Attempt: attempt, Revision: 3}, r, []byte(body))
	if err != nil {
		return forwardResult{report: report, err: err}
	}
	defer func() { _ = response.Body.Close() }()
	var got bytes.Buffer
	_, err = io.Copy(&got, response.Body)
	return forwardResult{response: response, report: report, body: got.String(), err: err}
}

func assertProblem(t *testing.T, err error, cause fleet.Cause, verdict fleet.Verdict) {
	t.Helper()
	is := is.New(t)
	is.True(err != nil)
	problem := problemOf(err)
	is.Equal(problem.Cause, cause)
	is.Equal(problem.Verdict, verdict)
}

func assertComplete(t *testing.T, got forwardResult, status int, body string) {
	t.Helper()
	is := is.New(t)
	is.NoErr(got.err)
	is.Equal(got.response.StatusCode, status)
	is.Equal(got.body, body)
	report, ok := got.report().Get()
	is.True(ok)
	is.Equal(report, testReport)
}

// TestForwardPassesCompleteResponses guards against responses that lose their body, headers or report between two nodes.
func TestForwardPassesCompleteResponses(t *testing.T) {
	long := strings.Repeat("0123456789", 50_000)
	for name, c := range map[string]struct {
		method, body string
		status       int
	}{
		"short":        {http.MethodPost, "hello", http.StatusOK},
		"long":         {http.MethodGet, long, http.StatusOK},
		"empty":        {http.MethodGet, "", http.StatusOK},
		"no content":   {http.MethodDelete, "", http.StatusNoContent},
		"not modified": {http.MethodGet, "", http.StatusNotModified},
		"head":         {http.MethodHead, "", http.StatusOK},
		"server error": {http.MethodGet, "oops", http.StatusInternalServerError},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t)
			var seen *http.Request
			h.target = func(w http.ResponseWriter, r *http.Request) {
				seen = r
				w.Header().Set("Jayfold-Problem", "Overloaded 0")
				w.Header().Set("X-Answer", "1")
				w.WriteHeader(c.status)
				_, _ = io.WriteString(w, c.body)
			}
			got := h.send(t.Context(), h.attempt(), c.method, "body")
			assertComplete(t, got, c.status, c.body)
			is.Equal(got.response.Header.Get("X-Answer"), "1")
			is.Equal(got.response.Header.Get("Jayfold-Problem"), "")
			is.Equal(seen.Header.Get("X-Hop"), "")
			is.Equal(seen.Header.Get("X-Kept"), "1")
			is.Equal(seen.Header.Get("Jayfold-Caller"), "acme")
			is.Equal(seen.Header.Get("Jayfold-Attempt"), "")
			_, failed := h.waitForOutcome(t).Problem.Get()
			is.Equal(failed, c.status >= 500)
		})
	}
}

// TestForwardReportsTruncatedResponses guards against a truncated response that looks complete.
func TestForwardReportsTruncatedResponses(t *testing.T) {
	h := newHarness(t)
	h.target = func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "10")
		_, _ = io.WriteString(w, "12345")
		panic(http.ErrAbortHandler)
	}
	got := h.send(t.Context(), h.attempt(), http.MethodGet, "")
	assertProblem(t, got.err, fleet.Broken, fleet.MayHaveRun)
	assertProblem(t, h.waitForOutcome(t).Problem.Or(fleet.Problem{}), fleet.Broken, fleet.MayHaveRun)
}

// TestForwardNeedsTrailers guards against accepting a response that ends cleanly but without the sidecar's trailers.
func TestForwardNeedsTrailers(t *testing.T) {
	h := newHarness(t)
	server := &http.Server{Protocols: new(http.Protocols), Handler: http.HandlerFunc(
		func(w http.ResponseWriter, r *http.Request) {
			wire, _ := decodeAttempt(r.Header, time.Now())
			w.Header().Set(headerEcho, echoValue(wire.Attempt.ID))
			_, _ = io.WriteString(w, "looks complete")
		})}
	server.Protocols.SetUnencryptedHTTP2(true)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	attempt := h.attempt()
	attempt.Address = listener.Addr().String()
	assertProblem(t, h.send(t.Context(), attempt, http.MethodGet, "").err, fleet.Broken, fleet.MayHaveRun)
}

// TestForwardPassesRefusals guards against refusals that lose their verdict or report, and against a duplicate that is reported
// as NotRun.
func TestForwardPassesRefusals(t *testing.T) {
	for _, c := range []struct {
		cause fleet.Cause
		want  fleet.Verdict
	}{{fleet.Overloaded, fleet.NotRun}, {fleet.Duplicate, fleet.MayHaveRun}} {
		t.Run(string(c.cause), func(t *testing.T) {
			h := newHarness(t)
			h.decide = func(s *Sidecar, body event.Body) {
				if requested, ok := body.(event.AdmissionRequested); ok {
					problem := fleet.NewProblem(c.cause, fleet.NotRun, "full")
					s.RefuseAttempt(effect.RefuseAttempt{Attempt: requested.Attempt.ID, Problem: problem, Report: testReport})
				}
			}
			got := h.send(t.Context(), h.attempt(), http.MethodPost, "x")
			assertProblem(t, got.err, c.cause, c.want)
			report, _ := got.report().Get()
			is.New(t).Equal(report, testReport)
		})
	}
}

// TestForwardPassesBudgetCharged guards against a charge to the retry budget that is lost or added between nodes.
func TestForwardPassesBudgetCharged(t *testing.T) {
	for _, charged := range []bool{true, false} {
		t.Run(fmt.Sprint(charged), func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t)
			var requested fleet.Attempt
			h.decide = func(s *Sidecar, body event.Body) {
				if e, ok := body.(event.AdmissionRequested); ok {
					requested = e.Attempt
					problem := fleet.NewProblem(fleet.Failing, fleet.NotRun, "")
					report := testReport
					report.BudgetCharged = charged
					s.RefuseAttempt(effect.RefuseAttempt{Attempt: requested.ID, Problem: problem, Report: report})
				}
			}
			attempt := h.attempt()
			attempt.BudgetCharged = charged
			got := h.send(t.Context(), attempt, http.MethodPost, "1")
			assertProblem(t, got.err, fleet.Failing, fleet.NotRun)
			report, ok := got.report().Get()
			is.True(ok)
			is.Equal(report.BudgetCharged, charged)
			is.Equal(requested.BudgetCharged, charged)
		})
	}
}

// TestForwardToDeadNode guards against the verdict MayHaveRun for an order that was not sent because its node refused the
// connection.
func TestForwardToDeadNode(t *testing.T) {
	h := newHarness(t)
	attempt := h.attempt()
	attempt.Address = "127.0.0.1:1"
	assertProblem(t, h.send(t.Context(), attempt, http.MethodPost, "x").err, fleet.Unreachable, fleet.NotRun)
}

// TestForwardRespondsBeforeCrashCheck guards against a response that waits for the crash check of a broken run, which takes
// longer than a retry on another target.
func TestForwardRespondsBeforeCrashCheck(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	finishCheck := make(chan struct{})
	h.sidecar.seams.Crashed = func(context.Context, string) bool {
		<-finishCheck
		return true
	}
	h.target = func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	got := h.send(t.Context(), h.attempt(), http.MethodGet, "")
	assertProblem(t, got.err, fleet.Broken, fleet.MayHaveRun)
	is.True(h.waitForOutcome(t).CrashCheckPending)
	close(finishCheck)
	h.waitForEvent(t, event.CrashChecked{Attempt: "r.1", TargetCrashed: true})
}

// waitForEvent fails the test unless an event is posted within about two seconds.
func (h *harness) waitForEvent(t *testing.T, want event.Body) {
	t.Helper()
	for range 200 {
		h.mu.Lock()
		found := slices.Contains(h.events, want)
		h.mu.Unlock()
		if found {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("the event was not posted")
}

// sentCountingConn counts the bytes sent on a connection.
type sentCountingConn struct {
	net.Conn
	sent *atomic.Int64
}

// Write implements io.Writer.
func (c sentCountingConn) Write(p []byte) (int, error) {
	c.sent.Add(int64(len(p)))
	return c.Conn.Write(p)
}

// TestForwardDelaysCrossZoneBodies guards against bodies that are sent to another zone although the target refuses the attempt,
// and against bodies that are lost because they are held back.
func TestForwardDelaysCrossZoneBodies(t *testing.T) {
	const bodyBytes = 64 << 10
	for name, c := range map[string]struct {
		crossZone, refused bool
		bodySent           bool
	}{
		"cross-zone, refused":  {true, true, false},
		"cross-zone, accepted": {true, false, true},
		"own zone":             {false, true, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t)
			var sent atomic.Int64
			h.forwarder = NewForwarder("a", ForwarderSeams{Now: time.Now, Post: func(event.Body) {}, Dial: countingDial(&sent)})
			t.Cleanup(h.forwarder.Close)
			var got atomic.Int64
			h.target = func(_ http.ResponseWriter, r *http.Request) {
				n, _ := io.Copy(io.Discard, r.Body)
				got.Store(n)
			}
			if c.refused {
				h.decide = refuseAll
			}
			request := httptest.NewRequest(http.MethodPost, "/order", nil)
			forward := effect.ForwardAttempt{Attempt: h.attempt(), CrossZone: c.crossZone}
			response, _, err := h.forwarder.Forward(t.Context(), forward, request, make([]byte, bodyBytes))
			if c.refused {
				assertProblem(t, err, fleet.Overloaded, fleet.NotRun)
			} else {
				is.NoErr(err)
				is.NoErr(response.Body.Close())
				is.Equal(got.Load(), int64(bodyBytes))
			}
			is.Equal(sent.Load() > bodyBytes/2, c.bodySent)
		})
	}
}

func countingDial(sent *atomic.Int64) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		var dialer net.Dialer
		conn, err := dialer.DialContext(ctx, network, address)
		return sentCountingConn{conn, sent}, err
	}
}

func refuseAll(s *Sidecar, body event.Body) {
	if requested, ok := body.(event.AdmissionRequested); ok {
		problem := fleet.NewProblem(fleet.Overloaded, fleet.NotRun, "full")
		time.Sleep(20 * time.Millisecond) // gives a body that is not held back time to be sent
		s.RefuseAttempt(effect.RefuseAttempt{Attempt: requested.Attempt.ID, Problem: problem, Report: testReport})
	}
}

// TestDialTimeoutDependsOnZone guards against long waits for unreachable nodes: dialing three of them used up most of an order's
// latency goal.
func TestDialTimeoutDependsOnZone(t *testing.T) {
	for name, c := range map[string]struct {
		crossZone bool
		want      time.Duration
	}{"own zone": {false, ownZoneTimeout}, "cross-zone": {true, crossZoneTimeout}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t)
			var allowed time.Duration
			dial := func(ctx context.Context, _, _ string) (net.Conn, error) {
				deadline, _ := ctx.Deadline()
				allowed = time.Until(deadline)
				return nil, context.DeadlineExceeded
			}
			forwarder := NewForwarder("a", ForwarderSeams{Now: time.Now, Post: h.post, Dial: dial})
			r := httptest.NewRequest(http.MethodPost, "http://shop.example/x", nil)
			_, _, err := forwarder.Forward(t.Context(), effect.ForwardAttempt{Attempt: h.attempt(), CrossZone: c.crossZone}, r, nil) //nolint:bodyclose // there is no response
			assertProblem(t, err, fleet.Unreachable, fleet.NotRun)
			is.True(allowed > 0 && allowed <= c.want)
		})
	}
}
