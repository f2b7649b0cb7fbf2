package caller

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"sync"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/event"
	"jayfold.dev/jayfold/internal/core/fleet"
)

// maxBuffered is the size up to which an answer is buffered whole before its first byte goes out.
const maxBuffered = 64 << 10

// exchange is one request of a caller from its arrival to its answer.
type exchange struct {
	server   *Server
	request  fleet.Request
	incoming *http.Request
	body     []byte

	// cancels ends the attempts. Only the goroutine of the request uses it.
	cancels map[fleet.AttemptID]context.CancelFunc

	mu      sync.Mutex
	answers map[fleet.AttemptID]answer
	closed  bool
}

// answer is a target's answer: the part that is buffered, and the rest when it is longer.
type answer struct {
	response *http.Response
	buffered []byte
	whole    bool
}

// serve handles one request of a caller.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	body, err := s.readBody(w, r)
	if err != nil {
		s.protocol.Refuse(w, s.seams.NewRequestID(), problemOf(err))
		return
	}
	request, err := s.protocol.Decode(r, body)
	if err != nil {
		s.protocol.Refuse(w, s.seams.NewRequestID(), problemOf(err))
		return
	}
	request, effects := s.register(request)
	defer s.unregister(request.ID)
	x := &exchange{
		server:   s,
		request:  request,
		incoming: r,
		body:     body,
		cancels:  make(map[fleet.AttemptID]context.CancelFunc),
		answers:  make(map[fleet.AttemptID]answer),
	}
	defer x.close()
	s.seams.Post(event.RequestArrived{Request: request})
	x.wait(w, effects)
}

// wait carries out the effects that name the request until one of them ends it.
func (x *exchange) wait(w http.ResponseWriter, effects <-chan effect.Effect) {
	for {
		select {
		case <-x.incoming.Context().Done():
			x.server.seams.Post(event.RequestCanceled{Request: x.request.ID})
			return
		case e := <-effects:
			switch e := e.(type) {
			case effect.ForwardAttempt:
				x.start(e)
			case effect.CancelAttempt:
				x.abandon(e.Attempt)
			case effect.RefuseRequest:
				x.server.protocol.Refuse(w, x.request.ID, e.Problem)
				return
			case effect.RelayResponse:
				x.answer(w, e.Attempt)
				return
			}
		}
	}
}

func (x *exchange) start(forward effect.ForwardAttempt) {
	ctx, cancel := context.WithCancel(context.WithoutCancel(x.incoming.Context()))
	x.cancels[forward.Attempt.ID] = cancel
	go x.attempt(ctx, forward)
}

func (x *exchange) abandon(id fleet.AttemptID) {
	if cancel, ok := x.cancels[id]; ok {
		cancel()
	}
}

// attempt forwards the request once and posts how that ended.
func (x *exchange) attempt(ctx context.Context, forward effect.ForwardAttempt) {
	seams := x.server.seams
	started := seams.Now()
	response, report, err := seams.Forward(ctx, forward, x.incoming, x.body)
	var outcome fleet.Outcome
	if err == nil {
		outcome, err = x.receive(forward.Attempt.ID, response)
	}
	if err != nil {
		outcome = fleet.Outcome{Problem: fleet.Some(problemOf(err))}
	}
	outcome.Duration = seams.Now().Sub(started)
	seams.Post(event.AttemptFinished{Attempt: forward.Attempt.ID, Outcome: outcome, Report: report()})
}

// receive buffers the start of an answer and keeps it until the reducer decides. A server error of the target is a
// problem that comes with an answer.
func (x *exchange) receive(id fleet.AttemptID, response *http.Response) (fleet.Outcome, error) {
	buffered, err := io.ReadAll(io.LimitReader(response.Body, maxBuffered+1))
	if err != nil {
		_ = response.Body.Close()
		return fleet.Outcome{}, err
	}
	whole := len(buffered) <= maxBuffered
	if whole {
		_ = response.Body.Close()
	}
	x.keep(id, answer{response: response, buffered: buffered, whole: whole})
	outcome := fleet.Outcome{Status: response.StatusCode}
	if response.StatusCode >= http.StatusInternalServerError {
		outcome.Problem = fleet.Some(fleet.NewProblem(fleet.TargetFailed, fleet.Ran, response.Status))
	}
	return outcome, nil
}

func (x *exchange) keep(id fleet.AttemptID, a answer) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.closed {
		_ = a.response.Body.Close()
		return
	}
	x.answers[id] = a
}

// answer passes the answer of an attempt on to the caller. The caller's connection is aborted when the rest of a long
// answer breaks, so that a truncated answer never looks whole.
func (x *exchange) answer(w http.ResponseWriter, id fleet.AttemptID) {
	x.mu.Lock()
	a, ok := x.answers[id]
	x.mu.Unlock()
	if !ok {
		x.server.protocol.Refuse(w, x.request.ID, fleet.NewProblem(fleet.Broken, fleet.MayHaveRun, "the answer is gone"))
		return
	}
	header := w.Header()
	for name, values := range a.response.Header {
		header[name] = values
	}
	x.server.protocol.SetHeaders(header, x.request.ID, fleet.Ran)
	if x.server.leaving.Load() {
		// A caller that sends its next request on a connection while it is being closed would get no answer.
		header.Set("Connection", "close")
	}
	w.WriteHeader(a.response.StatusCode)
	if _, err := io.Copy(w, bytes.NewReader(a.buffered)); err != nil {
		return
	}
	if !a.whole {
		x.stream(w, a.response.Body)
	}
}

// stream copies the rest of a long answer as it comes.
func (x *exchange) stream(w http.ResponseWriter, rest io.Reader) {
	control := http.NewResponseController(w)
	buffer := make([]byte, 32<<10)
	for {
		n, err := rest.Read(buffer)
		if n > 0 {
			if _, cut := w.Write(buffer[:n]); cut != nil {
				return
			}
		}
		if errors.Is(err, io.EOF) {
			return
		}
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		_ = control.Flush()
	}
}

// close ends all attempts and drops their answers.
func (x *exchange) close() {
	for _, cancel := range x.cancels {
		cancel()
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.closed = true
	for _, a := range x.answers {
		_ = a.response.Body.Close()
	}
}
