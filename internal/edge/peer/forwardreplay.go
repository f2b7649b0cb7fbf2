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
	// maxKeptAnswer is the size of the largest answer to a keyed order that is kept, in bytes.
	maxKeptAnswer = 64 << 10
	// maxKeptAnswers bounds all kept answers of a node, in bytes. The oldest are dropped first.
	maxKeptAnswers = 8 << 20
	// keptOverhead is counted for an answer beside its headers and body, in bytes.
	keptOverhead = 512
)

// keptAnswer is the whole answer of a target to a keyed order.
type keptAnswer struct {
	status int
	header http.Header
	body   []byte
}

// size returns about how much memory the answer takes, in bytes.
func (a keptAnswer) size() int {
	size := keptOverhead + len(a.body)
	for name, values := range a.header {
		size += len(name)
		for _, value := range values {
			size += len(value)
		}
	}
	return size
}

// keptAnswers holds the answers to keyed orders, so that an order sent again gets the first one.
type keptAnswers struct {
	mu      sync.Mutex
	answers map[fleet.AttemptID]keptAnswer
	order   []fleet.AttemptID
	size    int
}

func newKeptAnswers() *keptAnswers {
	return &keptAnswers{answers: make(map[fleet.AttemptID]keptAnswer)}
}

func (k *keptAnswers) keep(id fleet.AttemptID, answer keptAnswer) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.answers[id] = answer
	k.order = append(k.order, id)
	k.size += answer.size()
	for k.size > maxKeptAnswers {
		oldest := k.order[0]
		k.order = k.order[1:]
		k.size -= k.answers[oldest].size()
		delete(k.answers, oldest)
	}
}

func (k *keptAnswers) find(id fleet.AttemptID) (keptAnswer, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	answer, ok := k.answers[id]
	return answer, ok
}

// recorder copies an answer while it is passed on.
type recorder struct {
	http.ResponseWriter
	status int
	body   bytes.Buffer
	large  bool
}

// Unwrap lets http.ResponseController reach the connection.
func (r *recorder) Unwrap() http.ResponseWriter { return r.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (r *recorder) WriteHeader(status int) {
	r.status = status
	r.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (r *recorder) Write(p []byte) (int, error) {
	r.large = r.large || r.body.Len()+len(p) > maxKeptAnswer
	if !r.large {
		r.body.Write(p)
	}
	return r.ResponseWriter.Write(p)
}

// answer returns what was passed on so far, unless it is too large to be kept.
func (r *recorder) answer() (keptAnswer, bool) {
	if r.large {
		return keptAnswer{}, false
	}
	return keptAnswer{status: r.status, header: maps.Clone(r.Header()), body: r.body.Bytes()}, true
}

// ReplayResponse carries out effect.ReplayResponse. It does not block.
func (s *Sidecar) ReplayResponse(e effect.ReplayResponse) { s.deliver(e.Attempt, e) }

// recordKeyed returns the writer for an attempt's answer and the function that keeps the whole answer of an order with an
// idempotency key. It is called before the order counts as answered, so that a resend finds the answer.
func (s *Sidecar) recordKeyed(w http.ResponseWriter, attempt fleet.Attempt) (http.ResponseWriter, func()) {
	if attempt.Key == "" {
		return w, func() {}
	}
	recording := &recorder{ResponseWriter: w}
	return recording, func() {
		if answer, ok := recording.answer(); ok {
			s.answers.keep(attempt.ID, answer)
		}
	}
}

// replay answers an attempt with the answer to an earlier one.
func (s *Sidecar) replay(w http.ResponseWriter, e effect.ReplayResponse) {
	answer, ok := s.answers.find(e.Original)
	if !ok {
		problem := fleet.NewProblem(fleet.KeyConflict, fleet.Ran, "the order ran before; its answer is no longer kept")
		refuse(w, http.StatusConflict, e.Attempt, problem)
		return
	}
	maps.Copy(w.Header(), answer.header)
	w.Header().Set(headerEcho, echoOf(e.Attempt))
	w.WriteHeader(answer.status)
	if _, err := w.Write(answer.body); err == nil {
		w.Header().Set(http.TrailerPrefix+headerVerdict, fleet.Ran.String())
	}
}
