package peer

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"jayfold.dev/jayfold/internal/core/fleet"
)

// cutConn is the ingress's end of a connection, which ends with an error after a number of bytes from the sidecar.
type cutConn struct {
	net.Conn
	// read counts the bytes read, up to limit.
	read  *atomic.Int64
	limit int64
	err   error
}

// Read implements io.Reader.
func (c cutConn) Read(p []byte) (int, error) {
	left := c.limit - c.read.Load()
	if left <= 0 {
		_ = c.Close()
		return 0, c.err
	}
	n, err := c.Conn.Read(p[:min(int64(len(p)), left)])
	c.read.Add(int64(n))
	return n, err
}

// sendCut sends a request on a new connection that ends with an error after the given number of bytes. It returns the result and the
// number of bytes read.
func (h *harness) sendCut(t *testing.T, id fleet.AttemptID, method string, limit int64, end error) (forwardResult, int64) {
	t.Helper()
	var read atomic.Int64
	forwarder := NewForwarder("a", ForwarderSeams{
		Now: time.Now, Post: h.post,
		Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := new(net.Dialer).DialContext(ctx, network, address)
			return cutConn{Conn: conn, read: &read, limit: limit, err: end}, err
		},
	})
	defer forwarder.Close()
	attempt := h.attempt()
	// An idempotent request is sent on a new connection at once.
	attempt.ID, attempt.Idempotent = id, true
	whole := h.forwarder
	h.forwarder = forwarder
	defer func() { h.forwarder = whole }()
	return h.send(t.Context(), attempt, method, ""), read.Load()
}

// TestCutBetweenNodes guards against a response between two nodes that looks complete, or like a refusal, although it was cut: in a
// frame, between two frames, or in a field of the headers or trailers.
func TestCutBetweenNodes(t *testing.T) {
	for name, c := range map[string]struct {
		method string
		status int
		body   string
		header http.Header
	}{
		"short":                     {method: http.MethodGet, status: http.StatusOK, body: "hello"},
		"without a length":          {method: http.MethodGet, status: http.StatusOK, body: "hello", header: http.Header{"Transfer-Encoding": {"identity"}}},
		"empty":                     {method: http.MethodGet, status: http.StatusOK},
		"head":                      {method: http.MethodHead, status: http.StatusOK, header: http.Header{"Content-Length": {"5"}}},
		"no content":                {method: http.MethodGet, status: http.StatusNoContent},
		"not modified":              {method: http.MethodGet, status: http.StatusNotModified},
		"not modified, with length": {method: http.MethodGet, status: http.StatusNotModified, header: http.Header{"Content-Length": {"5"}}},
		"server error":              {method: http.MethodGet, status: http.StatusInternalServerError, body: "oops"},
	} {
		for endName, end := range map[string]error{"end": io.EOF, "reset": syscall.ECONNRESET} {
			t.Run(name+", "+endName, func(t *testing.T) {
				is := is.New(t)
				h := newHarness(t)
				h.target = func(w http.ResponseWriter, _ *http.Request) {
					for field, values := range c.header {
						w.Header()[field] = values
					}
					w.WriteHeader(c.status)
					_, _ = io.WriteString(w, c.body)
				}
				got, size := h.sendCut(t, "whole.1", c.method, 1<<20, end)
				assertComplete(t, got, c.status, c.body)
				is.True(size > 100)
				complete := 0
				for limit := range size + 1 {
					got, _ := h.sendCut(t, fleet.AttemptID(fmt.Sprintf("r%d.1", limit)), c.method, limit, end)
					if got.err != nil {
						problem := problemOf(got.err)
						is.True(problem.Verdict == fleet.MayHaveRun || problem.Cause == fleet.Unreachable)
						continue
					}
					assertComplete(t, got, c.status, c.body)
					complete++
				}
				// Frames that do not belong to the response may follow it. Their acknowledgements are a few bytes.
				is.True(complete < 64)
			})
		}
	}
}
