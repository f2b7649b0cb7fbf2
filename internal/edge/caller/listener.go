package caller

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// minAcceptDelay and maxAcceptDelay bound the wait after a failed accept, for example without free descriptors.
	minAcceptDelay = 5 * time.Millisecond
	maxAcceptDelay = time.Second
)

// conns holds the open HTTP/1 connections.
type conns struct {
	mu   sync.Mutex
	open map[*conn]struct{}
	// order has the open connections in the order in which idle ones are closed.
	order idleOrder
	// http2 is the number of open HTTP/2 connections, and limit that of all connections from which on idle ones are closed; 0 means no
	// limit.
	http2, limit int
	closed       bool
	// empty is closed when the last connection ends after the server was closed.
	empty chan struct{}
	// listeners are closed when the server shuts down.
	listeners map[*handover]struct{}
}

func newConns(limit int) *conns {
	return &conns{
		open: make(map[*conn]struct{}), order: newIdleOrder(), limit: limit,
		empty: make(chan struct{}), listeners: make(map[*handover]struct{}),
	}
}

// add registers a connection. It returns false if the server is closed.
func (s *conns) add(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.open[c] = struct{}{}
	s.order.add(c)
	return true
}

func (s *conns) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, c)
	s.order.remove(c)
	if s.closed && len(s.open) == 0 {
		s.signalEmpty()
	}
}

func (s *conns) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open)
}

// signalEmpty closes empty unless it is closed.
func (s *conns) signalEmpty() {
	select {
	case <-s.empty:
	default:
		close(s.empty)
	}
}

// close accepts no further connections and returns the open ones.
func (s *conns) close() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	open := make([]*conn, 0, len(s.open))
	for c := range s.open {
		open = append(open, c)
	}
	for l := range s.listeners {
		_ = l.Close()
	}
	if len(open) == 0 {
		s.signalEmpty()
	}
	return open
}

// handover is the listener of the net/http server: it returns the HTTP/2 connections that were accepted by another listener.
type handover struct {
	listener net.Listener
	accepted chan net.Conn
	once     sync.Once
	done     chan struct{}
}

func newHandover(l net.Listener) *handover {
	return &handover{listener: l, accepted: make(chan net.Conn), done: make(chan struct{})}
}

// Accept implements net.Listener.
func (h *handover) Accept() (net.Conn, error) {
	select {
	case c := <-h.accepted:
		return c, nil
	case <-h.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener. It closes the other listener too. Further calls do nothing.
func (h *handover) Close() (err error) {
	h.once.Do(func() {
		close(h.done)
		err = h.listener.Close()
	})
	return err
}

// Addr implements net.Listener.
func (h *handover) Addr() net.Addr { return h.listener.Addr() }

// pass passes a connection on. The connection is closed if nobody accepts it any more.
func (h *handover) pass(c net.Conn) {
	select {
	case h.accepted <- c:
	case <-h.done:
		_ = c.Close()
	}
}

// Serve accepts connections from listener until Shutdown is called, and then returns http.ErrServerClosed.
func (s *Server) Serve(listener net.Listener) error {
	h := newHandover(listener)
	s.conns.mu.Lock()
	if s.conns.closed {
		s.conns.mu.Unlock()
		_ = listener.Close()
		return http.ErrServerClosed
	}
	s.conns.listeners[h] = struct{}{}
	s.conns.mu.Unlock()
	defer func() { _ = h.Close() }()
	go func() { _ = s.http.Serve(h) }()
	delay := time.Duration(0)
	for {
		socket, err := listener.Accept()
		switch {
		case err == nil:
			delay = 0
			s.serveConn(h, socket)
		case h.isClosed() || errors.Is(err, net.ErrClosed):
			return http.ErrServerClosed
		default:
			// Without free descriptors no connection can be accepted until another one is closed.
			s.conns.closeOldestIdle()
			delay = min(max(2*delay, minAcceptDelay), maxAcceptDelay)
			time.Sleep(delay)
		}
	}
}

func (h *handover) isClosed() bool {
	select {
	case <-h.done:
		return true
	default:
		return false
	}
}

// serveConn serves a connection on a goroutine of its own.
func (s *Server) serveConn(h *handover, socket net.Conn) {
	if !s.conns.makeRoom() {
		s.limitReached("descriptors")
		_ = socket.Close()
		return
	}
	c := newConn(s, socket)
	if !c.holder.Take(connCost) {
		s.limitReached("connections")
		c.holder.Close()
		_ = socket.Close()
		return
	}
	if !s.conns.add(c) {
		_ = socket.Close()
		c.release()
		return
	}
	s.seams.Recovery.Go("serve connection", func() {
		defer s.conns.remove(c)
		if !c.serve() {
			return
		}
		prefix := append([]byte(nil), c.input.bytes()...)
		c.release()
		if http2 := newHTTP2Conn(s, socket, prefix); http2 != nil {
			h.pass(http2)
		} else {
			_ = socket.Close()
		}
	}, func() { _ = socket.Close() })
}

// Shutdown closes the listeners and waits for the requests in flight until ctx ends.
func (s *Server) Shutdown(ctx context.Context) error {
	s.leaving.Store(true)
	for _, c := range s.conns.close() {
		c.shutDown()
	}
	err := s.http.Shutdown(ctx)
	defer s.workers.close()
	select {
	case <-s.conns.empty:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}
