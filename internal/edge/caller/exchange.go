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

// maxBufferedBytes is the size up to which a response body is buffered completely before its first byte is sent.
const maxBufferedBytes = 64 << 10

// exchange is one request of a caller, from its arrival to the end of its response.
type exchange struct {
	server   *Server
	request  fleet.Request
	incoming *http.Request
	body     []byte
	// withoutCredentials is incoming without the headers about client accounts; nil until an attempt is forwarded without them. Only
	// the goroutine of the request uses it.
	withoutCredentials *http.Request

	// endWork records that the response is about to be written.
	endWork func()

	// cancels holds the functions that cancel the attempts. Only the goroutine of the request uses it.
	cancels map[fleet.AttemptID]context.CancelFunc

	mu        sync.Mutex
	responses map[fleet.AttemptID]bufferedResponse
	closed    bool
}

// bufferedResponse is a target's response with the buffered start of its body.
type bufferedResponse struct {
	response *http.Response
	buffered []byte
	// complete is true if buffered is the whole body. Otherwise response.Body holds the rest.
	complete bool
}

// serve handles the requests of callers.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	held := &heldBody{memory: s.bodies, holder: holderOf(r.Context())}
	defer held.release()
	body, err := s.readBody(w, r, held)
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
		server:    s,
		request:   request,
		incoming:  r,
		body:      body,
		cancels:   make(map[fleet.AttemptID]context.CancelFunc),
		responses: make(map[fleet.AttemptID]bufferedResponse),
	}
	defer x.close()
	held.holder.StartWork()
	x.endWork = sync.OnceFunc(held.holder.EndWork)
	defer x.endWork()
	s.seams.Post(event.RequestArrived{Request: request})
	x.executeEffects(w, effects)
}

// executeEffects executes the effects for the request until one of them ends it or the caller disconnects.
func (x *exchange) executeEffects(w http.ResponseWriter, effects <-chan effect.Effect) {
	for {
		select {
		case <-x.incoming.Context().Done():
			x.server.seams.Post(event.RequestCanceled{Request: x.request.ID})
			return
		case e := <-effects:
			switch e := e.(type) {
			case effect.ForwardAttempt:
				x.startAttempt(e)
			case effect.CancelAttempt:
				x.cancelAttempt(e.Attempt)
			case effect.RefuseRequest:
				x.endWork()
				x.server.protocol.Refuse(w, x.request.ID, e.Problem)
				return
			case effect.RelayResponse:
				x.endWork()
				x.relay(w, e.Attempt)
				return
			}
		}
	}
}

func (x *exchange) startAttempt(forward effect.ForwardAttempt) {
	ctx, cancel := context.WithCancel(context.WithoutCancel(x.incoming.Context()))
	x.cancels[forward.Attempt.ID] = cancel
	seams := x.server.seams
	outgoing := x.outgoing(forward)
	seams.Recovery.Go("forward attempt", func() { x.forwardAttempt(ctx, forward, outgoing) }, func() {
		problem := fleet.NewProblem(fleet.InternalError, fleet.MayHaveRun, "forwarding the attempt failed")
		seams.Post(event.AttemptFinished{Attempt: forward.Attempt.ID, Outcome: fleet.Outcome{Problem: fleet.Some(problem)}})
	})
}

// outgoing returns the request to forward. Attempts may run at the same time, so that the headers of the incoming request are not
// changed.
func (x *exchange) outgoing(forward effect.ForwardAttempt) *http.Request {
	if !forward.RemoveCredentials {
		return x.incoming
	}
	if x.withoutCredentials == nil {
		x.withoutCredentials = x.incoming.WithContext(x.incoming.Context())
		x.withoutCredentials.Header = x.incoming.Header.Clone()
		x.server.protocol.RemoveCredentials(x.withoutCredentials.Header)
	}
	return x.withoutCredentials
}

