package caller

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/event"
	"jayfold.dev/jayfold/internal/core/fleet"
)

// rawCaller is a connection of a caller whose bytes the test writes itself.
type rawCaller struct {
	t      *testing.T
	conn   net.Conn
	reader *bufio.Reader
}

func (ts *testServer) dial(t *testing.T) *rawCaller {
	t.Helper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(ts.url, "http://"))
	is.New(t).NoErr(err)
	is.New(t).NoErr(conn.SetDeadline(time.Now().Add(5 * time.Second)))
	t.Cleanup(func() { _ = conn.Close() })
	return &rawCaller{t: t, conn: conn, reader: bufio.NewReader(conn)}
}

func (c *rawCaller) send(text string) {
	c.t.Helper()
	_, err := io.WriteString(c.conn, text)
	is.New(c.t).NoErr(err)
}

func (c *rawCaller) get(paths ...string) {
	c.t.Helper()
	for _, path := range paths {
		c.send("GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n")
	}
}

// response reads the response to a request with the given method.
func (c *rawCaller) response(method string) (result, bool) {
	c.t.Helper()
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	is.New(c.t).NoErr(err)
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return result{status: response.StatusCode, header: response.Header, body: string(body), err: err}, response.Close
}

func (c *rawCaller) wantBody(want string, wantClose bool) {
	c.t.Helper()
	is := is.New(c.t)
	got, closes := c.response(http.MethodGet)
	is.NoErr(got.err)
	is.Equal(got.status, http.StatusOK)
	is.True(got.body == want)
	is.Equal(closes, wantClose)
}

// wantEnd fails the test unless the connection ends in order without a further byte.
func (c *rawCaller) wantEnd() {
	c.t.Helper()
	_, err := c.reader.ReadByte()
	is.New(c.t).Equal(err, io.EOF)
}

// pathServer is a test server whose targets respond to each path only when the test releases it.
type pathServer struct {
	*testServer
	mu       sync.Mutex
	releases map[string]chan io.Reader
	// started receives the paths in the order in which they reach the target.
	started chan string
}

func newPathServer(t *testing.T) *pathServer {
	ts := newTestServer(t)
	ps := &pathServer{testServer: ts, releases: map[string]chan io.Reader{}, started: make(chan string, 100)}
	next := 0
	ts.server.seams.NewRequestID = func() fleet.RequestID {
		ps.mu.Lock()
		defer ps.mu.Unlock()
		next++
		return fleet.RequestID(fmt.Sprintf("R%d", next))
	}
	ts.server.seams.Forward = func(ctx context.Context, _ effect.ForwardAttempt, r *http.Request, _ []byte) (
		*http.Response, func() fleet.Option[fleet.TargetReport], error) {
		report := func() fleet.Option[fleet.TargetReport] { return fleet.Option[fleet.TargetReport]{} }
		ps.started <- r.URL.Path
		select {
		case body := <-ps.release(r.URL.Path):
			return newResponse(http.StatusOK, body), report, nil
		case <-ctx.Done():
			return nil, report, fleet.NewProblem(fleet.Canceled, fleet.MayHaveRun, "canceled")
		}
	}
	return ps
}

func (ps *pathServer) release(path string) chan io.Reader {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	if ps.releases[path] == nil {
		ps.releases[path] = make(chan io.Reader, 1)
	}
	return ps.releases[path]
}

func (ps *pathServer) respond(path, body string) { ps.release(path) <- strings.NewReader(body) }

// wantStarted fails the test unless exactly these paths reach the target.
func (ps *pathServer) wantStarted(t *testing.T, paths ...string) {
	t.Helper()
	is := is.New(t)
	got := map[string]bool{}
	for range paths {
		select {
		case path := <-ps.started:
			got[path] = true
		case <-time.After(2 * time.Second):
			t.Fatalf("started %v, want %v", got, paths)
		}
	}
	for _, path := range paths {
		is.True(got[path])
	}
	ps.wantNoneStarted(t)
}

func (ps *pathServer) wantNoneStarted(t *testing.T) {
	t.Helper()
	select {
	case path := <-ps.started:
		t.Fatalf("%s was started", path)
	case <-time.After(30 * time.Millisecond):
	}
}

// TestPipelinedRequests guards against requests that wait for responses that they don't depend on, and against responses out of order.
func TestPipelinedRequests(t *testing.T) {
	t.Run("GETs run concurrently and are answered in order", func(t *testing.T) {
		ps := newPathServer(t)
		c := ps.dial(t)
		c.get("/1", "/2", "/3")
		ps.wantStarted(t, "/1", "/2", "/3")
		long := strings.Repeat("x", 3*maxBufferedBytes)
		ps.respond("/3", "three")
		ps.respond("/2", long)
		ps.respond("/1", "one")
		c.wantBody("one", false)
		c.wantBody(long, false)
		c.wantBody("three", false)
	})
	t.Run("the number of concurrent requests is bounded", func(t *testing.T) {
		ps := newPathServer(t)
		c := ps.dial(t)
		paths := make([]string, maxPipelined+1)
		for i := range paths {
			paths[i] = fmt.Sprintf("/%d", i)
		}
		c.get(paths...)
		ps.wantStarted(t, paths[:maxPipelined]...)
		ps.respond("/0", "0")
		ps.wantStarted(t, paths[maxPipelined])
		for _, path := range paths[1:] {
			ps.respond(path, path[1:])
		}
		for _, path := range paths {
			c.wantBody(path[1:], false)
		}
	})
	t.Run("a POST waits for the responses before it and holds back those behind it", func(t *testing.T) {
		ps := newPathServer(t)
		c := ps.dial(t)
		c.get("/1")
		c.send("POST /2 HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody")
		c.get("/3")
		ps.wantStarted(t, "/1")
		ps.respond("/1", "one")
		c.wantBody("one", false)
		ps.wantStarted(t, "/2")
		ps.respond("/2", "two")
		c.wantBody("two", false)
		ps.wantStarted(t, "/3")
		ps.respond("/3", "three")
		c.wantBody("three", false)
	})
	t.Run("a body that ends in the packet of the next request", func(t *testing.T) {
		ps := newPathServer(t)
		c := ps.dial(t)
		c.send("POST /1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n" +
			"GET /2 HTTP/1.1\r\nHost: h\r\n\r\nGET /3 HTTP/1.1\r\nHost: h\r\n\r\n")
		for _, path := range []string{"/1", "/2", "/3"} {
			ps.respond(path, path)
			c.wantBody(path, false)
		}
	})
}

