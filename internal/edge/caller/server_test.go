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

// bench is a caller server with a stand-in for the reducer and for the forwarder.
type bench struct {
	server *Server
	url    string
	// decide stands in for the reducer. The default forwards once and passes on what comes.
	decide func(*Server, event.Body)
	// reply stands in for the forwarder.
	reply func(ctx context.Context, body []byte) (*http.Response, error)

	mu     sync.Mutex
	events []event.Body
}

func newBench(t *testing.T) *bench {
	t.Helper()
	b := &bench{decide: passOn, reply: func(context.Context, []byte) (*http.Response, error) {
		return replied(http.StatusOK, strings.NewReader("hello")), nil
	}}
	settings := Settings{
		Protocol:    NewProtocol(),
		Limits:      fleet.Limits{HeaderBytes: 4 << 10, BodyBytes: 100, HeaderTimeout: time.Second},
		BodyTimeout: 300 * time.Millisecond,
	}
	b.server = New(settings, Seams{
		Now:          time.Now,
		NewRequestID: func() fleet.RequestID { return testID },
		Post:         b.post,
		Forward: func(ctx context.Context, _ effect.ForwardAttempt, _ *http.Request, body []byte) (
			*http.Response, func() fleet.Option[fleet.TargetReport], error) {
			response, err := b.reply(ctx, body)
			return response, func() fleet.Option[fleet.TargetReport] { return fleet.Option[fleet.TargetReport]{} }, err
		},
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	go func() { _ = b.server.Serve(listener) }()
	t.Cleanup(func() { _ = b.server.http.Close() })
	b.url = "http://" + listener.Addr().String()
	return b
}

func (b *bench) post(body event.Body) {
	b.mu.Lock()
	b.events = append(b.events, body)
	b.mu.Unlock()
	b.decide(b.server, body)
}

// seen waits for an event for which match holds.
func (b *bench) seen(t *testing.T, match func(event.Body) bool) {
	t.Helper()
	for range 200 {
		b.mu.Lock()
		for _, body := range b.events {
			if match(body) {
				b.mu.Unlock()
				return
			}
		}
		b.mu.Unlock()
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("the event did not come")
}

func passOn(s *Server, body event.Body) {
	switch body := body.(type) {
	case event.RequestArrived:
		s.ForwardAttempt(effect.ForwardAttempt{Attempt: fleet.Attempt{ID: fleet.NewAttemptID(body.Request.ID, 1)}})
	case event.AttemptFinished:
		if problem, failed := body.Outcome.Problem.Get(); failed {
			s.RefuseRequest(effect.RefuseRequest{Request: testID, Problem: problem})
			return
		}
		s.RelayResponse(effect.RelayResponse{Request: testID, Attempt: body.Attempt})
	}
}

func replied(status int, body io.Reader) *http.Response {
	return &http.Response{StatusCode: status, Header: http.Header{"X-Answer": {"1"}}, Body: io.NopCloser(body)}
}

// do sends a request and reads the whole answer.
func (b *bench) do(t *testing.T, request *http.Request) answered {
	t.Helper()
	response, err := http.DefaultTransport.RoundTrip(request)
	is.New(t).NoErr(err)
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return answered{status: response.StatusCode, header: response.Header, body: string(body), err: err}
}

// answered is what a caller got. The error is that of reading the body.
type answered struct {
	status int
	header http.Header
	body   string
	err    error
}

func (b *bench) request(t *testing.T, method, path, body string, headers ...string) *http.Request {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, b.url+path, strings.NewReader(body))
	is.New(t).NoErr(err)
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Add(headers[i], headers[i+1])
	}
	return request
}

func wantRefusal(t *testing.T, got answered, status int, verdict string) {
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

// Guards against answers that are changed on their way to the caller.
func TestAnswers(t *testing.T) {
	long := strings.Repeat("x", 3*maxBuffered)
	for name, want := range map[string]string{"short": "hello", "empty": "", "long": long} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newBench(t)
			b.reply = func(context.Context, []byte) (*http.Response, error) {
				return replied(http.StatusTeapot, strings.NewReader(want)), nil
			}
			got := b.do(t, b.request(t, "GET", "/a", ""))
			is.NoErr(got.err)
			is.Equal(got.status, http.StatusTeapot)
			is.True(got.body == want)
			is.Equal(got.header.Get("X-Answer"), "1")
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

// Guards against a truncated answer that looks whole: a short one becomes a refusal, a long one breaks the connection.
func TestBrokenAnswers(t *testing.T) {
	t.Run("short", func(t *testing.T) {
		b := newBench(t)
		b.reply = func(context.Context, []byte) (*http.Response, error) {
			return replied(http.StatusOK, brokenReader{strings.NewReader("half")}), nil
		}
		got := b.do(t, b.request(t, "GET", "/a", ""))
		wantRefusal(t, got, http.StatusBadGateway, "MayHaveRun")
	})
	t.Run("long", func(t *testing.T) {
		b := newBench(t)
		b.reply = func(context.Context, []byte) (*http.Response, error) {
			return replied(http.StatusOK, brokenReader{strings.NewReader(strings.Repeat("x", 2*maxBuffered))}), nil
		}
		got := b.do(t, b.request(t, "GET", "/a", ""))
		is.New(t).True(got.err != nil)
	})
}

// Guards against bad input that reaches the reducer or gets no clear refusal.
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
			b := newBench(t)
			got := b.do(t, b.request(t, "POST", "/a", c.body, c.headers...))
			wantRefusal(t, got, c.status, "NotRun")
			is.Equal(len(b.events), 0)
		})
	}
}

