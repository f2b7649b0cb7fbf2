package caller

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// bufferedResponseBytes is the size up to which a body without a length gets one instead of chunks.
	bufferedResponseBytes = 2 << 10
	outputBytes           = 4 << 10
)

var (
	bodyBuffers = sync.Pool{New: func() any { return new([bufferedResponseBytes]byte) }}
	outputs     = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, outputBytes) }}
)

var errConnFailed = errors.New("the connection of the caller has failed")

// response is one request on a connection and its http.ResponseWriter. The handler's goroutine uses it; the fields of the queue belong
// to the connection.
type response struct {
	conn    *conn
	request *http.Request
	body    *requestBody
	// concurrent is true if the request may run beside others of its connection. last is true if no further request follows it.
	concurrent bool
	last       bool
	// wait is true if there is no memory to hold the response back. cost is the memory that the request holds.
	wait bool
	cost int64
	// turn is closed when all responses before this one are written; nil if there were none.
	turn chan struct{}
	// begun is true once the head of the response has been decided. conn.mu guards it.
	begun bool

	header http.Header
	status int
	// declared is the length that the handler has set, or -1. written counts the bytes of the body.
	declared, written int64
	buffer            *[bufferedResponseBytes]byte
	buffered          int
	output            *bufio.Writer
	chunks            io.WriteCloser
	aborted           bool
}

func newResponseFor(c *conn, r *http.Request, body *requestBody) *response {
	keepAlive := r.ProtoAtLeast(1, 1) && !r.Close
	if !r.ProtoAtLeast(1, 1) {
		keepAlive = strings.EqualFold(r.Header.Get("Connection"), "keep-alive")
	}
	get := r.Method == http.MethodGet || r.Method == http.MethodHead
	return &response{
		conn: c, request: r, body: body, header: make(http.Header), declared: -1,
		concurrent: get && r.ContentLength == 0 && r.ProtoAtLeast(1, 1), last: !keepAlive,
	}
}

func (x *response) serveRequest() { x.conn.server.http.Handler.ServeHTTP(x, x.request) }

// handle runs the handler. It returns false if the handler has aborted the response.
func (x *response) handle(handler func()) (ok bool) {
	defer func() {
		if cause := recover(); cause != nil {
			if err, is := cause.(error); !is || !errors.Is(err, http.ErrAbortHandler) {
				panic(cause)
			}
			ok = false
		}
	}()
	handler()
	return true
}

// Header implements http.ResponseWriter.
func (x *response) Header() http.Header { return x.header }

// WriteHeader implements http.ResponseWriter. Informational responses are not sent.
func (x *response) WriteHeader(status int) {
	if x.status != 0 || status < http.StatusOK {
		return
	}
	x.status = status
	if value := x.header.Get("Content-Length"); value != "" {
		if n, err := strconv.ParseInt(value, 10, 64); err == nil && n >= 0 {
			x.declared = n
		} else {
			x.header.Del("Content-Length")
		}
	}
}

// Write implements http.ResponseWriter. It blocks while responses before this one are not written, unless p fits in the buffer.
func (x *response) Write(p []byte) (int, error) {
	x.WriteHeader(http.StatusOK)
	if !bodyAllowed(x.status) {
		return 0, http.ErrBodyNotAllowed
	}
	x.written += int64(len(p))
	if x.declared >= 0 && x.written > x.declared {
		return 0, http.ErrContentLength
	}
	if x.output == nil && x.buffered+len(p) <= bufferedResponseBytes {
		if x.buffer == nil {
			x.buffer = bodyBuffers.Get().(*[bufferedResponseBytes]byte)
		}
		x.buffered += copy(x.buffer[x.buffered:], p)
		return len(p), nil
	}
	if err := x.start(false, p); err != nil {
		return 0, err
	}
	return x.writeBody(p)
}

// FlushError sends what was written so far.
func (x *response) FlushError() error {
	x.WriteHeader(http.StatusOK)
	if err := x.start(false, nil); err != nil {
		return err
	}
	return x.output.Flush()
}

// SetReadDeadline sets the deadline for the body of the request. It has no effect once the body is read, since the connection's own
// deadline applies then.
func (x *response) SetReadDeadline(deadline time.Time) error {
	if x.body == nil {
		return nil
	}
	select {
	case <-x.body.ended:
		return nil
	default:
		return x.conn.socket.SetReadDeadline(deadline)
	}
}

// start waits for the turn of the response and writes its head and the buffered part of its body. whole is true if nothing follows; next is
// what follows.
func (x *response) start(whole bool, next []byte) error {
	if x.output != nil {
		return nil
	}
	if err := x.waitForTurn(); err != nil {
		return err
	}
	x.output = outputs.Get().(*bufio.Writer)
	x.output.Reset(x.conn)
	if x.buffered == 0 {
		x.writeHead(whole, next)
		return nil
	}
	x.writeHead(whole, x.buffer[:x.buffered])
	_, err := x.writeBody(x.buffer[:x.buffered])
	return err
}

func (x *response) waitForTurn() error {
	if x.turn != nil {
		<-x.turn
		x.turn = nil
	}
	x.conn.mu.Lock()
	defer x.conn.mu.Unlock()
	if x.conn.failed {
		return errConnFailed
	}
	return nil
}

func (x *response) writeBody(p []byte) (int, error) {
	switch {
	case len(p) == 0 || x.request.Method == http.MethodHead:
		return len(p), nil
	case x.chunks != nil:
		return x.chunks.Write(p)
	default:
		return x.output.Write(p)
	}
}

// end completes the response. If ok is false, the handler has aborted it. If the caller has disconnected and nothing was written, there
// is no response, and none must be made up.
func (x *response) end(ok bool) {
	if x.body != nil {
		x.body.end()
	}
	canceled := x.status == 0 && x.conn.ctx.Err() != nil
	short := x.declared >= 0 && x.written < x.declared && x.request.Method != http.MethodHead && bodyAllowed(x.status)
	if !ok || canceled || short {
		x.abort()
	} else {
		x.WriteHeader(http.StatusOK)
		x.finish()
	}
	if x.buffer != nil {
		bodyBuffers.Put(x.buffer)
	}
	if x.output != nil {
		x.output.Reset(nil)
		outputs.Put(x.output)
	}
}

func (x *response) finish() {
	if err := x.start(true, nil); err != nil {
		return
	}
	if x.chunks != nil {
		_ = x.chunks.Close()
		_, _ = x.output.WriteString("\r\n")
	}
	_ = x.output.Flush()
}

// abort resets the connection. If no byte of this response was sent, it closes the connection in order instead, since a reset could
// destroy the responses before it.
func (x *response) abort() {
	x.aborted = true
	if x.waitForTurn() != nil {
		return
	}
	c := x.conn
	c.mu.Lock()
	inOrder := x.output == nil && c.answered
	if inOrder {
		c.closing, c.announced = true, true
	}
	c.mu.Unlock()
	if !inOrder {
		c.fail()
	}
}
