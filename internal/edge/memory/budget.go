// Package memory bounds the memory that callers can make a node hold.
//
// # Usage
//
//	budget := memory.New(64 << 20, func(reason string) { ... })
//	holder := budget.Open(socket.Close) // one for each connection
//	defer holder.Close()
//	if !holder.Take(cost) {
//		// refuse the request
//	}
//	defer holder.Return(cost)
//
// When the budget is exhausted, the connection that holds the most for the longest time without progress of its caller is closed. The time in
// which the node works on a request is no fault of the caller, and a connection that holds little meanwhile is never closed. A share of
// the budget is reserved for small requests, so that ordinary callers are served while others hold the rest.
package memory

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// reservedShare is the part of the budget, one in so many, that only small requests and connections may use.
	reservedShare = 4
	// smallBytes is the cost up to which a request counts as small.
	smallBytes = 64 << 10
	// evictInterval is the shortest time between two evictions, since each looks at all connections.
	evictInterval = 2 * time.Millisecond
	// minEvictedBytes is the smallest amount that is worth closing a connection for.
	minEvictedBytes = 16 << 10
)

// Budget counts what the connections of callers hold. Its methods may be called from any goroutine.
type Budget struct {
	limit   atomic.Int64
	used    atomic.Int64
	evicted func()

	mu          sync.Mutex
	open        map[*Holder]struct{}
	lastEvicted time.Time
}

// New returns a budget of limit bytes; 0 means that nothing is bounded. evicted is called after each eviction.
func New(limit int64, evicted func()) *Budget {
	b := &Budget{evicted: evicted, open: make(map[*Holder]struct{})}
	b.limit.Store(limit)
	return b
}

// SetLimit changes the budget. What is held already stays held.
func (b *Budget) SetLimit(limit int64) { b.limit.Store(limit) }

// Used returns the bytes that are held.
func (b *Budget) Used() int64 { return b.used.Load() }

// Holder is the part of the budget that one connection holds. A nil Holder takes everything and counts nothing.
type Holder struct {
	budget *Budget
	evict  func()
	held   atomic.Int64
	// progress is the time of the last progress, in Unix nanoseconds.
	progress atomic.Int64
	// working is the number of the connection's requests on which the node works.
	working atomic.Int64
}

// Open adds a connection. evict closes it; it is called on a goroutine of its own.
func (b *Budget) Open(evict func()) *Holder {
	h := &Holder{budget: b, evict: evict}
	h.Progress()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.open[h] = struct{}{}
	return h
}

// Close removes a connection. What it still holds must be returned.
func (h *Holder) Close() {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	delete(h.budget.open, h)
}

// Progress records that the connection has made progress, such as a complete response.
func (h *Holder) Progress() { h.progress.Store(time.Now().UnixNano()) }

// StartWork records that the node works on a complete request of the connection, which waits for it. Work ends with EndWork.
func (h *Holder) StartWork() {
	if h != nil {
		h.working.Add(1)
	}
}

// EndWork records that the caller's part begins, such as the reading of the response.
func (h *Holder) EndWork() {
	if h != nil {
		h.Progress()
		h.working.Add(-1)
	}
}

// evictionCost returns the product of the bytes held and the time without progress of the caller; 0 if the connection must not be closed.
func (h *Holder) evictionCost(now time.Time) float64 {
	held := h.held.Load()
	working := h.working.Load() > 0
	if held < minEvictedBytes || working && held <= smallBytes {
		return 0
	}
	stalled := time.Duration(now.UnixNano() - h.progress.Load())
	if working {
		stalled = 0
	}
	return float64(held) * float64(stalled+time.Millisecond)
}

// Take takes bytes from the budget. If it returns false, nothing was taken, and the connection that is the worst to keep is closed.
func (h *Holder) Take(bytes int64) bool {
	if h.TryTake(bytes) {
		return true
	}
	h.budget.evictOne()
	return false
}

// TryTake takes bytes from the budget. If it returns false, nothing was taken.
func (h *Holder) TryTake(bytes int64) bool {
	if h == nil {
		return true
	}
	b := h.budget
	limit := b.limit.Load()
	if bytes > smallBytes || h.held.Load() > smallBytes {
		limit -= limit / reservedShare
	}
	used := b.used.Add(bytes)
	if b.limit.Load() > 0 && used > limit {
		b.used.Add(-bytes)
		return false
	}
	h.held.Add(bytes)
	return true
}

// TakeAlways takes bytes that are held already. If they exceed the budget, the connection that is the worst to keep is closed.
func (h *Holder) TakeAlways(bytes int64) {
	if h.Take(bytes) {
		return
	}
	h.budget.used.Add(bytes)
	h.held.Add(bytes)
}

// Return returns bytes to the budget.
func (h *Holder) Return(bytes int64) {
	if h == nil {
		return
	}
	h.held.Add(-bytes)
	h.budget.used.Add(-bytes)
}

// evictOne closes the connection with the largest eviction cost, if there is one.
func (b *Budget) evictOne() {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	if now.Sub(b.lastEvicted) < evictInterval {
		return
	}
	b.lastEvicted = now
	var worst *Holder
	var worstCost float64
	for h := range b.open {
		if cost := h.evictionCost(now); cost > worstCost {
			worst, worstCost = h, cost
		}
	}
	if worst == nil {
		return
	}
	delete(b.open, worst)
	go worst.evict()
	if b.evicted != nil {
		b.evicted()
	}
}
