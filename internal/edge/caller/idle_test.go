package caller

import (
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/matryer/is"
)

// assertOpen waits until the server has at most the given number of connections.
func assertOpen(t *testing.T, ts *testServer, most int) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); ts.server.conns.count() > most && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}
	is.New(t).True(ts.server.conns.count() <= most)
}

// assertClosed checks that the server has closed a connection.
func (c *rawCaller) assertClosed() {
	c.t.Helper()
	_, err := c.reader.ReadByte()
	is.New(c.t).True(err != nil)
}

// TestIdleConnectionsMakeRoom guards against clients that keep idle connections open and so use up the descriptors of a node, which then takes
// no new connection.
func TestIdleConnectionsMakeRoom(t *testing.T) {
	const limit = 10
	t.Run("new connections are served, and the oldest idle ones are closed", func(t *testing.T) {
		ts := newLimitedServer(t, limit, 0)
		var callers []*rawCaller
		for range 3 * limit {
			c := ts.dial(t)
			c.get("/kept")
			c.wantBody("hello", false)
			callers = append(callers, c)
		}
		assertOpen(t, ts, limit)
		callers[0].assertClosed()
		last := callers[len(callers)-1]
		last.get("/again")
		last.wantBody("hello", false)
	})
	t.Run("connections that have sent nothing make room", func(t *testing.T) {
		ts := newLimitedServer(t, limit, 0)
		for range 3 * limit {
			ts.dial(t)
		}
		c := ts.dial(t)
		c.get("/new")
		c.wantBody("hello", false)
		assertOpen(t, ts, limit)
	})
	t.Run("a request in progress keeps its connection", func(t *testing.T) {
		ps := newPathServerOf(t, newLimitedServer(t, limit, 0))
		running := ps.dial(t)
		running.get("/order")
		ps.wantStarted(t, "/order")
		for range 3 * limit {
			c := ps.dial(t)
			ps.respond("/kept", "hello")
			c.get("/kept")
			c.wantBody("hello", false)
			ps.wantStarted(t, "/kept")
		}
		ps.respond("/order", "hello")
		running.wantBody("hello", false)
	})
	t.Run("without an idle connection a new one is closed", func(t *testing.T) {
		ps := newPathServerOf(t, newLimitedServer(t, limit, 0))
		var running []*rawCaller
		for i := range limit {
			c := ps.dial(t)
			path := fmt.Sprint("/order", i)
			c.get(path)
			ps.wantStarted(t, path)
			running = append(running, c)
		}
		refused := ps.dial(t)
		// The server may have closed the connection already.
		_, _ = io.WriteString(refused.conn, "GET /new HTTP/1.1\r\nHost: h\r\n\r\n")
		refused.assertClosed()
		for i, c := range running {
			ps.respond(fmt.Sprint("/order", i), "hello")
			c.wantBody("hello", false)
		}
	})
}
