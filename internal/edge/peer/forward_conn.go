package peer

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// verificationTTL is how long a connection counts as verified after a response.
	verificationTTL = 500 * time.Millisecond
	// ownZoneTimeout and crossZoneTimeout bound the verification and the opening of a connection. Each takes one round trip:
	// 0.4 ms within an availability zone plus the peer's scheduling delay, 3 ms between zones and 110 ms between regions. A
	// request that cannot be sent goes to another node, which costs less than a longer wait; a lost packet would be
	// retransmitted only after a second.
	ownZoneTimeout   = 100 * time.Millisecond
	crossZoneTimeout = 200 * time.Millisecond
	// idleTimeout is the time after which an unused connection is closed. An idle connection costs only memory; a new one
	// costs a round trip and about 500 bytes.
	idleTimeout = 2 * time.Minute
	// retiredTimeout is the idle timeout of a connection that takes no new requests.
	retiredTimeout = time.Second
	// defaultVerifyInterval is how long a request waits before its connection is verified, and how long the verification may
	// take. A lost packet is retransmitted within a second.
	defaultVerifyInterval = 2 * time.Second
	// maxConnsPerPeer bounds the connections to one peer. Each carries as many concurrent requests as the peer allows.
	maxConnsPerPeer = 4
)

var errConnsFull = errors.New("every connection to the node is in use")

// forwardConn is a connection to a peer's sidecar. net/http sends a request on a ClientConn at most once.
type forwardConn struct {
	conn *http.ClientConn
	// socket is the network connection that conn uses.
	socket net.Conn
	// lastResponseNanos is the time of the last response, or of the opening if there is none, in Unix nanoseconds.
	lastResponseNanos atomic.Int64
	// hasResponded is true if the peer has responded on the connection. An open connection does not prove that the peer
	// responds: the operating system accepts connections even for a process that hangs.
	hasResponded atomic.Bool
	// retired is true if no new requests are sent on the connection.
	retired   atomic.Bool
	idleTimer *time.Timer
}

func newForwardConn(conn *http.ClientConn, socket net.Conn, now time.Time) *forwardConn {
	c := &forwardConn{conn: conn, socket: socket}
	c.lastResponseNanos.Store(now.UnixNano())
	c.idleTimer = time.AfterFunc(idleTimeout, c.closeIfIdle)
	return c
}

// isBroken reports whether the connection can no longer carry requests.
func (c *forwardConn) isBroken() bool { return c.conn.Err() != nil || socketEnded(c.socket) }

func (c *forwardConn) closeIfIdle() {
	if c.conn.InFlight() == 0 {
		_ = c.conn.Close()
		return
	}
	c.idleTimer.Reset(c.idleLimit())
}

func (c *forwardConn) idleLimit() time.Duration {
	if c.retired.Load() {
		return retiredTimeout
	}
	return idleTimeout
}

// retire marks the connection as taking no new requests and closes it once those on it have ended.
func (c *forwardConn) retire() {
	c.retired.Store(true)
	c.closeIfIdle()
}

// canSkipVerification reports whether a request can be sent without verifying the connection first.
func (c *forwardConn) canSkipVerification(now time.Time, idempotent bool) bool {
	return now.Sub(c.lastResponse()) <= verificationTTL && (idempotent || c.hasResponded.Load())
}

func (c *forwardConn) lastResponse() time.Time { return time.Unix(0, c.lastResponseNanos.Load()) }

func (c *forwardConn) recordResponse(now time.Time) {
	c.hasResponded.Store(true)
	c.lastResponseNanos.Store(now.UnixNano())
	c.idleTimer.Reset(c.idleLimit())
}

func (c *forwardConn) close() {
	c.idleTimer.Stop()
	_ = c.conn.Close()
}

// dialFunc opens a connection.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// socketKey is the context key of the *net.Conn that captureSocket sets.
type socketKey struct{}

// captureSocket wraps a dial function so that the caller of NewClientConn receives the network connection that was opened.
func captureSocket(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if socket, ok := ctx.Value(socketKey{}).(*net.Conn); ok {
			*socket = conn
		}
		return conn, err
	}
}

// connPool holds the open connections to sidecars by address.
type connPool struct {
	transport *http.Transport
	now       func() time.Time
	mu        sync.Mutex
	open      map[string][]*forwardConn
	closed    bool
}

// roundTripTimeout returns the limit for one round trip to a node.
func roundTripTimeout(crossZone bool) time.Duration {
	if crossZone {
		return crossZoneTimeout
	}
	return ownZoneTimeout
}

// reserve reserves capacity for one request on an open connection to the address. If none has any left, it opens another within
// the timeout.
func (p *connPool) reserve(ctx context.Context, address string, timeout time.Duration) (*forwardConn, error) {
	if c, ok := p.reserveOpen(address); ok {
		return c, nil
	}
	p.mu.Lock()
	full := len(p.open[address]) >= maxConnsPerPeer
	p.mu.Unlock()
	if full {
		return nil, errConnsFull
	}
	return p.dial(ctx, address, timeout)
}

func (p *connPool) reserveOpen(address string) (*forwardConn, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var usable []*forwardConn
	var found *forwardConn
	for _, c := range p.open[address] {
		if c.isBroken() {
			c.retire()
			continue
		}
		usable = append(usable, c)
		if found == nil && c.conn.Reserve() == nil {
			found = c
		}
	}
	p.setOpen(address, usable)
	return found, found != nil
}

// dial opens a connection and reserves capacity for one request on it.
func (p *connPool) dial(ctx context.Context, address string, timeout time.Duration) (*forwardConn, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var socket net.Conn
	conn, err := p.transport.NewClientConn(context.WithValue(ctx, socketKey{}, &socket), "http", address)
	if err != nil {
		return nil, err
	}
	if err := conn.Reserve(); err != nil {
		_ = conn.Close()
		return nil, err
	}
	c := newForwardConn(conn, socket, p.now())
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		c.close()
		return nil, errors.New("the node is stopping")
	}
	p.open[address] = append(p.open[address], c)
	return c, nil
}

// retire removes a connection on which the peer did not respond in time. The requests on it continue, since a busy node may
// only be slow; their monitor gives up those that can run elsewhere if the peer does not respond at all.
func (p *connPool) retire(address string, slow *forwardConn) {
	p.remove(address, slow)
	slow.retire()
}

func (p *connPool) remove(address string, unusable *forwardConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var usable []*forwardConn
	for _, c := range p.open[address] {
		if c != unusable {
			usable = append(usable, c)
		}
	}
	p.setOpen(address, usable)
}

func (p *connPool) setOpen(address string, usable []*forwardConn) {
	if len(usable) == 0 {
		delete(p.open, address)
		return
	}
	p.open[address] = usable
}

func (p *connPool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, open := range p.open {
		for _, c := range open {
			c.close()
		}
	}
	clear(p.open)
}
