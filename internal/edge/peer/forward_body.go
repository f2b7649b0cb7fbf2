package peer

import (
	"errors"
	"io"
	"net/http"
	"sync"

	"jayfold.dev/jayfold/internal/core/fleet"
)

// responseBody is the body of a response from a sidecar. It ends with io.EOF only if the sidecar's trailers are present, which
// mark the response as complete.
type responseBody struct {
	response   *http.Response
	body       io.ReadCloser
	endStream  func()
	onComplete func(fleet.Option[fleet.TargetReport])

	mu       sync.Mutex
	report   fleet.Option[fleet.TargetReport]
	complete bool
}

// Read implements io.Reader. Errors other than io.EOF are of type fleet.Problem.
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	if err == nil {
		return n, nil
	}
	if !errors.Is(err, io.EOF) {
		return n, fleet.NewProblem(fleet.Broken, fleet.MayHaveRun, err.Error())
	}
	if b.isComplete() || b.readTrailer(b.response.Trailer) {
		return n, io.EOF
	}
	return n, fleet.NewProblem(fleet.Broken, fleet.MayHaveRun, "the response is truncated: its trailers are missing")
}

// Close implements io.Closer. It ends the attempt's stream.
func (b *responseBody) Close() error {
	err := b.body.Close()
	b.endStream()
	return err
}

func (b *responseBody) isComplete() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.complete
}

// readTrailer stores the report that the trailers hold. It returns false if the trailers are missing.
func (b *responseBody) readTrailer(trailer http.Header) bool {
	if trailer.Get(headerVerdict) == "" {
		return false
	}
	report := decodeReport(trailer)
	b.mu.Lock()
	b.report, b.complete = report, true
	b.mu.Unlock()
	b.onComplete(report)
	return true
}

func (b *responseBody) targetReport() fleet.Option[fleet.TargetReport] {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.report
}
