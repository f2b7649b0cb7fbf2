package target

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"jayfold.dev/jayfold/internal/core/fleet"
	"jayfold.dev/jayfold/internal/edge/recovery"
)

const (
	// maxMismatchedResponses is the number of mismatched responses after which the connection is closed and the request fails.
	maxMismatchedResponses = 4
	// maxDiscardedBytes bounds what is read of the body of a mismatched response to get to the next response.
	maxDiscardedBytes = 64 << 10
	// maxBufferedBodyBytes is the size of a body that fits in the buffers of a connection, so that writing it never blocks.
	maxBufferedBodyBytes = 2 << 10
)

var errMismatched = errors.New("the connection returned responses to other requests")

// exchange is one request on a connection to a target and its response.
type exchange struct {
	ctx    context.Context
	cancel context.CancelFunc
	conn   *conn
	// recovery contains panics of the goroutine that writes the request.
	recovery *recovery.Boundary
	// stopCloseOnDone stops the function that closes the connection when ctx is done. It returns false if that function
	// has already started.
	stopCloseOnDone func() bool
	// isIdentified reports whether a response names its request.
	isIdentified func(response *http.Response) bool
	// wroteAny is true if a write of the request to the connection has begun.
	wroteAny atomic.Bool
	// wroteAll is true if the whole request has been written.
	wroteAll atomic.Bool
	// socketReset is true if a write has failed because the target has reset the connection.
	socketReset atomic.Bool
	// writeEnded is closed when the write of the request has ended.
	writeEnded chan struct{}
	ended      atomic.Bool
}

func newExchange(ctx context.Context, cancel context.CancelFunc, c *conn, boundary *recovery.Boundary) *exchange {
	e := &exchange{ctx: ctx, cancel: cancel, conn: c, recovery: boundary, writeEnded: make(chan struct{})}
	e.stopCloseOnDone = context.AfterFunc(ctx, boundary.Func("close connection", func() { _ = c.Close() }))
	return e
}

// roundTrip writes the request and reads the headers of its response, which may arrive before the request is written. It
// skips the responses for which isMismatched returns true.
func (e *exchange) roundTrip(
	request *http.Request, isMismatched func(response *http.Response, reused bool) bool,
) (*http.Response, error) {
	reused := !e.conn.lastResponse.IsZero()
	if request.ContentLength >= 0 && request.ContentLength <= maxBufferedBodyBytes {
		e.write(request)
	} else {
		e.recovery.Go("write request", func() { e.write(request) }, func() { _ = e.conn.Close() })
	}
	for range maxMismatchedResponses {
		response, err := e.conn.reader.ReadResponse(request)
		if err != nil {
			return nil, e.contextErrorOr(err)
		}
		if !isMismatched(response, reused) {
			e.conn.keepAlive = parseKeepAlive(response.Header)
			response.Body = &responseBody{exchange: e, response: response, body: response.Body}
			return response, nil
		}
		if !drain(response.Body) || response.Close {
			return nil, errMismatched
		}
		reused = true
	}
	return nil, errMismatched
}

// write writes the request. If it fails, the connection is closed, so that the error appears as a read error, unless the target has reset
// the connection: a read then returns without waiting, and the target may have sent its whole response before.
func (e *exchange) write(request *http.Request) {
	defer close(e.writeEnded)
	switch err := request.Write(trackingWriter{e}); {
	case err == nil:
		e.wroteAll.Store(true)
	case !e.socketReset.Load():
		_ = e.conn.Close()
	}
}

// trackingWriter sets wroteAny before each write, and socketReset after one that fails because of a reset.
type trackingWriter struct{ *exchange }

// Write implements io.Writer.
func (w trackingWriter) Write(p []byte) (int, error) {
	w.wroteAny.Store(true)
	n, err := w.conn.Write(p)
	if errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) {
		w.socketReset.Store(true)
	}
	return n, err
}

// contextErrorOr returns the error of ctx if ctx is done, since this closes the connection and makes reads fail, and otherwise
// err.
func (e *exchange) contextErrorOr(err error) error {
	if e.ctx.Err() != nil {
		return e.ctx.Err()
	}
	return err
}

// abort ends a request without a response and returns its verdict. Nothing is written after the connection is closed, so a
// request of which nothing was written by then did not run.
func (e *exchange) abort() fleet.Verdict {
	_ = e.conn.Close()
	verdict := fleet.NotRun
	if e.wroteAny.Load() {
		verdict = fleet.MayHaveRun
	}
	e.end(false)
	return verdict
}

// drain reads up to maxDiscardedBytes of a body and reports whether it reached the end of the body.
func drain(body io.Reader) bool {
	_, err := io.CopyN(io.Discard, body, maxDiscardedBytes)
	return errors.Is(err, io.EOF)
}

// end releases the connection. Only the first call has an effect.
func (e *exchange) end(reusable bool) {
	if e.ended.Swap(true) {
		return
	}
	stopped := e.stopCloseOnDone()
	e.cancel()
	e.conn.endpoint.release(e.conn, reusable && stopped)
}

// parseKeepAlive returns the timeout in the Keep-Alive header, and 0 if there is none.
func parseKeepAlive(header http.Header) time.Duration {
	for field := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return time.Duration(seconds) * time.Second
		}
	}
	return 0
}
