// Package link is a TCP proxy on loopback that injects network faults between two processes.
//
// # Usage
//
//	l, err := link.New("127.0.0.1:7001", "127.0.0.1:7002")
//	defer l.Close()
//	l.Set(link.Condition{Cut: link.Forward}) // bytes of one direction are held back
//	l.Set(link.Condition{})                  // and are delivered
//	l.Reset()                                // open connections are reset
//	l.Silence()                              // open connections carry no more bytes; new connections work
package link

import (
	"io"
	"net"
	"slices"
	"sync"
	"time"
)

// Direction is a direction of a link, relative to the side that opens connections.
type Direction uint8

// The directions: from the client to the server, the reverse, and both.
const (
	Forward Direction = 1 << iota
	Backward
	Both = Forward | Backward
)

// Condition is the fault injected into a link. The zero value forwards bytes immediately.
type Condition struct {
	// Cut holds back the bytes of a direction until a later condition does not include it, as TCP does while a network loses
	// all packets.
	Cut Direction
	// Delay is added to the bytes of both directions.
	Delay time.Duration
}

// Link is a TCP proxy for one address.
type Link struct {
	listener    net.Listener
	destination string

	mu          sync.Mutex
	changed     *sync.Cond
	condition   Condition
	connections []*connection
	closed      bool
}

// connection is a proxied connection. It is guarded by the mutex of its link.
type connection struct {
	ends   [2]net.Conn
	silent bool
}

// New returns a link that listens on an address and forwards connections to the destination.
func New(listen, destination string) (*Link, error) {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	l := &Link{listener: listener, destination: destination}
	l.changed = sync.NewCond(&l.mu)
	go l.accept()
	return l, nil
}

// Set replaces the condition.
func (l *Link) Set(c Condition) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.condition = c
	l.changed.Broadcast()
}

// Condition returns the current condition.
func (l *Link) Condition() Condition {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.condition
}

// Reset closes the open connections with a TCP reset.
func (l *Link) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.connections {
		c.reset()
	}
	l.connections = nil
}

// Silence permanently stops the delivery of bytes on the open connections without closing them.
func (l *Link) Silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.connections {
		c.silent = true
	}
	l.changed.Broadcast()
}

// OpenConnections returns the number of open connections.
func (l *Link) OpenConnections() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.connections)
}

// Close closes the link and its connections.
func (l *Link) Close() {
	_ = l.listener.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	l.changed.Broadcast()
	for _, c := range l.connections {
		c.close()
	}
}

func (c *connection) close() {
	for _, end := range c.ends {
		if end != nil {
			_ = end.Close()
		}
	}
}

func (c *connection) reset() {
	for _, end := range c.ends {
		if tcp, ok := end.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
	c.close()
}

func (l *Link) accept() {
	for {
		from, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.proxy(from)
	}
}

// proxy connects to the destination and copies bytes both ways. It connects only while neither direction is cut.
func (l *Link) proxy(from net.Conn) {
	c := &connection{ends: [2]net.Conn{from, nil}}
	if !l.track(c) {
		return
	}
	defer l.untrack(c)
	if !l.awaitUnblocked(c, Both) {
		return
	}
	to, err := net.Dial("tcp", l.destination)
	if err != nil {
		_ = from.Close()
		return
	}
	l.mu.Lock()
	c.ends[1] = to
	closed := l.closed
	l.mu.Unlock()
	if closed {
		c.close()
		return
	}
	go l.copy(c, to, from, Forward)
	l.copy(c, from, to, Backward)
}

// track adds a connection, which Close then closes. It reports whether the link is still open; if not, it closes the connection.
func (l *Link) track(c *connection) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		c.close()
		return false
	}
	l.connections = append(l.connections, c)
	return true
}

// untrack removes a closed connection.
func (l *Link) untrack(c *connection) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.connections = slices.DeleteFunc(l.connections, func(other *connection) bool { return other == c })
}

func (l *Link) copy(c *connection, to io.Writer, from io.Reader, direction Direction) {
	defer c.close()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		time.Sleep(l.Condition().Delay)
		if !l.awaitUnblocked(c, direction) {
			return
		}
		if n > 0 {
			if _, failed := to.Write(buffer[:n]); failed != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// awaitUnblocked blocks while a direction is cut or the connection is silenced. It reports whether the link is still open.
func (l *Link) awaitUnblocked(c *connection, direction Direction) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for (l.condition.Cut&direction != 0 || c.silent) && !l.closed {
		l.changed.Wait()
	}
	return !l.closed
}
