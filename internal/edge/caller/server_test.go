package caller

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/event"
	"jayfold.dev/jayfold/internal/core/fleet"
)

const testID = fleet.RequestID("REQ")

// testServer is a Server with fakes of the reducer and of the forwarder.
type testServer struct {
	server *Server
	url    string
	// reduce is the fake reducer. The default, forwardOnce, forwards one attempt and relays its response or problem.
	reduce func(*Server, event.Body)
	// forward is the fake forwarder.
	forward func(ctx context.Context, body []byte) (*http.Response, error)

	mu     sync.Mutex
	events []event.Body
}

func newTestServer(t *testing.T) *testServer {
	t.Helper()
	return newLimitedServer(t, 0, 0)
}

// newLimitedServer returns a server with limits for the number of connections and for the memory that callers may make it hold; 0 means none.
func newLimitedServer(t *testing.T, maxConnections int, memoryBytes int64) *testServer {
	t.Helper()
	ts := &testServer{reduce: forwardOnce, forward: func(context.Context, []byte) (*http.Response, error) {
		return newResponse(http.StatusOK, strings.NewReader("hello")), nil
	}}
	settings := Settings{
		Protocol:    NewProtocol(),
		Limits:      fleet.Limits{HeaderBytes: 4 << 10, BodyBytes: 100, HeaderTimeout: time.Second},
		BodyTimeout: 300 * time.Millisecond, BufferedBytes: 1 << 20, MaxConnections: maxConnections, MemoryBytes: memoryBytes,
	}
	ts.server = New(settings, Seams{
		Now:          time.Now,
		NewRequestID: func() fleet.RequestID { return testID },
		Post:         ts.post,
		Forward: func(ctx context.Context, _ effect.ForwardAttempt, _ *http.Request, body []byte) (
			*http.Response, func() fleet.Option[fleet.TargetReport], error) {
			response, err := ts.forward(ctx, body)
			return response, func() fleet.Option[fleet.TargetReport] { return fleet.Option[fleet.TargetReport]{} }, err
		},
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	go func() { _ = ts.server.Serve(listener) }()
	t.Cleanup(func() { _ = ts.server.http.Close() })
	ts.url = "http://" + listener.Addr().String()
	return ts
}

func (ts *testServer) post(body event.Body) {
	ts.mu.Lock()
	ts.events = append(ts.events, body)
	ts.mu.Unlock()
	ts.reduce(ts.server, body)
}

// waitForEvent fails the test unless an event that matches is posted within 2 s.
func (ts *testServer) waitForEvent(t *testing.T, match func(event.Body) bool) {
	t.Helper()
	for range 200 {
		ts.mu.Lock()
		for _, body := range ts.events {
			if match(body) {
				ts.mu.Unlock()
				return
			}
		}
		ts.mu.Unlock()
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("the event was not posted")
}

func forwardOnce(s *Server, body event.Body) {
	switch body := body.(type) {
	case event.RequestArrived:
		s.ForwardAttempt(effect.ForwardAttempt{Attempt: fleet.Attempt{ID: fleet.NewAttemptID(body.Request.ID, 1)}})
	case event.AttemptFinished:
		request := body.Attempt.Request()
		if problem, failed := body.Outcome.Problem.Get(); failed {
			s.RefuseRequest(effect.RefuseRequest{Request: request, Problem: problem})
			return
		}
		s.RelayResponse(effect.RelayResponse{Request: request, Attempt: body.Attempt})
	}
}

func newResponse(status int, body io.Reader) *http.Response {
	return &http.Response{StatusCode: status, Header: http.Header{"X-Target": {"1"}}, Body: io.NopCloser(body)}
}

// do sends a request and reads the whole response.
func (ts *testServer) do(t *testing.T, request *http.Request) result {
	t.Helper()
	response, err := http.DefaultTransport.RoundTrip(request)
	is.New(t).NoErr(err)
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return result{status: response.StatusCode, header: response.Header, body: string(body), err: err}
}

// result is a response as the caller received it. err is the error of reading the body.
type result struct {
	status int
	header http.Header
	body   string
	err    error
}

func (ts *testServer) request(t *testing.T, method, path, body string, headers ...string) *http.Request {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, ts.url+path, strings.NewReader(body))
	is.New(t).NoErr(err)
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Add(headers[i], headers[i+1])
	}
	return request
}

func assertRefusal(t *testing.T, got result, status int, verdict string) {
	t.Helper()
	is := is.New(t)
	is.NoErr(got.err)
	is.Equal(got.status, status)
	is.Equal(got.header.Get("Jayfold-Verdict"), verdict)
	is.Equal(got.header.Get("Jayfold-Request"), string(testID))
	var refusal wireRefusal
	is.NoErr(json.Unmarshal([]byte(got.body), &refusal))
	is.Equal(refusal.Verdict, verdict)
	is.Equal(refusal.Request, string(testID))
}

// TestRelaysResponses guards against responses that are altered on the way to the caller, in particular those that do not fit in
// the buffer.
func TestRelaysResponses(t *testing.T) {
	long := strings.Repeat("x", 3*maxBufferedBytes)
	for name, want := range map[string]string{"short": "hello", "empty": "", "long": long} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ts := newTestServer(t)
			ts.forward = func(context.Context, []byte) (*http.Response, error) {
				return newResponse(http.StatusTeapot, strings.NewReader(want)), nil
			}
			got := ts.do(t, ts.request(t, "GET", "/a", ""))
			is.NoErr(got.err)
			is.Equal(got.status, http.StatusTeapot)
			is.True(got.body == want)
			is.Equal(got.header.Get("X-Target"), "1")
			is.Equal(got.header.Get("Jayfold-Verdict"), "Ran")
			is.Equal(got.header.Get("Jayfold-Request"), string(testID))
		})
	}
}

