package target

import (
	"context"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"jayfold.dev/jayfold/internal/core/fleet"
	"jayfold.dev/jayfold/internal/edge/httpresponse"
)

const (
	// nonIdempotentIdleLimit bounds the idle time of a connection that is reused for a non-idempotent request. A target may drop
	// an idle connection at any time, and a request that was sent on it may have run. A new connection costs about 1 ms.
	nonIdempotentIdleLimit = 500 * time.Millisecond
	// defaultIdleLimit bounds the idle time of a connection that is reused for an idempotent request, if the target sends no
	// Keep-Alive timeout. Servers commonly close idle connections after 5 s or more.
	defaultIdleLimit = 4 * time.Second
	// idleMargin is subtracted from the target's Keep-Alive timeout, which has a resolution of 1 s.
	idleMargin = time.Second
	// maxRefused bounds the refused requests that are remembered. An attempt at the same request follows within seconds, if at all.
	maxRefused = 64
)

// endpointKey is a target's address and its maximum number of connections.
type endpointKey struct {
	address     string
	connections int
}

// endpoint holds the connections to one target.
type endpoint struct {
	key  endpointKey
	dial Dial
	now  func() time.Time
	// semaphore bounds the connections in use.
	semaphore chan struct{}
	mu        sync.Mutex
	// idle holds the connections without a request, the most recently used last.
	idle   []*conn
	closed bool
	// refused holds the requests that the target has refused last, the oldest first.
	refused []fleet.RequestID
}

// conn is a connection to a target. It carries one request at a time.
type conn struct {
	net.Conn
	reader   *httpresponse.Reader
	endpoint *endpoint
	// lastResponse is the time at which the last response ended; zero for a new connection.
	lastResponse time.Time
	// keepAlive is the target's Keep-Alive timeout; 0 if it sent none.
	keepAlive time.Duration
}

func newEndpoint(key endpointKey, dial Dial, now func() time.Time) *endpoint {
	return &endpoint{key: key, dial: dial, now: now, semaphore: make(chan struct{}, max(key.connections, 1))}
}

// acquire returns a connection for one request and reuses an idle one if that is safe. A request that the target has refused before
// gets a new one: on another, a faulty target may write the earlier refusal once more, and it has the same request id.
func (e *endpoint) acquire(ctx context.Context, id fleet.RequestID, idempotent bool) (*conn, error) {
	select {
	case e.semaphore <- struct{}{}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if !e.hasRefused(id) {
		if c := e.popUsable(idempotent); c != nil {
			return c, nil
		}
	}
	opened, err := e.dial(ctx, "tcp", e.key.address)
	if err != nil {
		<-e.semaphore
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		return nil, err
	}
	return &conn{Conn: opened, reader: httpresponse.NewReader(opened), endpoint: e}, nil
}

// popUsable removes and returns an idle connection on which a request may be sent. It closes those on which none may be sent.
func (e *endpoint) popUsable(idempotent bool) *conn {
	for c := e.popIdle(); c != nil; c = e.popIdle() {
		if c.usable(e.now(), idempotent) {
			return c
		}
		_ = c.Close()
	}
	return nil
}

// popIdle removes and returns the most recently used idle connection, which is the least likely to be stale.
func (e *endpoint) popIdle() *conn {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.idle) == 0 {
		return nil
	}
	c := e.idle[len(e.idle)-1]
	e.idle = e.idle[:len(e.idle)-1]
	return c
}

// release takes back a connection after its response. It keeps the connection for other requests if it is reusable, and closes
// it otherwise. The semaphore is released last: a request that acquired it earlier would find no idle connection and open one
// more than the target allows.
func (e *endpoint) release(c *conn, reusable bool) {
	defer func() { <-e.semaphore }()
	e.mu.Lock()
	defer e.mu.Unlock()
	if !reusable || e.closed {
		_ = c.Close()
		return
	}
	c.lastResponse = e.now()
	e.idle = append(e.idle, c)
	e.idle = slices.DeleteFunc(e.idle, func(old *conn) bool {
		if old.fresh(c.lastResponse, old.idleLimit()) {
			return false
		}
		_ = old.Close()
		return true
	})
}

// addRefused remembers a request that the target has refused.
func (e *endpoint) addRefused(id fleet.RequestID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.refused = append(e.refused, id)
	e.refused = e.refused[max(0, len(e.refused)-maxRefused):]
}

func (e *endpoint) hasRefused(id fleet.RequestID) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Contains(e.refused, id)
}

// close closes the idle connections at once, and each of the others when its response ends.
func (e *endpoint) close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.closed = true
	for _, c := range e.idle {
		_ = c.Close()
	}
	e.idle = nil
}

// usable reports whether a request may be sent on an idle connection.
func (c *conn) usable(now time.Time, idempotent bool) bool {
	limit := c.idleLimit()
	if !idempotent {
		limit = min(limit, nonIdempotentIdleLimit)
	}
	return c.fresh(now, limit) && c.hasNoInput()
}

func (c *conn) fresh(now time.Time, limit time.Duration) bool { return now.Sub(c.lastResponse) < limit }

// idleLimit returns the time for which the connection may be idle.
func (c *conn) idleLimit() time.Duration {
	if c.keepAlive > 0 {
		return c.keepAlive - idleMargin
	}
	return defaultIdleLimit
}

// hasNoInput reports whether an idle connection is open and has no unread bytes, which would belong to no request.
func (c *conn) hasNoInput() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = control.Read(func(fd uintptr) bool {
		var peeked [1]byte
		_, _, peekErr := syscall.Recvfrom(int(fd), peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = peekErr == syscall.EAGAIN
		return true
	})
	return err == nil && open
}
