package caller

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"jayfold.dev/jayfold/internal/edge/memory"
)

const (
	// http2Streams is the number of requests that an HTTP/2 connection may have in progress.
	http2Streams = 100
	// controlFrames and controlFramesPerSecond bound the frames of an HTTP/2 connection that carry no request. net/http queues a reply to
	// each, up to 10,000 in a connection whose caller does not read them.
	controlFrames          = 1000
	controlFramesPerSecond = 100
)

// The types of HTTP/2 frames (RFC 9113, section 6).
const (
	frameData         = 0
	frameHeaders      = 1
	framePriority     = 2
	frameSettings     = 4
	framePing         = 6
	frameContinuation = 9
)

// fieldBlockCost is what a byte of an encoded head takes at most once it is parsed: a header line can take 8 bytes or fewer.
const fieldBlockCost = 48

var errControlFrames = errors.New("too many HTTP/2 control frames")

// http2Conn is an HTTP/2 connection. Its first bytes have been read already.
type http2Conn struct {
	net.Conn
	server *Server
	prefix []byte
	holder *memory.Holder
	frames frameCounter
	once   sync.Once

	mu sync.Mutex
	// heads is the number of heads that were received and whose handlers have not started; headsCost is what they take.
	heads     int
	headsCost int64
	closed    bool
}

// newHTTP2Conn takes over the socket of an HTTP/1 loop. It returns nil if there is no memory for it.
func newHTTP2Conn(s *Server, socket net.Conn, prefix []byte) *http2Conn {
	c := &http2Conn{Conn: socket, server: s, prefix: prefix}
	c.frames = frameCounter{skip: len(http2Preface), tokens: controlFrames, last: time.Now()}
	c.holder = s.budget.Open(func() { _ = c.Close() })
	if !c.holder.Take(http2ConnCost) {
		c.holder.Close()
		s.limitReached("connections")
		return nil
	}
	s.conns.addHTTP2(1)
	return c
}

// Read implements net.Conn.
func (c *http2Conn) Read(p []byte) (int, error) {
	n, err := copy(p, c.prefix), error(nil)
	c.prefix = c.prefix[n:]
	if n == 0 {
		n, err = c.Conn.Read(p)
	}
	if !c.frames.allow(p[:n], time.Now()) {
		c.server.limitReached("http2_control")
		_ = c.Close()
		return 0, errControlFrames
	}
	if c.frames.heads > 0 && !c.takeHeads() {
		c.server.limitReached("memory")
		_ = c.Close()
		return 0, errNoMemory
	}
	return n, err
}

// takeHeads charges the heads in what was read. net/http parses them before their handlers start, of which many may wait.
func (c *http2Conn) takeHeads() bool {
	heads, cost := c.frames.heads, int64(c.frames.headBytes)*fieldBlockCost
	c.frames.heads, c.frames.headBytes = 0, 0
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || !c.holder.Take(cost) {
		return false
	}
	c.heads += heads
	c.headsCost += cost
	return true
}

// handlerStarted returns the cost of one head. Heads that net/http refuses itself stay charged until the connection ends.
func (c *http2Conn) handlerStarted() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.heads == 0 {
		return
	}
	cost := c.headsCost / int64(c.heads)
	c.heads--
	c.headsCost -= cost
	c.holder.Return(cost)
}

// Close implements net.Conn.
func (c *http2Conn) Close() error {
	c.once.Do(func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.holder.Return(http2ConnCost + c.headsCost)
		c.heads, c.headsCost, c.closed = 0, 0, true
		c.holder.Close()
		c.server.conns.addHTTP2(-1)
	})
	return c.Conn.Close()
}

// http2Key is the key of the connection in the context of an HTTP/2 request.
type http2Key struct{}

// withHolder is the http.Server's ConnContext.
func withHolder(ctx context.Context, c net.Conn) context.Context {
	if h, ok := c.(*http2Conn); ok {
		return context.WithValue(context.WithValue(ctx, holderKey{}, h.holder), http2Key{}, h)
	}
	return ctx
}

// frameCounter limits the rate of control frames in the input of an HTTP/2 connection.
type frameCounter struct {
	// skip is the number of bytes until the next frame header.
	skip   int
	header [9]byte
	have   int
	tokens float64
	last   time.Time
	// heads and headBytes count the heads in the input and their encoded bytes.
	heads, headBytes int
}

// allow scans input and reports whether its control frames are within the limit.
func (f *frameCounter) allow(input []byte, now time.Time) bool {
	f.tokens = min(controlFrames, f.tokens+now.Sub(f.last).Seconds()*controlFramesPerSecond)
	f.last = now
	for len(input) > 0 {
		if f.skip > 0 {
			n := min(f.skip, len(input))
			f.skip -= n
			input = input[n:]
			continue
		}
		n := copy(f.header[f.have:], input)
		f.have += n
		input = input[n:]
		if f.have < len(f.header) {
			return true
		}
		f.have = 0
		f.skip = int(f.header[0])<<16 | int(f.header[1])<<8 | int(f.header[2])
		f.count(f.header[3])
		if f.tokens < 0 {
			return false
		}
	}
	return true
}

// count counts a frame of the given type, whose length is in skip.
func (f *frameCounter) count(kind byte) {
	switch kind {
	case frameHeaders:
		f.heads++
		f.headBytes += f.skip
	case frameContinuation:
		f.headBytes += f.skip
	}
	if isControl(kind, f.skip) {
		f.tokens--
	}
}

// isControl reports whether a frame of this type and length carries nothing of a request: PRIORITY, SETTINGS, PING, CONTINUATION and
// empty DATA frames (RFC 9113, sections 6 and 10.5).
func isControl(kind byte, length int) bool {
	switch kind {
	case framePriority, frameSettings, framePing, frameContinuation:
		return true
	default:
		return kind == frameData && length == 0
	}
}
