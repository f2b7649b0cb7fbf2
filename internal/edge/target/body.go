package target

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/textproto"
	"time"

	"jayfold.dev/jayfold/internal/core/fleet"
	"jayfold.dev/jayfold/internal/edge/httpresponse"
)

// writeEndTimeout bounds the wait for the goroutine that writes the request to note its end, after the target has ended the connection.
// A target that has read the whole request can end its response before this goroutine runs again on a busy host.
const writeEndTimeout = 250 * time.Millisecond

var (
	errUncleanEnd = errors.New("the connection ended before the whole request was received, or with a failure")
	errBadTrailer = errors.New("the trailer is malformed")
)

// responseBody is the body of a target's response. It converts read errors to problems and releases the connection at the end.
type responseBody struct {
	exchange *exchange
	response *http.Response
	body     io.ReadCloser
	// ended is the error that ended the body, io.EOF included. The state of the connection is known only until its end.
	ended error
}

// Read implements io.Reader.
func (b *responseBody) Read(p []byte) (int, error) {
	if b.ended != nil {
		return 0, b.ended
	}
	n, err := b.read(p)
	b.ended = err
	return n, err
}

func (b *responseBody) read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	switch {
	case err == nil:
		return n, nil
	case errors.Is(err, io.EOF) && (!b.endsWithConnection() || b.exchange.endedCleanly()):
		b.exchange.end(b.reusable())
		return n, io.EOF
	case errors.Is(err, io.EOF):
		err = errUncleanEnd
	}
	err = b.exchange.contextErrorOr(err)
	b.exchange.end(false)
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		return n, fleet.NewProblem(fleet.DeadlinePassed, fleet.MayHaveRun, "the deadline passed during the response")
	case errors.Is(err, context.Canceled):
		return n, fleet.NewProblem(fleet.Canceled, fleet.MayHaveRun, "the run was canceled during the response")
	default:
		return n, fleet.NewProblem(fleet.Broken, fleet.MayHaveRun, "the connection failed during the response: "+withoutContent(err).Error())
	}
}

// withoutContent returns a read error without the lines of the trailer that net/http quotes. They must not be logged.
func withoutContent(err error) error {
	if _, quoted := errors.AsType[textproto.ProtocolError](err); quoted {
		return errBadTrailer
	}
	return err
}

// reusable reports whether the connection can be used for another request after this response. A target that responded before
// it had read the whole request would read the rest of it as the next request.
func (b *responseBody) reusable() bool {
	return !b.response.Close && !b.announcesBody() && b.exchange.isIdentified(b.response) && b.exchange.wroteAll.Load() &&
		b.exchange.conn.reader.Buffered() == 0
}

// announcesBody reports whether a response that has no body by its status tells the length of one. The target may send these bytes later,
// when they would be taken for the response to the next request.
func (b *responseBody) announcesBody() bool {
	if b.response.StatusCode != http.StatusNoContent {
		return false
	}
	length := b.response.Header.Get("Content-Length")
	return len(b.response.TransferEncoding) > 0 || length != "" && length != "0"
}

// Close implements io.Closer. It closes the connection unless the response has been read to its end.
func (b *responseBody) Close() error {
	b.exchange.end(false)
	return nil
}

// endsWithConnection reports whether nothing but the end of the connection ends the body. A response to HEAD has no body even if it tells
// no length.
func (b *responseBody) endsWithConnection() bool {
	return b.body != http.NoBody && b.response.ContentLength < 0 && len(b.response.TransferEncoding) == 0
}

// endedCleanly reports whether the target has ended the connection after it had received the whole request, and nothing has failed.
func (e *exchange) endedCleanly() bool {
	limit := time.NewTimer(writeEndTimeout)
	defer limit.Stop()
	select {
	case <-e.writeEnded:
	case <-limit.C:
	case <-e.ctx.Done():
	}
	return e.wroteAll.Load() && httpresponse.EndedCleanly(e.conn.Conn)
}
