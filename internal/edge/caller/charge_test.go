package caller

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/fleet"
)

// observed collects the reasons of the limits that were counted.
type observed struct {
	mu      sync.Mutex
	reasons map[string]int
	lines   int
}

func (o *observed) observe(e effect.Effect) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch e := e.(type) {
	case effect.AddToCounter:
		o.reasons[e.Labels[0].Value]++
	case effect.WriteLog:
		o.lines++
	}
}

func (o *observed) count(reason string) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.reasons[reason]
}

func newMeteredServer(t *testing.T, bytes int64) (*testServer, *observed) {
	ts := newTestServer(t)
	o := &observed{reasons: map[string]int{}}
	ts.server.seams.Observe = o.observe
	ts.server.seams.NewRequestID = RandomRequestID
	ts.server.SetDefaultLimits(fleet.Limits{HeaderBytes: 64 << 10, BodyBytes: 1 << 20})
	ts.server.SetMemory(bytes)
	return ts, o
}

// waitForNothingHeld fails the test unless all memory is returned within 2 s of the end of the connections.
func (ts *testServer) waitForNothingHeld(t *testing.T) {
	t.Helper()
	for range 200 {
		if ts.server.budget.Used() == 0 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("%d bytes are held", ts.server.budget.Used())
}

// TestMemoryIsReturned guards against memory that stays charged after its request or connection, which would refuse all callers in time.
func TestMemoryIsReturned(t *testing.T) {
	long := strings.Repeat("x", 3*maxBufferedBytes)
	for name, send := range map[string]func(*testing.T, *testServer){
		"pipelined": func(_ *testing.T, ts *testServer) {
			c := ts.dial(t)
			c.get("/1", "/2", "/3")
			for range 3 {
				c.wantBody(long, false)
			}
		},
		"body": func(_ *testing.T, ts *testServer) {
			c := ts.dial(t)
			c.send("POST /1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n")
			c.wantBody(long, false)
			c.wantBody(long, false)
		},
		"large head": func(_ *testing.T, ts *testServer) {
			c := ts.dial(t)
			c.send("GET /1 HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("A: b\r\n", 2000) + "\r\n")
			c.wantBody(long, false)
		},
		"malformed": func(_ *testing.T, ts *testServer) { ts.dial(t).send("nonsense\r\n\r\n") },
		"incomplete head": func(_ *testing.T, ts *testServer) {
			ts.dial(t).send("GET / HTTP/1.1\r\n" + strings.Repeat("A: b\r\n", 1000))
		},
		"incomplete body": func(_ *testing.T, ts *testServer) {
			ts.dial(t).send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n")
		},
		"unread response":     func(_ *testing.T, ts *testServer) { ts.dial(t).get("/1", "/2", "/3") },
		"nothing":             func(_ *testing.T, ts *testServer) { ts.dial(t) },
		"HTTP/2":              func(t *testing.T, ts *testServer) { sendHTTP2(t, ts, "body") },
		"HTTP/2 and no frame": func(_ *testing.T, ts *testServer) { ts.dial(t).send(http2Preface) },
	} {
		t.Run(name, func(t *testing.T) {
			ts, _ := newMeteredServer(t, 32<<20)
			ts.forward = func(context.Context, []byte) (*http.Response, error) {
				return newResponse(http.StatusOK, strings.NewReader(long)), nil
			}
			t.Run("send", func(t *testing.T) { send(t, ts) })
			time.Sleep(20 * time.Millisecond)
			ts.closeAll()
			ts.waitForNothingHeld(t)
		})
	}
}

// closeAll ends the connections that a test has left open.
func (ts *testServer) closeAll() {
	_ = ts.server.http.Close()
	for _, c := range ts.server.conns.close() {
		c.fail()
	}
}

func sendHTTP2(t *testing.T, ts *testServer, body string) int {
	t.Helper()
	transport := &http.Transport{Protocols: new(http.Protocols)}
	transport.Protocols.SetUnencryptedHTTP2(true)
	defer transport.CloseIdleConnections()
	response, err := transport.RoundTrip(ts.request(t, "POST", "/a", body))
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode
}

// TestMemoryIsExhausted guards against ordinary callers that are refused while others hold memory without progress, and against refusals
// that are not true.
func TestMemoryIsExhausted(t *testing.T) {
	is := is.New(t)
	ts, o := newMeteredServer(t, 4<<20)
	large := "POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n" + strings.Repeat("A: b\r\n", 1000) + "\r\n"
	var stalled []*rawCaller
	for range 10 {
		c := ts.dial(t)
		_, _ = io.WriteString(c.conn, large)
		stalled = append(stalled, c)
		time.Sleep(5 * time.Millisecond)
	}
	c := ts.dial(t)
	c.get("/2")
	c.wantBody("hello", false)
	is.True(o.count("evicted") > 0)
	is.True(o.count("memory") > 0)
	o.mu.Lock()
	is.True(o.lines <= 2) // one line a reason
	o.mu.Unlock()
	is.Equal(sendHTTP2(t, ts, ""), http.StatusOK)
	for _, c := range stalled {
		response, err := http.ReadResponse(c.reader, nil)
		if err != nil {
			continue // evicted
		}
		_ = response.Body.Close()
		is.Equal(response.Header.Get("Jayfold-Verdict"), "NotRun")
		if response.StatusCode != http.StatusBadRequest { // whose body did not arrive in time
			is.Equal(response.StatusCode, http.StatusServiceUnavailable)
			is.Equal(response.Header.Get("Retry-After"), "1")
		}
	}
}

// TestHeadLines guards against heads of few bytes that take much memory, and against a limit below what callers are told.
func TestHeadLines(t *testing.T) {
	for lines, status := range map[int]int{16<<10/4 - 10: http.StatusOK, minHeadLines + 1: http.StatusRequestHeaderFieldsTooLarge} {
		t.Run(fmt.Sprint(lines), func(t *testing.T) {
			ts, _ := newMeteredServer(t, 64<<20)
			c := ts.dial(t)
			c.send("GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\r\n", lines) + "\r\n")
			got, _ := c.response(http.MethodGet)
			is.New(t).Equal(got.status, status)
		})
	}
}

// TestHTTP2ControlFrames guards against callers that make the node queue replies to frames that carry no request.
func TestHTTP2ControlFrames(t *testing.T) {
	is := is.New(t)
	ts, o := newMeteredServer(t, 64<<20)
	c := ts.dial(t)
	c.send(http2Preface + "\x00\x00\x00\x04\x00\x00\x00\x00\x00")
	_, _ = io.WriteString(c.conn, strings.Repeat("\x00\x00\x08\x06\x00\x00\x00\x00\x0012345678", 2*controlFrames))
	_, err := io.Copy(io.Discard, c.reader)
	is.True(err == nil || !strings.Contains(err.Error(), "timeout"))
	is.True(o.count("http2_control") > 0)
}
