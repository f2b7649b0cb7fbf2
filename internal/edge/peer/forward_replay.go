package peer

import (
	"bytes"
	"maps"
	"net/http"
	"sync"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/fleet"
)

const (
	// maxCachedResponseBytes is the size of the largest answer to a keyed order that is kept, in bytes.
	maxCachedResponseBytes = 64 << 10
	// maxResponseCacheBytes bounds all kept answers of a node, in bytes. The oldest are dropped first.
	maxResponseCacheBytes = 8 << 20
	// cachedResponseOverhead is counted for an answer beside its headers and body, in bytes.
	cachedResponseOverhead = 512
)

// cachedResponse is the whole answer of a target to a keyed order.
type cachedResponse struct {
	status int
	header http.Header
	body   []byte
}

// size returns about how much memory the answer takes, in bytes.
func (a cachedResponse) size() int {
	size := cachedResponseOverhead + len(a.body)
	for name, values := range a.header {
		size += len(name)
		for _, value := range values {
			size += len(value)
		}
	}
	return size
}

// responseCache holds the answers to keyed orders, so that an order sent again gets the first one.
type responseCache struct {
	mu          sync.Mutex
	responses   map[fleet.AttemptID]cachedResponse
	oldestFirst []fleet.AttemptID
	size        int
}

func newResponseCache() *responseCache {
	return &responseCache{responses: make(map[fleet.AttemptID]cachedResponse)}
}

func (k *responseCache) add(id fleet.AttemptID, answer cachedResponse) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.responses[id] = answer
	k.oldestFirst = append(k.oldestFirst, id)
	k.size += answer.size()
	for k.size > maxResponseCacheBytes {
		oldest := k.oldestFirst[0]
		k.oldestFirst = k.oldestFirst[1:]
		k.size -= k.responses[oldest].size()
		delete(k.responses, oldest)
	}
}

func (k *responseCache) get(id fleet.AttemptID) (cachedResponse, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	answer, ok := k.responses[id]
	return answer, ok
}

// responseRecorder copies an answer while it is passed on.
type responseRecorder struct {
	http.ResponseWriter
	status   int
	body     bytes.Buffer
	tooLarge bool
}

// Unwrap lets http.ResponseController reach the connection.
func (r *responseRecorder) Unwrap() http.ResponseWriter { return r.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (r *responseRecorder) WriteHeader(status int) {
	r.status = status
	r.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (r *responseRecorder) Write(p []byte) (int, error) {
	r.tooLarge = r.tooLarge || r.body.Len()+len(p) > maxCachedResponseBytes
	if !r.tooLarge {
		r.body.Write(p)
	}
	return r.ResponseWriter.Write(p)
}

// response returns what was passed on so far, unless it is too large to be kept.
func (r *responseRecorder) response() (cachedResponse, bool) {
	if r.tooLarge {
		return cachedResponse{}, false
	}
	return cachedResponse{status: r.status, header: maps.Clone(r.Header()), body: r.body.Bytes()}, true
}

// ReplayResponse carries out effect.ReplayResponse. It does not block.
func (s *Sidecar) ReplayResponse(e effect.ReplayResponse) { s.deliver(e.Attempt, e) }

// recordKeyedResponse returns the writer for an attempt's answer and the function that keeps the whole answer of an order with an
// idempotency key. It is called before the order counts as answered, so that a resend finds the answer.
func (s *Sidecar) recordKeyedResponse(w http.ResponseWriter, attempt fleet.Attempt) (http.ResponseWriter, func()) {
	if attempt.Key == "" {
		return w, func() {}
	}
	recording := &responseRecorder{ResponseWriter: w}
	return recording, func() {
		if answer, ok := recording.response(); ok {
			s.responses.add(attempt.ID, answer)
		}
	}
}

// writeReplay answers an attempt with the answer to an earlier one.
func (s *Sidecar) writeReplay(w http.ResponseWriter, e effect.ReplayResponse) {
	answer, ok := s.responses.get(e.Original)
	if !ok {
		problem := fleet.NewProblem(fleet.KeyConflict, fleet.Ran, "the order ran before; its answer is no longer kept")
		writeRefusal(w, http.StatusConflict, e.Attempt, problem)
		return
	}
	maps.Copy(w.Header(), answer.header)
	w.Header().Set(headerEcho, echoValue(e.Attempt))
	w.WriteHeader(answer.status)
	if _, err := w.Write(answer.body); err == nil {
		w.Header().Set(http.TrailerPrefix+headerVerdict, fleet.Ran.String())
	}
}