func (x *exchange) cancelAttempt(id fleet.AttemptID) {
	if cancel, ok := x.cancels[id]; ok {
		cancel()
	}
}

// forwardAttempt forwards the request once and posts the outcome.
func (x *exchange) forwardAttempt(ctx context.Context, forward effect.ForwardAttempt, outgoing *http.Request) {
	seams := x.server.seams
	started := seams.Now()
	response, report, err := seams.Forward(ctx, forward, outgoing, x.body)
	var outcome fleet.Outcome
	if err == nil {
		outcome, err = x.bufferResponse(forward.Attempt.ID, response)
	}
	if err != nil {
		outcome = fleet.Outcome{Problem: fleet.Some(problemOf(err))}
	}
	outcome.Duration = seams.Now().Sub(started)
	seams.Post(event.AttemptFinished{Attempt: forward.Attempt.ID, Outcome: outcome, Report: report()})
}

// bufferResponse buffers the start of a response and stores it until the reducer decides whether to relay it. The outcome of a
// response with a server error contains a problem, but the response can still be relayed.
func (x *exchange) bufferResponse(id fleet.AttemptID, response *http.Response) (fleet.Outcome, error) {
	buffered, err := io.ReadAll(io.LimitReader(response.Body, maxBufferedBytes+1))
	if err != nil {
		_ = response.Body.Close()
		return fleet.Outcome{}, err
	}
	complete := len(buffered) <= maxBufferedBytes
	if complete {
		_ = response.Body.Close()
	}
	x.store(id, bufferedResponse{response: response, buffered: buffered, complete: complete})
	outcome := fleet.Outcome{Status: response.StatusCode}
	if response.StatusCode >= http.StatusInternalServerError {
		outcome.Problem = fleet.Some(fleet.NewProblem(fleet.TargetFailed, fleet.Ran, response.Status))
	}
	return outcome, nil
}

func (x *exchange) store(id fleet.AttemptID, b bufferedResponse) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.closed {
		_ = b.response.Body.Close()
		return
	}
	x.responses[id] = b
}

// relay passes the response of an attempt on to the caller. If the rest of a long response cannot be read, the caller's
// connection is aborted, so that a truncated response never looks complete.
func (x *exchange) relay(w http.ResponseWriter, id fleet.AttemptID) {
	x.mu.Lock()
	b, ok := x.responses[id]
	x.mu.Unlock()
	if !ok {
		x.server.protocol.Refuse(w, x.request.ID, fleet.NewProblem(fleet.Broken, fleet.MayHaveRun, "the response is not available"))
		return
	}
	defer holdResponse(x.incoming.Context(), b)()
	header := w.Header()
	for name, values := range b.response.Header {
		header[name] = values
	}
	x.server.protocol.SetHeaders(header, x.request.ID, fleet.Ran)
	if x.server.leaving.Load() {
		// If the server closed the connection without notice, a request that the caller sends meanwhile would get no response.
		header.Set("Connection", "close")
	}
	w.WriteHeader(b.response.StatusCode)
	if _, err := io.Copy(w, bytes.NewReader(b.buffered)); err != nil {
		return
	}
	if !b.complete {
		x.stream(w, b.response.Body)
	}
}

// stream copies the rest of a long response and flushes after every read.
func (x *exchange) stream(w http.ResponseWriter, rest io.Reader) {
	control := http.NewResponseController(w)
	buffer := make([]byte, 32<<10)
	for {
		n, err := rest.Read(buffer)
		if n > 0 {
			if _, writeErr := w.Write(buffer[:n]); writeErr != nil {
				return
			}
		}
		if errors.Is(err, io.EOF) {
			return
		}
		if err != nil {
			abort(w)
			return
		}
		_ = control.Flush()
	}
}

// close cancels all attempts and closes their responses.
func (x *exchange) close() {
	for _, cancel := range x.cancels {
		cancel()
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.closed = true
	for _, b := range x.responses {
		_ = b.response.Body.Close()
	}
}
