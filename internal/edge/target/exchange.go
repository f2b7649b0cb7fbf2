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
)

const (
	// maxMismatched bounds the responses to other requests that are passed over on one connection.
	maxMismatched = 4
	// maxDiscardedBytes bounds what is read of a response that nobody wants, in bytes, so that its connection can be used again.
	maxDiscardedBytes = 64 << 10
	// maxBufferedBodyBytes is the size in bytes of a body that the buffers of a connection take whole, so that writing it never
	// waits for the target.
	maxBufferedBodyBytes = 2 << 10
)

var (
	errMismatched        = errors.New("the connection carries the responses to other requests")
	errSwitchedProtocols = errors.New("the target switched protocols without being asked")
)

// exchange is one request on a connection to a target, up to the end of its response.
type exchange struct {
	ctx    context.Context
	cancel context.CancelFunc
	conn   *conn
	// stopWatch ends the watch of ctx, which closes the connection.
	stopWatch func() bool
	// wroteAny means that some of the request was handed to the connection.
	wroteAny atomic.Bool
	// wroteAll means that all of it was.
	wroteAll atomic.Bool
	ended    atomic.Bool
}

func newExchange(ctx context.Context, cancel context.CancelFunc, c *conn) *exchange {
	s := &exchange{ctx: ctx, cancel: cancel, conn: c}
	s.stopWatch = context.AfterFunc(ctx, func() { _ = c.Close() })
	return s
}

// roundTrip writes the request and reads the head of its response, which may come before the request is written. The
// responses that are stray belong to other requests and are passed over.
func (s *exchange) roundTrip(request *http.Request, stray func(*http.Response) bool) (*http.Response, error) {
	if request.ContentLength >= 0 && request.ContentLength <= maxBufferedBodyBytes {
		s.write(request)
	} else {
		go s.write(request)
	}
	for range maxMismatched {
		response, err := s.readResponse(request)
		if err != nil {
			return nil, s.readError(err)
		}
		if !stray(response) {
			s.conn.keepAlive = parseKeepAlive(response.Header)
			response.Body = &responseBody{exchange: s, response: response, body: response.Body}
			return response, nil
		}
		if !drain(response.Body) || response.Close {
			return nil, errMismatched
		}
	}
	return nil, errMismatched
}

// write sends the request. Write errors show as read errors, since a failed write closes the connection.
func (s *exchange) write(request *http.Request) {
	err := request.Write(trackingWriter{s})
	if err != nil {
		_ = s.conn.Close()
		return
	}
	s.wroteAll.Store(true)
}

// trackingWriter notes the first write before it starts.
type trackingWriter struct{ *exchange }

// Write implements io.Writer.
func (w trackingWriter) Write(p []byte) (int, error) {
	w.wroteAny.Store(true)
	return w.conn.Write(p)
}

// readResponse reads the readResponse of the next response that is not merely informational.
func (s *exchange) readResponse(request *http.Request) (*http.Response, error) {
	for {
		response, err := http.ReadResponse(s.conn.reader, request)
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

// readError returns why reading failed: the end of ctx, which closes the connection, or the connection itself.
func (s *exchange) readError(err error) error {
	if s.ctx.Err() != nil {
		return s.ctx.Err()
	}
	return err
}

// abort ends a request without a response and says whether it may have run. Once the connection is closed nothing more
// is written, so that a request of which nothing was written by then was not run.
func (s *exchange) abort() fleet.Verdict {
	_ = s.conn.Close()
	verdict := fleet.NotRun
	if s.wroteAny.Load() {
		verdict = fleet.MayHaveRun
	}
	s.end(false)
	return verdict
}

// discard reads the rest of a response that nobody wants.
func (s *exchange) discard(response *http.Response) {
	drain(response.Body)
	_ = response.Body.Close()
}

// drain reads a short body to its end, and reports whether that came.
func drain(body io.Reader) bool {
	_, err := io.CopyN(io.Discard, body, maxDiscardedBytes)
	return errors.Is(err, io.EOF)
}

// end gives the connection back.
func (s *exchange) end(reusable bool) {
	if s.ended.Swap(true) {
		return
	}
	stopped := s.stopWatch()
	s.cancel()
	s.conn.endpoint.release(s.conn, reusable && stopped)
}

// parseKeepAlive returns how long the target keeps an idle connection, and 0 when it does not say.
func parseKeepAlive(header http.Header) time.Duration {
	for field := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return time.Duration(seconds) * time.Second
		}
	}
	return 0
}

// responseBody is the body of a target's response. It turns the errors of reading into problems and gives the connection
// back at the end.
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
	err = b.exchange.readError(err)
	b.exchange.end(false)
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		return n, fleet.NewProblem(fleet.DeadlinePassed, fleet.MayHaveRun, "the deadline passed during the response")
	case errors.Is(err, context.Canceled):
		return n, fleet.NewProblem(fleet.Canceled, fleet.MayHaveRun, "the run was canceled during the response")
	default:
		return n, fleet.NewProblem(fleet.Broken, fleet.MayHaveRun, "the response broke off: "+err.Error())
	}
}

// reusable reports whether the connection can carry another request after this response. A target that answered before it
// had read the whole request would take the rest of it for the next one.
func (b *responseBody) reusable() bool {
	return !b.response.Close && b.exchange.wroteAll.Load() && b.exchange.conn.reader.Buffered() == 0
}

// Close implements io.Closer. It ends the run; a response that was not read to its end costs the connection.
func (b *responseBody) Close() error {
	b.exchange.end(false)
	return nil
}
