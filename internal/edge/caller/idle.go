package caller

import (
	"container/list"
	"time"
)

// idleOrder lists the open connections. The idle ones, which have no request in progress, are in the order in which they became idle; the
// others may be anywhere, and are moved to the end when they become idle.
type idleOrder struct {
	conns    *list.List
	elements map[*conn]*list.Element
}

func newIdleOrder() idleOrder {
	return idleOrder{conns: list.New(), elements: make(map[*conn]*list.Element)}
}

func (o idleOrder) add(c *conn) { o.elements[c] = o.conns.PushBack(c) }

func (o idleOrder) remove(c *conn) {
	if e, ok := o.elements[c]; ok {
		o.conns.Remove(e)
		delete(o.elements, c)
	}
}

// moveToEnd records that a connection has become idle.
func (o idleOrder) moveToEnd(c *conn) {
	if e, ok := o.elements[c]; ok {
		o.conns.MoveToBack(e)
	}
}

// oldest returns the connection that has been idle for longest and moves it to the end; nil if none is idle. The others that it looks at move to
// the end as well, so that the next call doesn't look at them again.
func (o idleOrder) oldest() *conn {
	for range o.conns.Len() {
		e := o.conns.Front()
		o.conns.MoveToBack(e)
		if c, ok := e.Value.(*conn); ok && c.idle.Load() {
			return c
		}
	}
	return nil
}

// becameIdle records that a connection has no request in progress any more.
func (s *conns) becameIdle(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.order.moveToEnd(c)
}

// makeRoom reports whether there is room for another connection. At the limit it closes the connection that has been idle for longest.
func (s *conns) makeRoom() bool {
	s.mu.Lock()
	full := s.limit > 0 && len(s.open)+s.http2 >= s.limit
	s.mu.Unlock()
	return !full || s.closeOldestIdle()
}

// closeOldestIdle closes the connection that has been idle for longest. It returns false if none is idle.
func (s *conns) closeOldestIdle() bool {
	s.mu.Lock()
	oldest := s.order.oldest()
	s.mu.Unlock()
	if oldest == nil {
		return false
	}
	oldest.closeIdle()
	return true
}

// addHTTP2 changes the number of open HTTP/2 connections.
func (s *conns) addHTTP2(change int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.http2 += change
}

// setIdle records whether the connection waits for a request and has none in progress.
func (c *conn) setIdle(idle bool) {
	if c.idle.Swap(idle) != idle && idle {
		c.server.conns.becameIdle(c)
	}
}

// closeIdle closes the connection unless a request has arrived meanwhile. A request that is on its way is not read.
func (c *conn) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.idle.Swap(false) {
		return
	}
	c.closing = true
	_ = c.socket.SetReadDeadline(time.Now())
}