type brokenReader struct {
	rest io.Reader
}

func (r brokenReader) Read(p []byte) (int, error) {
	n, err := r.rest.Read(p)
	if errors.Is(err, io.EOF) {
		return n, fleet.NewProblem(fleet.Broken, fleet.MayHaveRun, "cut")
	}
	return n, err
}

// TestTruncatedResponses guards against truncated responses that look complete. A short one must become a refusal; a long one,
// whose start has already been sent, must break the caller's connection.
func TestTruncatedResponses(t *testing.T) {
	t.Run("short", func(t *testing.T) {
		ts := newTestServer(t)
		ts.forward = func(context.Context, []byte) (*http.Response, error) {
			return newResponse(http.StatusOK, brokenReader{strings.NewReader("half")}), nil
		}
		got := ts.do(t, ts.request(t, "GET", "/a", ""))
		assertRefusal(t, got, http.StatusBadGateway, "MayHaveRun")
	})
	t.Run("long", func(t *testing.T) {
		ts := newTestServer(t)
		ts.forward = func(context.Context, []byte) (*http.Response, error) {
			return newResponse(http.StatusOK, brokenReader{strings.NewReader(strings.Repeat("x", 2*maxBufferedBytes))}), nil
		}
		got := ts.do(t, ts.request(t, "GET", "/a", ""))
		is.New(t).True(got.err != nil)
	})
}

// TestRefusesBadInput guards against invalid requests that reach the reducer or get the wrong refusal.
func TestRefusesBadInput(t *testing.T) {
	for name, c := range map[string]struct {
		body    string
		headers []string
		status  int
	}{
		"body too large":          {strings.Repeat("x", 101), nil, http.StatusRequestEntityTooLarge},
		"headers too large":       {"", []string{"X-Big", strings.Repeat("x", 5<<10)}, http.StatusRequestHeaderFieldsTooLarge},
		"timeout malformed":       {"", []string{"Jayfold-Timeout", "soon"}, http.StatusBadRequest},
		"timeout negative":        {"", []string{"Jayfold-Timeout", "-1s"}, http.StatusBadRequest},
		"idempotent malformed":    {"", []string{"Jayfold-Idempotent", "no"}, http.StatusBadRequest},
		"two callers":             {"", []string{"Jayfold-Caller", "a", "Jayfold-Caller", "b"}, http.StatusBadRequest},
		"two parents":             {"", []string{"Jayfold-Parent", "a", "Jayfold-Parent", "b"}, http.StatusBadRequest},
		"idempotency key is long": {"", []string{"Idempotency-Key", strings.Repeat("k", 257)}, http.StatusBadRequest},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ts := newTestServer(t)
			got := ts.do(t, ts.request(t, "POST", "/a", c.body, c.headers...))
			assertRefusal(t, got, c.status, "NotRun")
			is.Equal(len(ts.events), 0)
		})
	}
}