// Guards against callers that hold a goroutine by sending their body slowly.
func TestSlowBody(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	conn, err := net.Dial("tcp", strings.TrimPrefix(b.url, "http://"))
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nabc")
	is.NoErr(err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	defer func() { _ = response.Body.Close() }()
	is.Equal(response.StatusCode, http.StatusBadRequest)
}

// Guards against refusals with the wrong status or without Retry-After.
func TestRefusals(t *testing.T) {
	for cause, status := range map[fleet.Cause]int{
		fleet.NoRoute: 404, fleet.Quarantined: 429, fleet.Overloaded: 503, fleet.NoTarget: 503, fleet.NoTables: 503,
		fleet.TargetFailed: 502, fleet.Broken: 502, fleet.DeadlinePassed: 504, fleet.KeyConflict: 409,
	} {
		t.Run(string(cause), func(t *testing.T) {
			b := newBench(t)
			b.decide = func(s *Server, _ event.Body) {
				problem := fleet.NewProblem(cause, fleet.NotRun, "no").WithRetryAfter(1500 * time.Millisecond)
				s.RefuseRequest(effect.RefuseRequest{Request: testID, Problem: problem})
			}
			got := b.do(t, b.request(t, "GET", "/a", ""))
			wantRefusal(t, got, status, "NotRun")
			is.New(t).Equal(got.header.Get("Retry-After") == "2", status == 503)
		})
	}
}

// Guards against work for a caller that went away.
func TestCallerGoesAway(t *testing.T) {
	b := newBench(t)
	ended := make(chan struct{})
	b.reply = func(ctx context.Context, _ []byte) (*http.Response, error) {
		<-ctx.Done()
		close(ended)
		return nil, fleet.NewProblem(fleet.Canceled, fleet.MayHaveRun, "canceled")
	}
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	response, err := http.DefaultTransport.RoundTrip(b.request(t, "GET", "/a", "").WithContext(ctx))
	if err == nil {
		_ = response.Body.Close()
		t.Fatal("want no answer")
	}
	<-ended
	b.seen(t, func(body event.Body) bool { return body == event.RequestCanceled{Request: testID} })
}

// Guards against an answer to an attempt that is no longer wanted, and against answers in the wrong order.
func TestAnswerBelongsToTheAttemptThatTheReducerNames(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	replies := make(chan string, 2)
	replies <- "one"
	replies <- "two"
	b.reply = func(context.Context, []byte) (*http.Response, error) {
		return replied(http.StatusOK, strings.NewReader(<-replies)), nil
	}
	b.decide = func(s *Server, body event.Body) {
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
	got := b.do(t, b.request(t, "GET", "/a", ""))
	is.NoErr(got.err)
	is.Equal(got.body, "two")
}

// Guards against a shutdown that interrupts a request in flight.
func TestShutdownFinishesRequests(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	started := make(chan struct{})
	b.reply = func(context.Context, []byte) (*http.Response, error) {
		close(started)
		time.Sleep(100 * time.Millisecond)
		return replied(http.StatusOK, strings.NewReader("done")), nil
	}
	stopped := make(chan error, 1)
	go func() {
		<-started
		stopped <- b.server.Shutdown(context.Background())
	}()
	got := b.do(t, b.request(t, "GET", "/a", ""))
	is.NoErr(got.err)
	is.Equal(got.body, "done")
	is.NoErr(<-stopped)
	recorder := httptest.NewRecorder()
	b.server.http.Handler.ServeHTTP(recorder, httptest.NewRequest("GET", readyPath, nil))
	is.Equal(recorder.Code, http.StatusServiceUnavailable)
}

// Guards against calls of targets that nobody can trace to the request that made them.
func TestCallsNameTheirParent(t *testing.T) {
	is := is.New(t)
	r := httptest.NewRequest(http.MethodGet, "http://h/a", nil)
	r.Header.Set("Jayfold-Parent", "r1")
	request, err := decodeRequest(r, nil)
	is.NoErr(err)
	is.Equal(request.Parent, fleet.RequestID("r1"))
}
