package caller

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"jayfold.dev/jayfold/internal/core/effect"
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
	t.Helper()
	return newPathServerOf(t, newTestServer(t))
}

// newPathServerOf returns a path server in place of a test server that has not been used.
func newPathServerOf(t *testing.T, ts *testServer) *pathServer {
	t.Helper()
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
