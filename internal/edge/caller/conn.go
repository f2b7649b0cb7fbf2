package caller

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"jayfold.dev/jayfold/internal/edge/memory"
)

const (
	// maxPipelined is the number of requests of one connection that are served at the same time.
	maxPipelined = 16
	// idleTimeout is the time after which a connection without requests is closed.
	idleTimeout = 2 * time.Minute
	// shutdownGrace is the time for which a connection without requests stays open when the server shuts down, so that a request that is
	// already on its way still gets a response.
	shutdownGrace = 50 * time.Millisecond
	// lingerTimeout is the time for which input is discarded after the last response. Closing a socket with unread input resets the
	// connection, which can destroy the response before the caller has read it.
	lingerTimeout = 500 * time.Millisecond
	// lingerBytes bounds the input that is discarded after the last response.
	lingerBytes = 1 << 20
	// writeTimeout is the time within which a caller must take one write of a response, of at most 64 KiB.
	writeTimeout = 30 * time.Second
	// progressBytes is the size of a write that counts as progress of a response.
	progressBytes = 16 << 10
)

// conn is an HTTP/1 connection of a caller. One goroutine, serve, reads the requests and closes the connection; each request is handled
// on a goroutine of its own, which writes its response when all responses before it are written.
type conn struct {
	server *Server
	socket net.Conn
	remote string
	holder *memory.Holder
	input  input
	// ctx ends when the caller disconnects.
	ctx    context.Context
	cancel context.CancelFunc

	// idle is true while the connection waits for a request and has none in progress.
	idle atomic.Bool

	mu sync.Mutex
	// changed is signaled when a response has ended or the connection has failed.
	changed sync.Cond
	// queue holds the requests whose responses are not complete, in the order of arrival. Only the first may write.
	queue []*response
	// waiting is true while serve waits for the first byte of a request. used is true once one has arrived.
	waiting, used bool
	// closing is true if the connection is closed after the requests that have been read.
	closing bool
	// announced is true once a response with "Connection: close" was begun.
	announced bool
	// linger is true if the caller may have sent more than was read.
	linger bool
	// answered is true once a response was written whole.
	answered bool
	// failed is true after an error in writing or an aborted response.
	failed bool
}

func newConn(s *Server, socket net.Conn) *conn {
	c := &conn{server: s, socket: socket}
	c.idle.Store(true)
	c.changed.L = &c.mu
	c.holder = s.budget.Open(c.fail)
	c.input = newInput(socket, c.holder)
	c.ctx, c.cancel = context.WithCancel(context.WithValue(context.Background(), holderKey{}, c.holder))
	if address := socket.RemoteAddr(); address != nil {
		c.remote = address.String()
	}
	return c
}

// serve reads requests until the connection ends. It returns true if the connection uses HTTP/2 and was not closed.
func (c *conn) serve() bool {
	err := c.waitForInput()
	if err == nil {
		var http2 bool
		if http2, err = c.input.hasPreface(); http2 {
			_ = c.socket.SetReadDeadline(time.Time{})
			return true
		}
	}
	for err == nil {
		err = c.next()
	}
	c.inputEnded(err)
	c.end()
	return false
}

var (
	// errStopped means that no further request is read although the connection has not failed.
	errStopped = errors.New("no further requests are read")
	// errLastRequest means that the request that was read is the last one.
	errLastRequest = errors.New("the last request was read")
)

// next reads a request and starts its handler.
func (c *conn) next() error {
	if !c.input.buffered() {
		if err := c.waitForInput(); err != nil {
			return err
		}
	}
	head, lines, err := c.readHead()
	if err != nil {
		return c.refuseHead(err)
	}
	cost := headCost(len(head), lines)
	if !c.holder.Take(cost) {
		return c.refuseHead(errNoMemory)
	}
	request, body, err := c.parse(head)
	if err != nil {
		c.holder.Return(cost)
		return c.refuseHead(err)
	}
	x := newResponseFor(c, request, body)
	x.cost = cost
	if err := c.start(x, x.serveRequest); err != nil {
		return err
	}
	if body != nil {
		// The handler reads the body; the input is free when it has.
		<-body.ended
		if !body.complete.Load() {
			return errLastRequest
		}
		err := c.input.unread(body.source)
		releaseReader(body.source)
		if err != nil {
			return c.refuseHead(err)
		}
	}
	if x.last {
		return errLastRequest
	}
	return nil
}

