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
	// verificationTTL is how long after an answer a connection counts as verified.
	verificationTTL = 500 * time.Millisecond
	// ownZoneTimeout and farTimeout bound the verification of a connection and the opening of one, each of which takes one
	// round trip: within an availability zone 0.4 ms and whatever the peer waits for its processor, between zones 3 ms,
	// between regions 110 ms. A request that cannot be sent goes to another node, which costs less than a longer wait, and a
	// lost packet would be sent again only after a second.
	ownZoneTimeout   = 100 * time.Millisecond
	crossZoneTimeout = 200 * time.Millisecond
	// idleTimeout closes unused connections. An idle one costs nothing but memory; a new one costs a round trip and some 500
	// bytes.
	idleTimeout = 2 * time.Minute
	// retiredTimeout is the same for a connection that takes no new requests.
	retiredTimeout = time.Second
	// defaultVerifyInterval is how long a request waits before its connection is verified, and how long the verification may take. A
	// lost packet is sent again within a second.
	defaultVerifyInterval = 2 * time.Second
	// maxConnsPerPeer bounds the connections to one peer; each carries as many requests as the peer allows at once.
	maxConnsPerPeer = 4
)

var errConnsFull = errors.New("every connection to the node is in use")

// forwardConn is one connection to a peer. The library sends a request on a ClientConn at most once.
type forwardConn struct {
	conn *http.ClientConn
	// socket is the connection below conn.
	socket net.Conn
	// lastResponseNanos is the time of the last answer, or of the opening, in nanoseconds since 1970.
	lastResponseNanos atomic.Int64
	// hasResponded means that the peer has answered on it. Where a peer hangs, its system still opens connections.
	hasResponded atomic.Bool
	// retired means that no new request is sent on it.
	retired   atomic.Bool
	idleTimer *time.Timer
}

func newForwardConn(conn *http.ClientConn, socket net.Conn, now time.Time) *forwardConn {
	l := &forwardConn{conn: conn, socket: socket}
	l.lastResponseNanos.Store(now.UnixNano())
	l.idleTimer = time.AfterFunc(idleTimeout, l.closeIfIdle)
	return l
}

// broken reports whether no request can be sent on the connection.
func (l *forwardConn) broken() bool { return l.conn.Err() != nil || socketEnded(l.socket) }

func (l *forwardConn) closeIfIdle() {
	if l.conn.InFlight() == 0 {
		_ = l.conn.Close()
		return
	}
	l.idleTimer.Reset(l.idleLimit())
}

func (l *forwardConn) idleLimit() time.Duration {
	if l.retired.Load() {
		return retiredTimeout
	}
	return idleTimeout
}

// retire leaves the connection to the requests that it carries.
func (l *forwardConn) retire() {
	l.retired.Store(true)
	l.closeIfIdle()
}

// canSkipVerification reports whether a request can be sent without verifying the connection first.
func (l *forwardConn) canSkipVerification(now time.Time, idempotent bool) bool {
	return now.Sub(l.lastResponse()) <= verificationTTL && (idempotent || l.hasResponded.Load())
}

func (l *forwardConn) lastResponse() time.Time { return time.Unix(0, l.lastResponseNanos.Load()) }

func (l *forwardConn) recordResponse(now time.Time) {
	l.hasResponded.Store(true)
	l.lastResponseNanos.Store(now.UnixNano())
	l.idleTimer.Reset(l.idleLimit())
}

func (l *forwardConn) close() {
	l.idleTimer.Stop()
	_ = l.conn.Close()
}

// dialFunc opens a connection.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// socketKey is the key of a context's *net.Conn, which keepSocket fills.
type socketKey struct{}

// captureSocket wraps a dial function so that the caller of NewClientConn gets the connection that was opened for it.
func captureSocket(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if socket, ok := ctx.Value(socketKey{}).(*net.Conn); ok {
			*socket = conn
		}
		return conn, err
	}
}

// connPool holds the open connections by address.
type connPool struct {
	transport *http.Transport
	now       func() time.Time
	mu        sync.Mutex
	open      map[string][]*forwardConn
	closed    bool
}

// roundTripTimeout returns the time that one round trip to a node may take.
func roundTripTimeout(far bool) time.Duration {
	if far {
		return crossZoneTimeout
	}
	return ownZoneTimeout
}

// reserve returns a connection with room for one more request, opened within the timeout if need be.
func (ls *connPool) reserve(ctx context.Context, address string, timeout time.Duration) (*forwardConn, error) {
	if l, ok := ls.reserveOpen(address); ok {
		return l, nil
	}
	ls.mu.Lock()
	full := len(ls.open[address]) >= maxConnsPerPeer
	ls.mu.Unlock()
	if full {
		return nil, errConnsFull
	}
	return ls.dial(ctx, address, timeout)
}

func (ls *connPool) reserveOpen(address string) (*forwardConn, bool) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	var usable []*forwardConn
	var found *forwardConn
	for _, l := range ls.open[address] {
		if l.broken() {
			l.retire()
			continue
		}
		usable = append(usable, l)
		if found == nil && l.conn.Reserve() == nil {
			found = l
		}
	}
	ls.setOpen(address, usable)
	return found, found != nil
}

// dial opens a connection and reserves a request on it.
func (ls *connPool) dial(ctx context.Context, address string, timeout time.Duration) (*forwardConn, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var socket net.Conn
	conn, err := ls.transport.NewClientConn(context.WithValue(ctx, socketKey{}, &socket), "http", address)
	if err != nil {
		return nil, err
	}
	if err := conn.Reserve(); err != nil {
		_ = conn.Close()
		return nil, err
	}
	l := newForwardConn(conn, socket, ls.now())
	ls.mu.Lock()
	defer ls.mu.Unlock()
	if ls.closed {
		l.close()
		return nil, errors.New("the node is stopping")
	}
	ls.open[address] = append(ls.open[address], l)
	return l, nil
}

// drop closes a connection that no longer answers.
func (ls *connPool) drop(address string, broken *forwardConn) {
	broken.close()
	ls.remove(address, broken)
}

// retire takes a connection that did not answer in time out of use. A busy node may be slow to answer, so that the requests
// which it carries go on; their own watch closes it when it has gone silent.
func (ls *connPool) retire(address string, slow *forwardConn) {
	ls.remove(address, slow)
	slow.retire()
}

func (ls *connPool) remove(address string, unusable *forwardConn) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	var usable []*forwardConn
	for _, l := range ls.open[address] {
		if l != unusable {
			usable = append(usable, l)
		}
	}
	ls.setOpen(address, usable)
}

func (ls *connPool) setOpen(address string, usable []*forwardConn) {
	if len(usable) == 0 {
		delete(ls.open, address)
		return
	}
	ls.open[address] = usable
}

func (ls *connPool) close() {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	ls.closed = true
	for _, open := range ls.open {
		for _, l := range open {
			l.close()
		}
	}
	clear(ls.open)
}