// TestPipelinedClose guards against requests that were passed on to a target and stay without a response because the connection is
// closed before it.
func TestPipelinedClose(t *testing.T) {
	t.Run("the caller asks for the end", func(t *testing.T) {
		ps := newPathServer(t)
		c := ps.dial(t)
		c.get("/1")
		c.send("GET /2 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
		c.get("/3")
		ps.wantStarted(t, "/1", "/2")
		ps.respond("/2", "two")
		ps.respond("/1", "one")
		c.wantBody("one", false)
		c.wantBody("two", true)
		c.wantEnd()
		ps.wantNoneStarted(t)
	})
	t.Run("the node is leaving", func(t *testing.T) {
		ps := newPathServer(t)
		c := ps.dial(t)
		c.get("/1", "/2")
		ps.wantStarted(t, "/1", "/2")
		ps.server.SetReadiness(effect.SetReadiness{Ready: false, Leaving: true})
		ps.respond("/1", "one")
		c.wantBody("one", false)
		ps.respond("/2", "two")
		c.wantBody("two", true)
		c.wantEnd()
	})
	t.Run("a malformed request follows", func(t *testing.T) {
		ps := newPathServer(t)
		c := ps.dial(t)
		c.get("/1")
		c.send("nonsense\r\n\r\n")
		ps.wantStarted(t, "/1")
		ps.respond("/1", "one")
		c.wantBody("one", false)
		got, closes := c.response(http.MethodGet)
		is.New(t).Equal(got.status, http.StatusBadRequest)
		is.New(t).True(closes)
		c.wantEnd()
	})
	t.Run("the server shuts down while requests run", func(t *testing.T) {
		ps := newPathServer(t)
		c := ps.dial(t)
		c.get("/1", "/2")
		ps.wantStarted(t, "/1", "/2")
		stopped := make(chan error, 1)
		go func() { stopped <- ps.server.Shutdown(context.Background()) }()
		time.Sleep(20 * time.Millisecond)
		ps.respond("/2", "two")
		ps.respond("/1", "one")
		c.wantBody("one", false)
		c.wantBody("two", true)
		c.wantEnd()
		is.New(t).NoErr(<-stopped)
	})
	t.Run("a request crosses the shutdown", func(t *testing.T) {
		ps := newPathServer(t)
		c := ps.dial(t)
		ps.respond("/1", "one")
		c.get("/1")
		c.wantBody("one", false)
		stopped := make(chan error, 1)
		go func() { stopped <- ps.server.Shutdown(context.Background()) }()
		time.Sleep(shutdownGrace / 5)
		c.get("/2")
		ps.respond("/2", "two")
		c.wantBody("two", true)
		c.wantEnd()
		is.New(t).NoErr(<-stopped)
	})
}

// TestPipelinedFailures guards against a request that fails others of its connection, and against responses that look complete but are not.
func TestPipelinedFailures(t *testing.T) {
	t.Run("a refusal between responses", func(t *testing.T) {
		ps := newPathServer(t)
		c := ps.dial(t)
		c.get("/1", "/2", "/3")
		ps.wantStarted(t, "/1", "/2", "/3")
		ps.release("/2") <- brokenReader{strings.NewReader("half")}
		ps.respond("/3", "three")
		ps.respond("/1", "one")
		c.wantBody("one", false)
		got, closes := c.response(http.MethodGet)
		is.New(t).Equal(got.status, http.StatusBadGateway)
		is.New(t).True(!closes)
		c.wantBody("three", false)
	})
	t.Run("a truncated response resets the connection", func(t *testing.T) {
		for _, version := range []string{"1.0", "1.1"} {
			ps := newPathServer(t)
			c := ps.dial(t)
			c.send("GET /1 HTTP/" + version + "\r\nHost: h\r\nConnection: close\r\n\r\n")
			ps.release("/1") <- brokenReader{strings.NewReader(strings.Repeat("x", 2*maxBufferedBytes))}
			_, err := io.Copy(io.Discard, c.reader)
			is.New(t).True(errors.Is(err, syscall.ECONNRESET))
		}
	})
	t.Run("the caller disconnects", func(t *testing.T) {
		ps := newPathServer(t)
		c := ps.dial(t)
		c.get("/1", "/2")
		ps.wantStarted(t, "/1", "/2")
		is.New(t).NoErr(c.conn.(*net.TCPConn).CloseWrite())
		ps.waitForEvent(t, func(body event.Body) bool { return body == event.RequestCanceled{Request: "R1"} })
		ps.waitForEvent(t, func(body event.Body) bool { return body == event.RequestCanceled{Request: "R2"} })
		_, err := io.Copy(io.Discard, c.reader)
		is.New(t).True(errors.Is(err, syscall.ECONNRESET)) // no response was made up
	})
}
