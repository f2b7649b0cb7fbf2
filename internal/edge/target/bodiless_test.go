package target_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"jayfold.dev/jayfold/internal/core/fleet"
)

// TestBodilessResponses guards against a response without a body, by its status or method, that is given one because it tells a length, or
// whose body comes late and is taken for the response to the next request.
func TestBodilessResponses(t *testing.T) {
	for name, c := range map[string]struct {
		method, head, late string
		connections        int32
	}{
		"HEAD with a length":  {http.MethodHead, "200 OK\r\nContent-Length: 4", "", 1},
		"HEAD with chunks":    {http.MethodHead, "200 OK\r\nTransfer-Encoding: chunked", "", 1},
		"HEAD without either": {http.MethodHead, "200 OK", "", 1},
		"304 with a length":   {http.MethodGet, "304 Not Modified\r\nContent-Length: 4", "", 1},
		"204":                 {http.MethodGet, "204 No Content", "", 1},
		"204 with length 0":   {http.MethodGet, "204 No Content\r\nContent-Length: 0", "", 1},
		"204 and a late body": {http.MethodGet, "204 No Content\r\nContent-Length: 4", "four", 2},
		"204 and late chunks": {http.MethodGet, "204 No Content\r\nTransfer-Encoding: chunked", "4\r\nfour\r\n0\r\n\r\n", 2},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var connections atomic.Int32
			address := serveConns(t, func(conn net.Conn) {
				defer func() { _ = conn.Close() }()
				connections.Add(1)
				reader := bufio.NewReader(conn)
				for late := ""; ; late = c.late {
					if _, err := http.ReadRequest(reader); err != nil {
						return
					}
					_, _ = io.WriteString(conn, late+"HTTP/1.1 "+c.head+"\r\nJayfold-Request: r1\r\n\r\n")
				}
			})
			client := newClient()
			for range 2 {
				body, err := send(t.Context(), client, newRun(address, 2*time.Second), httptest.NewRequest(c.method, "/", nil))
				is.NoErr(err)
				is.Equal(body, "")
			}
			is.Equal(connections.Load(), c.connections)
		})
	}
}

// TestTrailers guards against a body that looks complete without the end of its trailer, and against a malformed trailer in a log line.
func TestTrailers(t *testing.T) {
	const chunks = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfour\r\n0\r\n"
	for name, c := range map[string]struct {
		trailer string
		ok      bool
	}{
		"none":                  {"\r\n", true},
		"a field":               {"X-Sum: 1\r\n\r\n", true},
		"a length":              {"Content-Length: 9\r\n\r\n", true},
		"no end":                {"", false},
		"no end after a field":  {"X-Sum: 1\r\n", false},
		"cut in a field":        {"X-Sum: 1", false},
		"no colon":              {"s3cr3t\r\n\r\n", false},
		"control byte in value": {"X: s3cr3t\x01\r\n\r\n", false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address := serveConns(t, func(conn net.Conn) {
				defer func() { _ = conn.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					_, _ = io.WriteString(conn, chunks+c.trailer)
				}
			})
			response, err := newClient().Run(t.Context(), newRun(address, 2*time.Second), httptest.NewRequest(http.MethodGet, "/", nil))
			is.NoErr(err)
			body, err := io.ReadAll(response.Body)
			is.NoErr(response.Body.Close())
			if c.ok {
				is.NoErr(err)
				is.Equal(string(body), "four")
				is.Equal(response.Header.Get("X-Sum")+response.Header.Get("Content-Length"), "")
				return
			}
			assertProblem(is, err, fleet.Broken, fleet.MayHaveRun)
			var problem fleet.Problem
			is.True(errors.As(err, &problem))
			is.True(!strings.Contains(problem.Detail, secret))
		})
	}
}
