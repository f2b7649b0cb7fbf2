package target

import (
	"bufio"
	"context"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"
)

const (
	// nonIdempotentIdleLimit is how long after an answer a connection takes an order. A target may drop an idle connection without
	// notice, and an order that was sent on it counts as one that may have run. A new connection costs about 1 ms.
	nonIdempotentIdleLimit = 500 * time.Millisecond
	// defaultIdleLimit is how long a connection may be idle before a request that may be repeated, where the target names no
	// time of its own. Servers commonly close idle connections after 5 s or more.
	defaultIdleLimit = 4 * time.Second
	// idleMargin is kept to the time after which the target says that it closes idle connections. It states whole seconds.
	idleMargin = time.Second
	// readBufferBytes holds the head of a usual response.
	readBufferBytes = 4 << 10
)

// endpointKey is a target's address with the connections that it allows.
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
	// idle holds the connections without a request, the one that was used last at the end.
	idle   []*conn
	closed bool
}

// conn is one connection to a target. It carries one request at a time.
type conn struct {
	net.Conn
	reader   *bufio.Reader
	endpoint *endpoint
	// lastResponse is when the last response ended; zero means that the connection is new.
	lastResponse time.Time
	// keepAlive is how long the target keeps an idle connection; 0 means that it did not say.
	keepAlive time.Duration
}

func newEndpoint(key endpointKey, dial Dial, now func() time.Time) *endpoint {
	return &endpoint{key: key, dial: dial, now: now, semaphore: make(chan struct{}, max(key.connections, 1))}
}

// acquire returns a connection for one request, an open one where that is safe.
func (e *endpoint) acquire(ctx context.Context, idempotent bool) (*conn, error) {
	select {
	case e.semaphore <- struct{}{}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	for c := e.popIdle(); c != nil; c = e.popIdle() {
		if c.usable(e.now(), idempotent) {
			return c, nil
		}
		_ = c.Close()
	}
	opened, err := e.dial(ctx, "tcp", e.key.address)
	if err != nil {
		<-e.semaphore
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		return nil, err
	}
	return &conn{Conn: opened, reader: bufio.NewReaderSize(opened, readBufferBytes), endpoint: e}, nil
}

// popIdle takes the idle connection that was used last, which is the least likely to have gone stale.
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

// release gives a connection back after its response. One that is not to be used again is closed. Its place becomes free
// last: a request that gets the place sooner finds no idle connection and opens one more than the target allows.
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

// closeIdle closes the connections without a request, and the others once their responses end.
func (e *endpoint) closeIdle() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.closed = true
	for _, c := range e.idle {
		_ = c.Close()
	}
	e.idle = nil
}

// usable reports whether a request may go out on an idle connection.
func (c *conn) usable(now time.Time, idempotent bool) bool {
	limit := c.idleLimit()
	if !idempotent {
		limit = min(limit, nonIdempotentIdleLimit)
	}
	return c.fresh(now, limit) && c.hasNoInput()
}

func (c *conn) fresh(now time.Time, limit time.Duration) bool { return now.Sub(c.lastResponse) < limit }

// idleLimit returns how long the connection may be idle.
func (c *conn) idleLimit() time.Duration {
	if c.keepAlive > 0 {
		return c.keepAlive - idleMargin
	}
	return defaultIdleLimit
}

// hasNoInput reports whether nothing has arrived on an idle connection: neither its end nor bytes that belong to no request.
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
	silent := false
	err = control.Read(func(fd uintptr) bool {
		var peeked [1]byte
		_, _, peekErr := syscall.Recvfrom(int(fd), peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		silent = peekErr == syscall.EAGAIN
		return true
	})
	return err == nil && silent
}
