package peer

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"jayfold.dev/jayfold/internal/core/event"
	"jayfold.dev/jayfold/internal/core/fleet"
)

// windowBytes is the amount of a response that a suspended ingress still receives.
const windowBytes = 16 << 10

// newSuspendedIngress returns the transport of an ingress that receives at most windowBytes of a response that it does not read.
func newSuspendedIngress(t *testing.T) *http.Transport {
	t.Helper()
	transport := &http.Transport{
		Protocols: new(http.Protocols), HTTP2: &http.HTTP2Config{MaxReceiveBufferPerStream: windowBytes},
	}
	transport.Protocols.SetUnencryptedHTTP2(true)
	t.Cleanup(transport.CloseIdleConnections)
	return transport
}

// sendRaw sends an attempt to the sidecar without a forwarder. The response is read when the returned function is called, which
// returns the length of its body and the verdict in its trailers.
func (h *harness) sendRaw(t *testing.T, deadline time.Duration, body io.Reader, length int64) func() (int, string) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+h.address+"/x", body)
	is.New(t).NoErr(err)
	request.ContentLength = length
	attempt := h.attempt().WithIngress("a").WithDeadline(time.Now().Add(deadline))
	encodeAttempt(request.Header, wireAttempt{Attempt: attempt, Revision: 3}, time.Now())
	transport := newSuspendedIngress(t)
	awake, read := make(chan struct{}), make(chan struct{})
	var got int
	var verdict string
	go func() {
		defer close(read)
		response, err := transport.RoundTrip(request)
		if err != nil {
			return
		}
		defer func() { _ = response.Body.Close() }()
		<-awake
		content, _ := io.ReadAll(response.Body)
		got, verdict = len(content), response.Trailer.Get(headerVerdict)
	}()
	readResponse := sync.OnceValues(func() (int, string) {
		close(awake)
		<-read
		return got, verdict
	})
	t.Cleanup(func() { _, _ = readResponse() })
	return readResponse
}

// TestBodyStalls guards against a slot that is held for the body of an order whose ingress is suspended or has lost power. Sound
// targets then get no requests while their nodes refuse those of other nodes as full.
func TestBodyStalls(t *testing.T) {
	const length = 4 * maxHeldBytes
	for name, c := range map[string]struct {
		sent    int
		verdict fleet.Verdict
		// reached is true if the target receives the start of the request.
		reached bool
	}{
		"no byte arrives":                     {0, fleet.NotRun, false},
		"a part arrives":                      {100, fleet.NotRun, false},
		"a part that is not held is missing":  {2 * maxHeldBytes, fleet.MayHaveRun, true},
		"the last byte of the held part only": {maxHeldBytes - 1, fleet.NotRun, false},
	} {
		t.Run(name, func(t *testing.T) {
			is, h := is.New(t), newHarness(t)
			var reached atomic.Bool
			h.target = func(_ http.ResponseWriter, r *http.Request) {
				reached.Store(true)
				_, _ = io.Copy(io.Discard, r.Body)
			}
			stalled, stop := io.Pipe()
			defer func() { _ = stop.Close() }()
			started := time.Now()
			h.sendRaw(t, 30*time.Second, io.MultiReader(strings.NewReader(strings.Repeat("x", c.sent)), stalled), length)
			problem, _ := h.waitForOutcome(t).Problem.Get()
			is.Equal(problem.Cause, fleet.BodyStalled)
			is.Equal(problem.Verdict, c.verdict)
			is.Equal(reached.Load(), c.reached)
			is.True(time.Since(started) < 2*time.Second)
		})
	}
}

// TestSlowBodyArrives guards against a body that is given up although its bytes keep arriving.
func TestSlowBodyArrives(t *testing.T) {
	is, h := is.New(t), newHarness(t)
	var got atomic.Int64
	h.target = func(_ http.ResponseWriter, r *http.Request) {
		n, _ := io.Copy(io.Discard, r.Body)
		got.Store(n)
	}
	body, slow := io.Pipe()
	go func() {
		for range 6 {
			_, _ = slow.Write([]byte("part"))
			time.Sleep(bodyStallTimeout / 4)
		}
		_ = slow.Close()
	}()
	h.sendRaw(t, 30*time.Second, body, 24)
	is.Equal(h.waitForOutcome(t).Verdict(), fleet.Ran)
	is.Equal(got.Load(), int64(24))
}

// TestIngressDoesNotRead guards against a slot that is held for a response which a suspended ingress does not read.
func TestIngressDoesNotRead(t *testing.T) {
	for name, c := range map[string]struct {
		length int
		// chunked is true if the target sends the response without its length.
		chunked  bool
		deadline time.Duration
		verdict  fleet.Verdict
	}{
		"a short response":                  {3 * windowBytes, false, 30 * time.Second, fleet.Ran},
		"a short response without a length": {3 * windowBytes, true, 30 * time.Second, fleet.Ran},
		"a long response":                   {64 << 20, false, 500 * time.Millisecond, fleet.MayHaveRun},
		"a long response without a length":  {64 << 20, true, 500 * time.Millisecond, fleet.MayHaveRun},
	} {
		t.Run(name, func(t *testing.T) {
			is, h := is.New(t), newHarness(t)
			h.target = func(w http.ResponseWriter, _ *http.Request) {
				if !c.chunked {
					w.Header().Set("Content-Length", strconv.Itoa(c.length))
				}
				for range c.length / windowBytes {
					if _, err := w.Write(make([]byte, windowBytes)); err != nil {
						return
					}
				}
			}
			started := time.Now()
			h.sendRaw(t, c.deadline, http.NoBody, 0)
			outcome := h.waitForOutcome(t)
			is.Equal(outcome.Verdict(), c.verdict)
			is.True(time.Since(started) < 2*time.Second)
			h.assertRunFinishedOnce(t)
		})
	}

	t.Run("a short response is read later", func(t *testing.T) {
		is, h := is.New(t), newHarness(t)
		h.target = func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, 2*windowBytes)) }
		readResponse := h.sendRaw(t, 500*time.Millisecond, http.NoBody, 0)
		time.Sleep(time.Second)
		length, verdict := readResponse()
		is.Equal(length, 2*windowBytes)
		is.Equal(verdict, fleet.Ran.String())
	})
}

// assertRunFinishedOnce checks that a run has posted one outcome, also after its handler has ended.
func (h *harness) assertRunFinishedOnce(t *testing.T) {
	t.Helper()
	time.Sleep(2 * releaseDelay)
	h.mu.Lock()
	defer h.mu.Unlock()
	finished := 0
	for _, body := range h.events {
		if _, ok := body.(event.RunFinished); ok {
			finished++
		}
	}
	is.New(t).Equal(finished, 1)
}
