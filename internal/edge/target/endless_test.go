package target_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"jayfold.dev/jayfold/internal/core/fleet"
)

// endless returns a server that writes a prefix and then a chunk until the client closes the connection.
func endless(prefix, chunk string) func(net.Conn) {
	next := []byte(chunk)
	return func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		if _, err := io.WriteString(conn, prefix); err != nil {
			return
		}
		for {
			if _, err := conn.Write(next); err != nil {
				return
			}
		}
	}
}

// allocatedBy returns the number of bytes that a function allocates.
func allocatedBy(f func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	f()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}

// TestEndlessHead guards against a target that writes a head without end, which fills the memory of the node or holds the run until
// its deadline.
func TestEndlessHead(t *testing.T) {
	// maxAllocated is a small part of the memory of the smallest host, 184 MB.
	const maxAllocated = 4 << 20
	for name, serve := range map[string]func(net.Conn){
		"a status line":           endless("HTTP/1.1 200 ", strings.Repeat("x", 32<<10)),
		"one header":              endless("HTTP/1.1 200 OK\r\nX-Long: ", strings.Repeat("x", 32<<10)),
		"many headers":            endless("HTTP/1.1 200 OK\r\n", strings.Repeat("X-Next: 1\r\n", 3<<10)),
		"informational responses": endless("", strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 1<<10)),
		"empty lines":             endless("", strings.Repeat("\r\n", 16<<10)),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			run := newRun(serveConns(t, serve), 5*time.Second)
			started := time.Now()
			var err error
			allocated := allocatedBy(func() {
				_, err = send(t.Context(), newClient(), run, httptest.NewRequest(http.MethodGet, "/", nil))
			})
			assertProblem(is, err, fleet.Broken, fleet.MayHaveRun)
			is.True(time.Since(started) < 2*time.Second) // the run ends before its deadline
			is.True(allocated < maxAllocated)
		})
	}
}

// TestLongHead guards against rejecting a response whose head is long, but not endless, and against a bound that is not lifted for
// the body.
func TestLongHead(t *testing.T) {
	is := is.New(t)
	head := "HTTP/1.1 103 Early Hints\r\nX-Hint: " + strings.Repeat("h", 10<<10) + "\r\n\r\n" +
		"HTTP/1.1 200 OK\r\nX-Long: " + strings.Repeat("x", 40<<10) + "\r\nContent-Length: 1048576\r\n\r\n"
	address := serveConns(t, func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		reader := bufio.NewReader(conn)
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		_, _ = io.WriteString(conn, head+strings.Repeat("b", 1<<20))
		// A connection that is closed with unread bytes is reset, which discards what the client has not read yet.
		_, _ = io.Copy(io.Discard, reader)
	})
	body, err := send(t.Context(), newClient(), newRun(address, 5*time.Second), httptest.NewRequest(http.MethodGet, "/", nil))
	is.NoErr(err)
	is.Equal(len(body), 1<<20)
}

// TestEndlessBody guards against a body without end that outlives the deadline of its run or is held in memory, and against an
// endless trailer.
func TestEndlessBody(t *testing.T) {
	const maxAllocated = 4 << 20
	for name, serve := range map[string]func(net.Conn){
		"without a length": endless("HTTP/1.1 200 OK\r\n\r\n", strings.Repeat("x", 32<<10)),
		"chunked": endless("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
			"8000\r\n"+strings.Repeat("x", 32<<10)+"\r\n"),
		"a trailer":    endless("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", strings.Repeat("X-Next: 1\r\n", 3<<10)),
		"a chunk size": endless("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", strings.Repeat("0", 32<<10)),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			run := newRun(serveConns(t, serve), 300*time.Millisecond)
			started := time.Now()
			var err error
			allocated := allocatedBy(func() {
				var response *http.Response
				response, err = newClient().Run(t.Context(), run, httptest.NewRequest(http.MethodGet, "/", nil))
				is.NoErr(err)
				_, err = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
			})
			is.True(err != nil) // the response never looks complete
			is.True(time.Since(started) < 2*time.Second)
			is.True(allocated < maxAllocated)
		})
	}
}
