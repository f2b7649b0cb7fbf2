package target

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http/httptrace"
	"sync"
	"sync/atomic"

	"jayfold.dev/jayfold/internal/core/fleet"
)

// errSealed is the error of a write after the request on the connection was given up.
var errSealed = errors.New("the request on this connection was given up")

// trackedConn counts the writes to a connection, so that a failed request can tell whether any byte of it was written.
type trackedConn struct {
	net.Conn

	mu     sync.Mutex
	writes uint64
	sealed bool
}

// dialTracked opens a connection that counts its writes.
func (c *Client) dialTracked(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := c.dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &trackedConn{Conn: conn}, nil
}

// Write implements net.Conn. A write counts before it starts.
func (c *trackedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	sealed := c.sealed
	c.writes++
	c.mu.Unlock()
	if sealed {
		return 0, errSealed
	}
	return c.Conn.Write(p)
}

func (c *trackedConn) count() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// seal prevents further writes, closes the connection and returns the number of writes that may have reached the target.
func (c *trackedConn) seal() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.sealed {
		c.sealed = true
		_ = c.Close()
	}
	return c.writes
}

// sending is one request on its way to a target, and the reader of its body.
type sending struct {
	body io.ReadCloser
	read atomic.Bool

	mu     sync.Mutex
	conn   *trackedConn
	reused bool
	before uint64
	wrote  bool
}

// gotConn notes the connection that the transport chose.
func (s *sending) gotConn(info httptrace.GotConnInfo) {
	conn, ok := info.Conn.(*trackedConn)
	s.mu.Lock()
	defer s.mu.Unlock()
	if !ok || s.conn != nil {
		s.wrote = true
		return
	}
	s.conn, s.reused, s.before = conn, info.Reused, conn.count()
}

// stop ends the sending. After it, nothing more of the request is written.
func (s *sending) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn != nil && s.conn.seal() != s.before {
		s.wrote = true
	}
}

// nothingWritten reports whether no byte of the stopped request was handed to a connection.
func (s *sending) nothingWritten() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.wrote
}

// movesOn reports whether the stopped request may be tried on another connection: it met one that was already closed, and
// its body is still whole.
func (s *sending) movesOn() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.conn != nil && s.reused && !s.wrote && !s.read.Load()
}

// Read implements io.Reader.
func (s *sending) Read(p []byte) (int, error) {
	s.read.Store(true)
	if s.body == nil {
		return 0, io.EOF
	}
	return s.body.Read(p)
}

// Close implements io.Closer. The server that took the request closes its body.
func (s *sending) Close() error { return nil }

// responseBody turns the errors of reading a response into problems.
type responseBody struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Read implements io.Reader.
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	switch {
	case err == nil || errors.Is(err, io.EOF):
		return n, err
	case errors.Is(err, context.DeadlineExceeded):
		return n, fleet.NewProblem(fleet.DeadlinePassed, fleet.MayHaveRun, "the deadline passed during the response")
	case errors.Is(err, context.Canceled):
		return n, fleet.NewProblem(fleet.Canceled, fleet.MayHaveRun, "the run was canceled during the response")
	default:
		return n, fleet.NewProblem(fleet.Broken, fleet.MayHaveRun, "the response broke off: "+err.Error())
	}
}

// Close implements io.Closer and ends the run.
func (b *responseBody) Close() error {
	defer b.cancel()
	return b.ReadCloser.Close()
}
