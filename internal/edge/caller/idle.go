package caller

import (
	"container/list"
	"time"
)

// idleConns lists the connections without a request, the one that has been idle for longest first.
type idleConns struct {
	order    *list.List
	elements map[*conn]*list.Element
}

func newIdleConns() idleConns {
	return idleConns{order: list.New(), elements: make(map[*conn]*list.Element)}
}

func (i idleConns) add(c *conn) {
	if _, ok := i.elements[c]; !ok {
		i.elements[c] = i.order.PushBack(c)
	}
}

func (i idleConns) remove(c *conn) {
	if e, ok := i.elements[c]; ok {
		i.order.Remove(e)
		delete(i.elements, c)
	}
}

// takeOldest removes and returns the connection that has been idle for longest; nil if none is idle.
func (i idleConns) takeOldest() *conn {
	e := i.order.Front()
	if e == nil {
		return nil
	}
	c, _ := e.Value.(*conn)
	i.remove(c)
	return c
}

// setIdle records whether a connection waits for a request and has none in progress.
func (s *conns) setIdle(c *conn, idle bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if idle {
		s.idle.add(c)
	} else {
		s.idle.remove(c)
	}
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
	oldest := s.idle.takeOldest()
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

// closeIdle closes the connection unless a request has arrived meanwhile. A request that is on its way is not read.
func (c *conn) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.waiting || len(c.queue) > 0 {
		return
	}
	c.closing = true
	_ = c.socket.SetReadDeadline(time.Now())
}
