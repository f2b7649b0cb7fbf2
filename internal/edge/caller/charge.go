package caller

import (
	"context"
	"net/http"
	"time"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/fleet"
	"jayfold.dev/jayfold/internal/edge/memory"
)

// What callers make the node hold, in bytes. The values are rounded up from the resident size of a node under each kind of load.
const (
	// connCost is an open HTTP/1 connection: its goroutine, its input buffer and the socket.
	connCost = 8 << 10
	// http2ConnCost is an open HTTP/2 connection, with its buffers and header tables.
	http2ConnCost = 64 << 10
	// requestCost is a request in progress without its head: its goroutines, the stream to the sidecar and their buffers.
	requestCost = 24 << 10
	// lineCost is a header line beyond its bytes: its entries in the parsed headers, in the copy that is forwarded and, if the target is on
	// this host, in the headers that the sidecar receives and forwards. With 400, requests of 4,000 lines took the node to 187 MB.
	lineCost = 1000
	// headCopies is the number of copies of the bytes of a head.
	headCopies = 6
	// heldResponseCost is a response that waits for those before it: the buffered start of its body and the buffers of its stream.
	heldResponseCost = 128 << 10
	// streamCost is what the sidecar may send of a long response before the caller has read the start of it.
	streamCost = 288 << 10
)

// The lines of a head are bounded by minHeadLines or, if that is more, by one for each headBytesPerLine of the limit for the bytes. A head of
// 16 KiB, the largest that callers are told they may send, cannot have more than minHeadLines.
const (
	minHeadLines     = 4 << 10
	headBytesPerLine = 16
)

// limitLogInterval is the time between two log lines about the same limit.
const limitLogInterval = 10 * time.Second

var (
	errNoMemory = fleet.NewProblem(fleet.Overloaded, fleet.NotRun, "the memory for callers is used up").
			WithRetryAfter(bodiesFullRetryAfter)
	errTooManyLines = fleet.NewProblem(fleet.TooLarge, fleet.NotRun, "the head has too many lines")
)

func (s *Server) maxHeadLines() int {
	return max(minHeadLines, s.limits().HeaderBytes/headBytesPerLine)
}

// holderKey is the key of a connection's memory.Holder in the context of its requests.
type holderKey struct{}

// holderOf returns the memory that the connection of a request holds; nil if the request has no connection.
func holderOf(ctx context.Context) *memory.Holder {
	h, _ := ctx.Value(holderKey{}).(*memory.Holder)
	return h
}

// headCost returns the cost of a request with a head of this size.
func headCost(bytes, lines int) int64 { return int64(requestCost + headCopies*bytes + lineCost*lines) }

// chargeHTTP2 returns a handler that charges HTTP/2 requests before it passes them on. HTTP/1 requests have been charged before they were
// parsed.
func (s *Server) chargeHTTP2(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		holder := holderOf(r.Context())
		if r.ProtoMajor < 2 || holder == nil {
			next.ServeHTTP(w, r)
			return
		}
		lines := 0
		for _, values := range r.Header {
			lines += len(values)
		}
		cost := headCost(headerBytes(r.Header), lines)
		taken := holder.Take(cost)
		if c, ok := r.Context().Value(http2Key{}).(*http2Conn); ok {
			c.handlerStarted()
		}
		if !taken {
			s.limitReached("memory")
			s.protocol.Refuse(w, s.seams.NewRequestID(), errNoMemory)
			return
		}
		defer holder.Return(cost)
		next.ServeHTTP(w, r)
		holder.Progress()
	})
}

// holdResponse charges the buffered part of a response while it is written, and what may arrive of the rest. It returns a function that
// returns the memory.
func holdResponse(ctx context.Context, b bufferedResponse) func() {
	cost := int64(len(b.buffered))
	if !b.complete {
		cost += streamCost
	}
	holder := holderOf(ctx)
	holder.TakeAlways(cost)
	return func() { holder.Return(cost) }
}

// SetMemory changes the memory in bytes that callers may make the node hold; 0 means no bound.
func (s *Server) SetMemory(bytes int64) { s.budget.SetLimit(bytes) }

// evicted counts a connection that was closed because it held the most memory for the least progress.
func (s *Server) evicted() { s.limitReached("evicted") }

// limitReached counts that a limit was applied, and logs it from time to time.
func (s *Server) limitReached(reason string) {
	if s.seams.Observe == nil {
		return
	}
	s.seams.Observe(effect.AddToCounter{
		Name: "callers_limited", Labels: []effect.Label{{Name: "reason", Value: reason}}, Delta: 1,
	})
	if !s.mayLogLimit(reason) {
		return
	}
	s.seams.Observe(effect.WriteLog{
		Level: effect.Warn, Component: "callers", Message: "a caller has reached a limit",
		Fields: []effect.LogField{
			{Name: "Reason", Value: reason},
			{Name: "HeldBytes", Value: s.budget.Used()},
			{Name: "Connections", Value: s.conns.count()},
		},
	})
}

// mayLogLimit reports whether a limit may be logged now. There are few reasons, so the map is small.
func (s *Server) mayLogLimit(reason string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.seams.Now()
	if last, ok := s.limitLogged[reason]; ok && now.Sub(last) < limitLogInterval {
		return false
	}
	s.limitLogged[reason] = now
	return true
}