// waitForInput waits for the first bytes of a request.
func (c *conn) waitForInput() error {
	c.mu.Lock()
	c.waiting = true
	c.setIdleDeadline()
	c.mu.Unlock()
	err := c.input.fill()
	c.mu.Lock()
	c.waiting, c.used = false, true
	c.setIdle(false)
	c.mu.Unlock()
	return err
}

// setIdleDeadline sets the deadline for the first byte of the next request.
func (c *conn) setIdleDeadline() {
	c.setIdle(len(c.queue) == 0 && !c.closing)
	switch {
	case len(c.queue) > 0:
		_ = c.socket.SetReadDeadline(time.Time{})
	case c.announced:
		_ = c.socket.SetReadDeadline(time.Now().Add(lingerTimeout))
	case c.closing:
		_ = c.socket.SetReadDeadline(time.Now().Add(shutdownGrace))
	case !c.used:
		_ = c.socket.SetReadDeadline(time.Now().Add(c.server.headerTimeout))
	default:
		_ = c.socket.SetReadDeadline(time.Now().Add(idleTimeout))
	}
}

// inputEnded handles the reason for which no further requests are read. It returns when no response is outstanding.
func (c *conn) inputEnded(err error) {
	switch {
	case errors.Is(err, errLastRequest):
		c.watch()
	case errors.Is(err, errStopped):
		c.mu.Lock()
		c.linger = true
		c.mu.Unlock()
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.mu.Lock()
		c.closing = true
		if c.announced && len(c.queue) == 0 {
			c.linger = false // serve has waited for the caller already
		}
		c.mu.Unlock()
	default:
		c.cancel()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.queue) > 0 {
		c.changed.Wait()
	}
}

// watch waits until the caller disconnects or sends more than the last request.
func (c *conn) watch() {
	if c.input.buffered() {
		c.setLinger()
		return
	}
	switch err := c.waitForInput(); {
	case err == nil:
		c.setLinger()
	case !errors.Is(err, os.ErrDeadlineExceeded):
		c.cancel()
	}
}

func (c *conn) setLinger() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.linger = true
}

// end closes the connection. All responses are complete.
func (c *conn) end() {
	c.mu.Lock()
	linger := c.linger && !c.failed
	c.mu.Unlock()
	if linger {
		c.discardInput()
	}
	_ = c.socket.Close()
	c.release()
}

// release frees what the connection holds.
func (c *conn) release() {
	c.cancel()
	c.input.release()
	c.holder.Return(connCost)
	c.holder.Close()
}

// discardInput ends the output and discards input until the caller closes the connection, within lingerTimeout.
func (c *conn) discardInput() {
	c.closeWrite()
	_ = c.socket.SetReadDeadline(time.Now().Add(lingerTimeout))
	c.input.discard(lingerBytes)
}

// closeWrite ends the output. The caller can still read it to its end, even if it goes on sending.
func (c *conn) closeWrite() {
	if tcp, ok := c.socket.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
}

// shutDown closes the connection after the requests that have been read.
func (c *conn) shutDown() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
	if c.waiting {
		c.setIdleDeadline()
	}
}

// Write writes to the socket. After an error nothing more is written.
func (c *conn) Write(p []byte) (int, error) {
	_ = c.socket.SetWriteDeadline(time.Now().Add(writeTimeout))
	n, err := c.socket.Write(p)
	if err != nil {
		c.fail()
		return n, err
	}
	if n >= progressBytes {
		c.holder.Progress()
	}
	return n, nil
}

// fail resets the connection, so that an incomplete response cannot look complete.
func (c *conn) fail() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failed {
		return
	}
	c.failed, c.closing, c.announced = true, true, true
	if tcp, ok := c.socket.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.socket.Close()
	c.cancel()
	c.changed.Broadcast()
}
