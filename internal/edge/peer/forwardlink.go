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
	// freshWithin is how long after an answer a connection counts as verified.
	freshWithin = 500 * time.Millisecond
	// nearTimeout and farTimeout bound the verification of a connection and the opening of one, each of which takes one
	// round trip: within an availability zone 0.4 ms and whatever the peer waits for its processor, between zones 3 ms,
	// between regions 110 ms. A request that cannot be sent goes to another node, which costs less than a longer wait, and a
	// lost packet would be sent again only after a second.
	nearTimeout = 100 * time.Millisecond
	farTimeout  = 200 * time.Millisecond
	// idleTimeout closes unused connections. An idle one costs nothing but memory; a new one costs a round trip and some 500
	// bytes.
	idleTimeout = 2 * time.Minute
	// retiredTimeout is the same for a connection that takes no new requests.
	retiredTimeout = time.Second
	// silentAfter is how long a request waits before its connection is verified, and how long the verification may take. A
	// lost packet is sent again within a second.
	silentAfter = 2 * time.Second
	// maxLinks bounds the connections to one peer; each carries as many requests as the peer allows at once.
	maxLinks = 4
)

var errLinksFull = errors.New("every connection to the node is in use")

// link is one connection to a peer. The library sends a request on a ClientConn at most once.
type link struct {
	conn *http.ClientConn
	// socket is the connection below conn.
	socket net.Conn
	// answered is the time of the last answer, or of the opening, in nanoseconds since 1970.
	answered atomic.Int64
	// proven means that the peer has answered on it. Where a peer hangs, its system still opens connections.
	proven atomic.Bool
	// retired means that no new request is sent on it.
	retired atomic.Bool
	idle    *time.Timer
}

func newLink(conn *http.ClientConn, socket net.Conn, now time.Time) *link {
	l := &link{conn: conn, socket: socket}
	l.answered.Store(now.UnixNano())
	l.idle = time.AfterFunc(idleTimeout, l.closeIdle)
	return l
}

// broken reports whether no request can be sent on the connection.
func (l *link) broken() bool { return l.conn.Err() != nil || ended(l.socket) }

func (l *link) closeIdle() {
	if l.conn.InFlight() == 0 {
		_ = l.conn.Close()
		return
	}
	l.idle.Reset(l.idleTime())
}

func (l *link) idleTime() time.Duration {
	if l.retired.Load() {
		return retiredTimeout
	}
	return idleTimeout
}

// retire leaves the connection to the requests that it carries.
func (l *link) retire() {
	l.retired.Store(true)
	l.closeIdle()
}

// usable reports whether a request can be sent without verifying the connection first.
func (l *link) usable(now time.Time, idempotent bool) bool {
	return now.Sub(l.lastAnswer()) <= freshWithin && (idempotent || l.proven.Load())
}

func (l *link) lastAnswer() time.Time { return time.Unix(0, l.answered.Load()) }

func (l *link) touch(now time.Time) {
	l.proven.Store(true)
	l.answered.Store(now.UnixNano())
	l.idle.Reset(l.idleTime())
}

func (l *link) close() {
	l.idle.Stop()
	_ = l.conn.Close()
}

// dialFunc opens a connection.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// socketKey is the key of a context's *net.Conn, which keepSocket fills.
type socketKey struct{}

// keepSocket wraps a dial function so that the caller of NewClientConn gets the connection that was opened for it.
func keepSocket(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if socket, ok := ctx.Value(socketKey{}).(*net.Conn); ok {
			*socket = conn
		}
		return conn, err
	}
}

// links holds the open connections by address.
type links struct {
	transport *http.Transport
	now       func() time.Time
	mu        sync.Mutex
	open      map[string][]*link
	closed    bool
}

// timeoutOf returns the time that one round trip to a node may take.
func timeoutOf(far bool) time.Duration {
	if far {
		return farTimeout
	}
	return nearTimeout
}

// reserve returns a connection with room for one more request, opened within the timeout if need be.
func (ls *links) reserve(ctx context.Context, address string, timeout time.Duration) (*link, error) {
	if l, ok := ls.reserveOpen(address); ok {
		return l, nil
	}
	ls.mu.Lock()
	full := len(ls.open[address]) >= maxLinks
	ls.mu.Unlock()
	if full {
		return nil, errLinksFull
	}
	return ls.dial(ctx, address, timeout)
}

func (ls *links) reserveOpen(address string) (*link, bool) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	var usable []*link
	var found *link
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
	ls.store(address, usable)
	return found, found != nil
}

// dial opens a connection and reserves a request on it.
func (ls *links) dial(ctx context.Context, address string, timeout time.Duration) (*link, error) {
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
	l := newLink(conn, socket, ls.now())
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
func (ls *links) drop(address string, broken *link) {
	broken.close()
	ls.remove(address, broken)
}

// retire takes a connection that did not answer in time out of use. A busy node may be slow to answer, so that the requests
// which it carries go on; their own watch closes it when it has gone silent.
func (ls *links) retire(address string, slow *link) {
	ls.remove(address, slow)
	slow.retire()
}

func (ls *links) remove(address string, unusable *link) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	var usable []*link
	for _, l := range ls.open[address] {
		if l != unusable {
			usable = append(usable, l)
		}
	}
	ls.store(address, usable)
}

func (ls *links) store(address string, usable []*link) {
	if len(usable) == 0 {
		delete(ls.open, address)
		return
	}
	ls.open[address] = usable
}

func (ls *links) close() {
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