// TestSlowBody guards against callers that occupy a goroutine by sending their body slowly.
func TestSlowBody(t *testing.T) {
	is := is.New(t)
	ts := newTestServer(t)
	conn, err := net.Dial("tcp", strings.TrimPrefix(ts.url, "http://"))
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nabc")
	is.NoErr(err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	defer func() { _ = response.Body.Close() }()
	is.Equal(response.StatusCode, http.StatusBadRequest)
}

// TestRefusals guards against refusals with the wrong status or without Retry-After.
func TestRefusals(t *testing.T) {
	for cause, status := range map[fleet.Cause]int{
		fleet.NoRoute: 404, fleet.Quarantined: 429, fleet.Overloaded: 503, fleet.NoTarget: 503, fleet.NoTables: 503,
		fleet.TargetFailed: 502, fleet.Broken: 502, fleet.DeadlinePassed: 504, fleet.KeyConflict: 409,
		fleet.Unauthorized: 401, fleet.UnknownParent: 503, fleet.OverCap: 429,
	} {
		t.Run(string(cause), func(t *testing.T) {
			ts := newTestServer(t)
			ts.reduce = func(s *Server, _ event.Body) {
				problem := fleet.NewProblem(cause, fleet.NotRun, "no").WithRetryAfter(1500 * time.Millisecond)
				s.RefuseRequest(effect.RefuseRequest{Request: testID, Problem: problem})
			}
			got := ts.do(t, ts.request(t, "GET", "/a", ""))
			assertRefusal(t, got, status, "NotRun")
			is.New(t).Equal(got.header.Get("Retry-After") == "2", status == 503 || cause == fleet.OverCap)
			is.New(t).Equal(got.header.Get("Www-Authenticate") != "", status == 401)
		})
	}
}

// TestCallerDisconnects guards against attempts that continue after their caller has disconnected.
func TestCallerDisconnects(t *testing.T) {
	ts := newTestServer(t)
	canceled := make(chan struct{})
	ts.forward = func(ctx context.Context, _ []byte) (*http.Response, error) {
		<-ctx.Done()
		close(canceled)
		return nil, fleet.NewProblem(fleet.Canceled, fleet.MayHaveRun, "canceled")
	}
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	response, err := http.DefaultTransport.RoundTrip(ts.request(t, "GET", "/a", "").WithContext(ctx))
	if err == nil {
		_ = response.Body.Close()
		t.Fatal("want no response")
	}
	<-canceled
	ts.waitForEvent(t, func(body event.Body) bool { return body == event.RequestCanceled{Request: testID} })
}

// TestRelaysResponseOfNamedAttempt guards against relaying the response of an attempt other than the one that the effect names,
// and against executing effects for other requests.
func TestRelaysResponseOfNamedAttempt(t *testing.T) {
	is := is.New(t)
	ts := newTestServer(t)
	bodies := make(chan string, 2)
	bodies <- "one"
	bodies <- "two"
	ts.forward = func(context.Context, []byte) (*http.Response, error) {
		return newResponse(http.StatusOK, strings.NewReader(<-bodies)), nil
	}
	ts.reduce = func(s *Server, body event.Body) {
		switch body := body.(type) {
		case event.RequestArrived:
			s.ForwardAttempt(effect.ForwardAttempt{Attempt: fleet.Attempt{ID: "REQ.1"}})
		case event.AttemptFinished:
			if body.Attempt == "REQ.1" {
				s.ForwardAttempt(effect.ForwardAttempt{Attempt: fleet.Attempt{ID: "REQ.2"}})
				return
			}
			s.RelayResponse(effect.RelayResponse{Request: "OTHER", Attempt: "REQ.1"})
			s.RelayResponse(effect.RelayResponse{Request: testID, Attempt: "REQ.2"})
		}
	}
	got := ts.do(t, ts.request(t, "GET", "/a", ""))
	is.NoErr(got.err)
	is.Equal(got.body, "two")
}

// TestShutdownFinishesRequests guards against a shutdown that interrupts a request in flight.
func TestShutdownFinishesRequests(t *testing.T) {
	is := is.New(t)
	ts := newTestServer(t)
	started := make(chan struct{})
	ts.forward = func(context.Context, []byte) (*http.Response, error) {
		close(started)
		time.Sleep(100 * time.Millisecond)
		return newResponse(http.StatusOK, strings.NewReader("done")), nil
	}
	stopped := make(chan error, 1)
	go func() {
		<-started
		stopped <- ts.server.Shutdown(context.Background())
	}()
	got := ts.do(t, ts.request(t, "GET", "/a", ""))
	is.NoErr(got.err)
	is.Equal(got.body, "done")
	is.NoErr(<-stopped)
	recorder := httptest.NewRecorder()
	ts.server.http.Handler.ServeHTTP(recorder, httptest.NewRequest("GET", readyPath, nil))
	is.Equal(recorder.Code, http.StatusServiceUnavailable)
}

// TestParentHeader guards against ignoring the Jayfold-Parent header, without which child requests cannot be traced to their
// parent.
func TestParentHeader(t *testing.T) {
	is := is.New(t)
	r := httptest.NewRequest(http.MethodGet, "http://h/a", nil)
	r.Header.Set("Jayfold-Parent", "r1")
	request, err := decodeRequest(r, nil)
	is.NoErr(err)
	is.Equal(request.Parent, fleet.RequestID("r1"))
}

// TestPathOfRequest guards against a request that is routed by another path than the one that its target receives.
func TestPathOfRequest(t *testing.T) {
	for sent, want := range map[string]string{"/a/%62": "/a/b", "/a%2fb": "/a%2Fb", "/a/b/": "/a/b/"} {
		t.Run(sent, func(t *testing.T) {
			is := is.New(t)
			request, err := decodeRequest(httptest.NewRequest(http.MethodGet, sent, nil), nil)
			is.NoErr(err)
			is.Equal(request.Path, want)
		})
	}
}
