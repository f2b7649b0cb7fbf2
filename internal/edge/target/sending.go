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
	// maxStrays bounds the responses to other requests that are passed over on one connection.
	maxStrays = 4
	// maxDiscarded bounds what is read of a response that nobody wants, in bytes, so that its connection can be used again.
	maxDiscarded = 64 << 10
	// smallRequest is the size in bytes of a body that the buffers of a connection take whole, so that writing it never
	// waits for the target.
	smallRequest = 2 << 10
)

var (
	errStrays    = errors.New("the connection carries the responses to other requests")
	errSwitching = errors.New("the target switched protocols without being asked")
)

// sending is one request on a connection to a target, up to the end of its response.
type sending struct {
	ctx    context.Context
	cancel context.CancelFunc
	conn   *conn
	// stop ends the watch of ctx, which closes the connection.
	stop func() bool
	// wrote means that some of the request was handed to the connection.
	wrote atomic.Bool
	// written means that all of it was.
	written atomic.Bool
	ended   atomic.Bool
}

func newSending(ctx context.Context, cancel context.CancelFunc, c *conn) *sending {
	s := &sending{ctx: ctx, cancel: cancel, conn: c}
	s.stop = context.AfterFunc(ctx, func() { _ = c.Close() })
	return s
}

// roundTrip writes the request and reads the head of its response, which may come before the request is written. The
// responses that are stray belong to other requests and are passed over.
func (s *sending) roundTrip(request *http.Request, stray func(*http.Response) bool) (*http.Response, error) {
	if request.ContentLength >= 0 && request.ContentLength <= smallRequest {
		s.write(request)
	} else {
		go s.write(request)
	}
	for range maxStrays {
		response, err := s.head(request)
		if err != nil {
			return nil, s.cause(err)
		}
		if !stray(response) {
			s.conn.keep = keepAliveOf(response.Header)
			response.Body = &responseBody{sending: s, response: response, body: response.Body}
			return response, nil
		}
		if !drained(response.Body) || response.Close {
			return nil, errStrays
		}
	}
	return nil, errStrays
}

// write sends the request. Write errors show as read errors, since a failed write closes the connection.
func (s *sending) write(request *http.Request) {
	err := request.Write(writer{s})
	if err != nil {
		_ = s.conn.Close()
		return
	}
	s.written.Store(true)
}

// writer notes the first write before it starts.
type writer struct{ *sending }

// Write implements io.Writer.
func (w writer) Write(p []byte) (int, error) {
	w.wrote.Store(true)
	return w.conn.Write(p)
}

// head reads the head of the next response that is not merely informational.
func (s *sending) head(request *http.Request) (*http.Response, error) {
	for {
		response, err := http.ReadResponse(s.conn.reader, request)
		switch {
		case err != nil:
			return nil, err
		case response.StatusCode == http.StatusSwitchingProtocols:
			return nil, errSwitching
		case response.StatusCode >= http.StatusOK:
			return response, nil
		}
	}
}

// cause returns why reading failed: the end of ctx, which closes the connection, or the connection itself.
func (s *sending) cause(err error) error {
	if s.ctx.Err() != nil {
		return s.ctx.Err()
	}
	return err
}

// abort ends a request without a response and says whether it may have run. Once the connection is closed nothing more
// is written, so that a request of which nothing was written by then was not run.
func (s *sending) abort() fleet.Verdict {
	_ = s.conn.Close()
	verdict := fleet.NotRun
	if s.wrote.Load() {
		verdict = fleet.MayHaveRun
	}
	s.end(false)
	return verdict
}

// discard reads the rest of a response that nobody wants.
func (s *sending) discard(response *http.Response) {
	drained(response.Body)
	_ = response.Body.Close()
}

// drained reads a short body to its end, and reports whether that came.
func drained(body io.Reader) bool {
	_, err := io.CopyN(io.Discard, body, maxDiscarded)
	return errors.Is(err, io.EOF)
}

// end gives the connection back.
func (s *sending) end(reusable bool) {
	if s.ended.Swap(true) {
		return
	}
	stopped := s.stop()
	s.cancel()
	s.conn.endpoint.release(s.conn, reusable && stopped)
}

// keepAliveOf returns how long the target keeps an idle connection, and 0 when it does not say.
func keepAliveOf(header http.Header) time.Duration {
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
	sending  *sending
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
		b.sending.end(b.reusable())
		return n, io.EOF
	}
	err = b.sending.cause(err)
	b.sending.end(false)
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
	return !b.response.Close && b.sending.written.Load() && b.sending.conn.reader.Buffered() == 0
}

// Close implements io.Closer. It ends the run; a response that was not read to its end costs the connection.
func (b *responseBody) Close() error {
	b.sending.end(false)
	return nil
}
