package peer

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"jayfold.dev/jayfold/internal/core/fleet"
)

const (
	// bodyStallTimeout bounds the wait for the next bytes of a body while a slot is held for the attempt. An ingress may be suspended
	// or lose power before it has sent them. A round trip between regions takes 110 ms.
	bodyStallTimeout = 500 * time.Millisecond
	// maxHeldBytes is the size up to which a body is held completely, that of a request before its first byte is sent to the target
	// and that of a response before its first byte is sent to the ingress.
	maxHeldBytes = 64 << 10
)

// errBodyStalled is returned by a read for which the ingress has sent nothing within bodyStallTimeout.
var errBodyStalled = fleet.NewProblem(fleet.BodyStalled, fleet.NotRun, "the ingress sent no more of the body within the timeout")

// ingressBody is the body of an attempt as the ingress sends it. A read fails when no bytes have arrived for the timeout.
type ingressBody struct {
	io.ReadCloser
	// length is the length of the body in bytes; -1 if it is unknown.
	length  int64
	timeout time.Duration
	// interrupt ends a pending read.
	interrupt func()
	stalled   atomic.Bool
}

func newIngressBody(w http.ResponseWriter, r *http.Request, timeout time.Duration) *ingressBody {
	control := http.NewResponseController(w)
	return &ingressBody{
		ReadCloser: r.Body,
		length:     r.ContentLength,
		timeout:    timeout,
		interrupt:  func() { _ = control.SetReadDeadline(time.Now()) },
	}
}

// Read implements io.Reader.
func (b *ingressBody) Read(p []byte) (int, error) {
	timer := time.AfterFunc(b.timeout, func() {
		b.stalled.Store(true)
		b.interrupt()
	})
	defer timer.Stop()
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return n, errBodyStalled
	}
	return n, err
}

// hold reads the start of the body, up to maxHeldBytes, so that nothing is sent to the target if the body stalls there. It returns
// a reader of the whole body.
func (b *ingressBody) hold() (io.ReadCloser, error) {
	if b.length == 0 {
		return http.NoBody, nil
	}
	held, err := io.ReadAll(io.LimitReader(b, maxHeldBytes))
	if err != nil {
		return nil, err
	}
	if int64(len(held)) == b.length {
		return io.NopCloser(bytes.NewReader(held)), nil
	}
	return heldReader{Reader: io.MultiReader(bytes.NewReader(held), b), Closer: b}, nil
}

// withStall sets the cause of the problem of a run that failed because the body stalled.
func (b *ingressBody) withStall(problem fleet.Problem) fleet.Problem {
	if b.stalled.Load() {
		problem.Cause = fleet.BodyStalled
	}
	return problem
}

// heldReader is a body of which the start is held.
type heldReader struct {
	io.Reader
	io.Closer
}
