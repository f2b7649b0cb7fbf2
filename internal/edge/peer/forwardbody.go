package peer

import (
	"errors"
	"io"
	"net/http"
	"sync"

	"jayfold.dev/jayfold/internal/core/fleet"
)

// answerBody is the body of an answer. It ends with io.EOF only when the sidecar's trailers say that it is whole.
type answerBody struct {
	response *http.Response
	body     io.ReadCloser
	end      func()
	ended    func(fleet.Option[fleet.TargetReport])

	mu     sync.Mutex
	report fleet.Option[fleet.TargetReport]
	done   bool
}

// Read implements io.Reader. Errors other than io.EOF are fleet.Problem.
func (a *answerBody) Read(p []byte) (int, error) {
	n, err := a.body.Read(p)
	if err == nil {
		return n, nil
	}
	if !errors.Is(err, io.EOF) {
		return n, fleet.NewProblem(fleet.Broken, fleet.MayHaveRun, err.Error())
	}
	if a.finished() || a.finish(a.response.Trailer) {
		return n, io.EOF
	}
	return n, fleet.NewProblem(fleet.Broken, fleet.MayHaveRun, "the answer is truncated: its trailers are missing")
}

// Close implements io.Closer. It ends the attempt's stream.
func (a *answerBody) Close() error {
	err := a.body.Close()
	a.end()
	return err
}

func (a *answerBody) finished() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.done
}

// finish takes the report from the trailers, and reports whether they are there.
func (a *answerBody) finish(trailer http.Header) bool {
	if trailer.Get(headerVerdict) == "" {
		return false
	}
	report := decodeReport(trailer)
	a.mu.Lock()
	a.report, a.done = report, true
	a.mu.Unlock()
	a.ended(report)
	return true
}

func (a *answerBody) reported() fleet.Option[fleet.TargetReport] {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.report
}
