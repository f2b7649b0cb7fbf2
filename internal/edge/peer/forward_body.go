package peer

import (
	"errors"
	"io"
	"net/http"
	"sync"

	"jayfold.dev/jayfold/internal/core/fleet"
)

// responseBody is the body of an answer. It ends with io.EOF only when the sidecar's trailers say that it is whole.
type responseBody struct {
	response   *http.Response
	body       io.ReadCloser
	endStream  func()
	onComplete func(fleet.Option[fleet.TargetReport])

	mu       sync.Mutex
	report   fleet.Option[fleet.TargetReport]
	complete bool
}

// Read implements io.Reader. Errors other than io.EOF are fleet.Problem.
func (a *responseBody) Read(p []byte) (int, error) {
	n, err := a.body.Read(p)
	if err == nil {
		return n, nil
	}
	if !errors.Is(err, io.EOF) {
		return n, fleet.NewProblem(fleet.Broken, fleet.MayHaveRun, err.Error())
	}
	if a.isComplete() || a.readTrailer(a.response.Trailer) {
		return n, io.EOF
	}
	return n, fleet.NewProblem(fleet.Broken, fleet.MayHaveRun, "the answer is truncated: its trailers are missing")
}

// Close implements io.Closer. It ends the attempt's stream.
func (a *responseBody) Close() error {
	err := a.body.Close()
	a.endStream()
	return err
}

func (a *responseBody) isComplete() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.complete
}

// readTrailer takes the report from the trailers, and reports whether they are there.
func (a *responseBody) readTrailer(trailer http.Header) bool {
	if trailer.Get(headerVerdict) == "" {
		return false
	}
	report := decodeReport(trailer)
	a.mu.Lock()
	a.report, a.complete = report, true
	a.mu.Unlock()
	a.onComplete(report)
	return true
}

func (a *responseBody) targetReport() fleet.Option[fleet.TargetReport] {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.report
}
