// Package link is a TCP forwarder on loopback that stands in for the network between two processes.
//
// # Usage
//
//	l, err := link.New("127.0.0.1:7001", "127.0.0.1:7002")
//	defer l.Close()
//	l.Set(link.Condition{Cut: link.Forward}) // bytes of one direction wait
//	l.Set(link.Condition{})                  // and go on
//	l.Reset()                                // the open connections are reset
//	l.Silence()                              // the open connections carry nothing any more, new ones work
package link

import (
	"io"
	"net"
	"slices"
	"sync"
	"time"
)

// Direction is a direction of a link, seen from the side that opens connections.
type Direction uint8

// The directions, and both of them.
const (
	Forward Direction = 1 << iota
	Backward
	Both = Forward | Backward
)

// Condition is what a link does to the bytes that it carries. The zero value passes them on at once.
type Condition struct {
	// Cut holds back the bytes of a direction until it is healed, as a network does that loses all packets.
	Cut Direction
	// Delay comes before the bytes of both directions.
	Delay time.Duration
}

// Link passes the bytes of TCP connections on.
type Link struct {
	listener net.Listener
	target   string

	mu        sync.Mutex
	changed   *sync.Cond
	condition Condition
	conns     []*pair
	closed    bool
}

// pair is one connection through the link. Under the link's lock.
type pair struct {
	ends   [2]net.Conn
	silent bool
}

// New returns a link from an address to a target.
func New(listen, target string) (*Link, error) {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	l := &Link{listener: listener, target: target}
	l.changed = sync.NewCond(&l.mu)
	go l.accept()
	return l, nil
}

// Set brings a condition into force.
func (l *Link) Set(c Condition) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.condition = c
	l.changed.Broadcast()
}

// Condition returns the condition in force.
func (l *Link) Condition() Condition {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.condition
}

// Reset closes the open connections with a reset.
func (l *Link) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range l.conns {
		p.reset()
	}
	l.conns = nil
}

// Silence makes the open connections carry nothing any more, without their ends being told.
func (l *Link) Silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range l.conns {
		p.silent = true
	}
	l.changed.Broadcast()
}

// OpenConnections returns the number of open connections.
func (l *Link) OpenConnections() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// Close ends the link and its connections.
func (l *Link) Close() {
	_ = l.listener.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	l.changed.Broadcast()
	for _, p := range l.conns {
		p.close()
	}
}

func (p *pair) close() {
	for _, end := range p.ends {
		if end != nil {
			_ = end.Close()
		}
	}
}

func (p *pair) reset() {
	for _, end := range p.ends {
		if tcp, ok := end.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
	p.close()
}

func (l *Link) accept() {
	for {
		from, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.pass(from)
	}
}

// pass joins a connection with one to the target, which is opened only while both directions work.
func (l *Link) pass(from net.Conn) {
	p := &pair{ends: [2]net.Conn{from, nil}}
	if !l.keep(p) {
		return
	}
	defer l.forget(p)
	if !l.await(p, Both) {
		return
	}
	to, err := net.Dial("tcp", l.target)
	if err != nil {
		_ = from.Close()
		return
	}
	l.mu.Lock()
	p.ends[1] = to
	closed := l.closed
	l.mu.Unlock()
	if closed {
		p.close()
		return
	}
	go l.copy(p, to, from, Forward)
	l.copy(p, from, to, Backward)
}

// keep remembers a connection, to close it with the link.
func (l *Link) keep(p *pair) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		p.close()
		return false
	}
	l.conns = append(l.conns, p)
	return true
}

// forget takes a connection out whose ends are closed.
func (l *Link) forget(p *pair) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns = slices.DeleteFunc(l.conns, func(other *pair) bool { return other == p })
}

func (l *Link) copy(p *pair, to io.Writer, from io.Reader, direction Direction) {
	defer p.close()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		time.Sleep(l.Condition().Delay)
		if !l.await(p, direction) {
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

// await blocks while a direction is cut or the connection is silent, and reports whether the link still exists.
func (l *Link) await(p *pair, direction Direction) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for (l.condition.Cut&direction != 0 || p.silent) && !l.closed {
		l.changed.Wait()
	}
	return !l.closed
}
