package target

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
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

var (
	errMismatched        = errors.New("the connection returned responses to other requests")
	errSwitchedProtocols = errors.New("the target switched protocols without a request to do so")
)

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
	ended    atomic.Bool
}

func newExchange(ctx context.Context, cancel context.CancelFunc, c *conn, boundary *recovery.Boundary) *exchange {
	e := &exchange{ctx: ctx, cancel: cancel, conn: c, recovery: boundary}
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
		response, err := e.readResponse(request)
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

// write writes the request. A failed write closes the connection, so its error appears as a read error.
func (e *exchange) write(request *http.Request) {
	err := request.Write(trackingWriter{e})
	if err != nil {
		_ = e.conn.Close()
		return
	}
	e.wroteAll.Store(true)
}

// trackingWriter sets wroteAny before each write.
type trackingWriter struct{ *exchange }

// Write implements io.Writer.
func (w trackingWriter) Write(p []byte) (int, error) {
	w.wroteAny.Store(true)
	return w.conn.Write(p)
}

// readResponse reads the headers of the next response that is not informational.
func (e *exchange) readResponse(request *http.Request) (*http.Response, error) {
	e.conn.head.begin()
	defer e.conn.head.end()
	for {
		response, err := http.ReadResponse(e.conn.reader, request)
		switch {
		case err != nil:
			return nil, err
		case response.StatusCode == http.StatusSwitchingProtocols:
			return nil, errSwitchedProtocols
		case response.StatusCode >= http.StatusOK:
			return response, nil
		}
	}
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

// responseBody is the body of a target's response. It converts read errors to problems and releases the connection at the end.
type responseBody struct {
	exchange *exchange
	response *http.Response
	body     io.ReadCloser
}

// Read implements io.Reader.
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	switch {
	case err == nil:
		return n, nil
	case errors.Is(err, io.EOF):
		b.exchange.end(b.reusable())
		return n, io.EOF
	}
	err = b.exchange.contextErrorOr(err)
	b.exchange.end(false)
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		return n, fleet.NewProblem(fleet.DeadlinePassed, fleet.MayHaveRun, "the deadline passed during the response")
	case errors.Is(err, context.Canceled):
		return n, fleet.NewProblem(fleet.Canceled, fleet.MayHaveRun, "the run was canceled during the response")
	default:
		return n, fleet.NewProblem(fleet.Broken, fleet.MayHaveRun, "the connection failed during the response: "+err.Error())
	}
}

// reusable reports whether the connection can be used for another request after this response. A target that responded before
// it had read the whole request would read the rest of it as the next request.
func (b *responseBody) reusable() bool {
	return !b.response.Close && b.exchange.isIdentified(b.response) && b.exchange.wroteAll.Load() && b.exchange.conn.reader.Buffered() == 0
}

// Close implements io.Closer. It closes the connection unless the response has been read to its end.
func (b *responseBody) Close() error {
	b.exchange.end(false)
	return nil
}
