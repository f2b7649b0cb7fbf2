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
	// maxCachedResponseBytes is the size of the largest response body that is cached for an order with an idempotency key.
	maxCachedResponseBytes = 64 << 10
	// maxResponseCacheBytes bounds the total size of a node's cached responses. The oldest are evicted first.
	maxResponseCacheBytes = 8 << 20
	// cachedResponseOverhead is added to the size of a response's headers and body, in bytes.
	cachedResponseOverhead = 512
)

// cachedResponse is a target's complete response to an order with an idempotency key.
type cachedResponse struct {
	status int
	header http.Header
	body   []byte
}

// size returns the approximate memory use of the response in bytes.
func (r cachedResponse) size() int {
	size := cachedResponseOverhead + len(r.body)
	for name, values := range r.header {
		size += len(name)
		for _, value := range values {
			size += len(value)
		}
	}
	return size
}

// responseCache holds the responses to orders with an idempotency key, so that an order sent again gets the first response.
type responseCache struct {
	mu          sync.Mutex
	responses   map[fleet.AttemptID]cachedResponse
	oldestFirst []fleet.AttemptID
	size        int
}

func newResponseCache() *responseCache {
	return &responseCache{responses: make(map[fleet.AttemptID]cachedResponse)}
}

func (c *responseCache) add(id fleet.AttemptID, response cachedResponse) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.responses[id] = response
	c.oldestFirst = append(c.oldestFirst, id)
	c.size += response.size()
	for c.size > maxResponseCacheBytes {
		oldest := c.oldestFirst[0]
		c.oldestFirst = c.oldestFirst[1:]
		c.size -= c.responses[oldest].size()
		delete(c.responses, oldest)
	}
}

func (c *responseCache) get(id fleet.AttemptID) (cachedResponse, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	response, ok := c.responses[id]
	return response, ok
}

// responseRecorder copies a response while it is written.
type responseRecorder struct {
	http.ResponseWriter
	status   int
	body     bytes.Buffer
	tooLarge bool
}

// Unwrap gives http.ResponseController access to the underlying writer.
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

// response returns what has been written so far. It returns false if that is too large for the cache.
func (r *responseRecorder) response() (cachedResponse, bool) {
	if r.tooLarge {
		return cachedResponse{}, false
	}
	return cachedResponse{status: r.status, header: maps.Clone(r.Header()), body: r.body.Bytes()}, true
}

// ReplayResponse executes effect.ReplayResponse. It does not block.
func (s *Sidecar) ReplayResponse(e effect.ReplayResponse) { s.deliver(e.Attempt, e) }

// recordKeyedResponse returns the writer for an attempt's response and a function that caches the complete response of an order
// with an idempotency key. The function must be called before event.RunFinished is posted, so that a resent order finds the
// response.
func (s *Sidecar) recordKeyedResponse(w http.ResponseWriter, attempt fleet.Attempt) (http.ResponseWriter, func()) {
	if attempt.Key == "" {
		return w, func() {}
	}
	recording := &responseRecorder{ResponseWriter: w}
	return recording, func() {
		if response, ok := recording.response(); ok {
			s.responses.add(attempt.ID, response)
		}
	}
}

// writeReplay responds to an attempt with the cached response to an earlier one.
func (s *Sidecar) writeReplay(w http.ResponseWriter, e effect.ReplayResponse) {
	response, ok := s.responses.get(e.Original)
	if !ok {
		problem := fleet.NewProblem(fleet.KeyConflict, fleet.Ran, "the order ran before; its response is no longer cached")
		writeRefusal(w, http.StatusConflict, e.Attempt, problem)
		return
	}
	maps.Copy(w.Header(), response.header)
	w.Header().Set(headerEcho, echoValue(e.Attempt))
	w.WriteHeader(response.status)
	if _, err := w.Write(response.body); err == nil {
		w.Header().Set(http.TrailerPrefix+headerVerdict, fleet.Ran.String())
	}
}
