package peer

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/event"
	"jayfold.dev/jayfold/internal/core/fleet"
)

// countingBody counts the bytes that are read of a body.
type countingBody struct {
	io.ReadCloser
	read *atomic.Int64
}

// Read implements io.Reader.
func (b countingBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.read.Add(int64(n))
	return n, err
}

// TestEndlessResponseToSlowCaller guards against a faulty target that sends a body without end while the caller does not read: the two
// nodes would hold several megabytes for each such request, and run out of memory.
func TestEndlessResponseToSlowCaller(t *testing.T) {
	const maxHeld = 512 << 10
	is, h := is.New(t), newHarness(t)
	var read atomic.Int64
	run := h.sidecar.seams.Run
	h.sidecar.seams.Run = func(ctx context.Context, e effect.StartRun, r *http.Request) (*http.Response, error) {
		response, err := run(ctx, e, r)
		if err == nil {
			response.Body = countingBody{response.Body, &read}
		}
		return response, err
	}
	h.target = func(w http.ResponseWriter, _ *http.Request) {
		for _, err := w.Write(make([]byte, 32<<10)); err == nil; {
			_, err = w.Write(make([]byte, 32<<10))
		}
	}
	r := httptest.NewRequest(http.MethodGet, "http://shop.example/x", nil)
	response, _, err := h.forwarder.Forward(t.Context(), effect.ForwardAttempt{Attempt: h.attempt()}, r, nil)
	is.NoErr(err)
	defer func() { _ = response.Body.Close() }()
	time.Sleep(time.Second)
	is.True(read.Load() > maxHeldBytes)
	is.True(read.Load() < maxHeld)
}

// TestQueuedBodiesLeaveRoom guards against queued requests with large bodies that use up the window of the connection between two nodes,
// so that the body of a request that runs cannot arrive.
func TestQueuedBodiesLeaveRoom(t *testing.T) {
	const bodyBytes = 2 << 20
	is, h := is.New(t), newHarness(t)
	queued := make(chan fleet.AttemptID, 3)
	h.decide = func(s *Sidecar, body event.Body) {
		if e, ok := body.(event.AdmissionRequested); ok && e.Attempt.ID != "running.1" {
			queued <- e.Attempt.ID
			return
		}
		admitAll(s, body)
	}
	h.target = func(w http.ResponseWriter, r *http.Request) {
		n, _ := io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(w, map[bool]string{true: "complete", false: "cut"}[n == bodyBytes])
	}
	content := strings.Repeat("x", bodyBytes)
	for _, id := range []fleet.AttemptID{"a.1", "b.1", "c.1"} {
		attempt := h.attempt()
		attempt.ID = id
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go h.send(ctx, attempt, http.MethodPost, content)
		<-queued
	}
	time.Sleep(100 * time.Millisecond)
	attempt := h.attempt()
	attempt.ID = "running.1"
	got := h.send(t.Context(), attempt, http.MethodPost, content)
	is.NoErr(got.err)
	is.Equal(got.body, "complete")
}
