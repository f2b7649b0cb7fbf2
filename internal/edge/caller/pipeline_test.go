package caller

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/event"
)

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
