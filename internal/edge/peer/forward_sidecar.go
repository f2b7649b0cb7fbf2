package peer

import (
	"context"
	"net/http"
	"sync"
	"time"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/event"
	"jayfold.dev/jayfold/internal/core/fleet"
	"jayfold.dev/jayfold/internal/edge/recovery"
)

const (
	// maxEffectsPerAttempt bounds the pending effects of one attempt: one of StartRun, RefuseAttempt and ReplayResponse, then
	// CancelRun and AttachRunReport.
	maxEffectsPerAttempt = 4
	// decisionGrace bounds how long an attempt waits for the reducer's decision after its deadline, or after the ingress has
	// disconnected.
	decisionGrace = 2 * time.Second
	// reportTimeout bounds how long a complete response waits for its report. After that it is sent with its verdict only.
	reportTimeout = time.Second
	// peerHeaderTimeout bounds the time to read the headers of a peer's request.
	peerHeaderTimeout = time.Second
	// maxPeerHeaderBytes exceeds the default limit for a caller's headers, 64 KiB, plus those that the ingress adds. The settings
	// and tables allow limits up to 1 MiB, but a request with headers over this size cannot be forwarded.
	maxPeerHeaderBytes = 256 << 10
	// maxStreamsPerConn bounds the concurrent attempts on one connection. A target accepts about 400 connections.
	maxStreamsPerConn = 1000
)

// SidecarSeams are the external dependencies of a Sidecar.
type SidecarSeams struct {
	Now  func() time.Time
	Post func(event.Body)
	// Run sends a request to a target. Errors are of type fleet.Problem.
	Run func(ctx context.Context, run effect.StartRun, r *http.Request) (*http.Response, error)
	// Crashed reports whether the process at a target's address has died.
	Crashed func(ctx context.Context, address string) bool
	// Recovery contains panics of the tasks beside a run; nil contains none.
	Recovery *recovery.Boundary
}

// Sidecar runs the attempts that nodes, including its own, forward to the targets on this host.
type Sidecar struct {
	seams SidecarSeams
	mu    sync.Mutex
	// effects holds the channel on which the handler of each attempt receives its effects.
	effects   map[fleet.AttemptID]chan effect.Effect
	responses *responseCache
}

// NewSidecar returns a sidecar with the given seams.
func NewSidecar(seams SidecarSeams) *Sidecar {
	return &Sidecar{
		seams:     seams,
		effects:   make(map[fleet.AttemptID]chan effect.Effect),
		responses: newResponseCache(),
	}
}

// NewForwardServer returns the HTTP/2 server of a sidecar.
func NewForwardServer(sidecar *Sidecar) *http.Server {
	server := &http.Server{
		Handler:           sidecar,
		ReadHeaderTimeout: peerHeaderTimeout,
		MaxHeaderBytes:    maxPeerHeaderBytes,
		Protocols:         new(http.Protocols),
		HTTP2: &http.HTTP2Config{
			MaxConcurrentStreams:          maxStreamsPerConn,
			MaxReceiveBufferPerStream:     requestWindowBytes,
			MaxReceiveBufferPerConnection: connWindowBytes,
		},
	}
	server.Protocols.SetUnencryptedHTTP2(true)
	return server
}

// StartRun executes effect.StartRun. It does not block.
func (s *Sidecar) StartRun(e effect.StartRun) {
	if s.deliver(e.Attempt.ID, e) {
		return
	}
	// The attempt's handler has returned, so nothing was sent to the target. The slot must be freed.
	problem := fleet.NewProblem(fleet.Canceled, fleet.NotRun, "the attempt was canceled before it started")
	s.seams.Recovery.Go("end run", func() {
		s.seams.Post(event.RunFinished{Attempt: e.Attempt.ID, Outcome: fleet.Outcome{Problem: fleet.Some(problem)}})
	}, nil)
}

// RefuseAttempt executes effect.RefuseAttempt. It does not block.
func (s *Sidecar) RefuseAttempt(e effect.RefuseAttempt) { s.deliver(e.Attempt, e) }

// CancelRun executes effect.CancelRun. It does not block.
func (s *Sidecar) CancelRun(e effect.CancelRun) { s.deliver(e.Attempt, e) }

// AttachRunReport executes effect.AttachRunReport. It does not block.
func (s *Sidecar) AttachRunReport(e effect.AttachRunReport) { s.deliver(e.Attempt, e) }

// deliver passes an effect to the handler of its attempt. It returns false if there is no such handler or its channel is full.
func (s *Sidecar) deliver(id fleet.AttemptID, e effect.Effect) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	effects, ok := s.effects[id]
	if !ok {
		return false
	}
	select {
	case effects <- e:
		return true
	default:
		return false
	}
}

// register adds the handler of an attempt and returns the channel for its effects. It returns false if the attempt already has a
// handler.
func (s *Sidecar) register(id fleet.AttemptID) (chan effect.Effect, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, exists := s.effects[id]; exists {
		return nil, false
	}
	effects := make(chan effect.Effect, maxEffectsPerAttempt)
	s.effects[id] = effects
	return effects, true
}

// unregister removes an attempt's handler. It frees the slot if a StartRun effect arrived too late for the handler.
func (s *Sidecar) unregister(id fleet.AttemptID, effects chan effect.Effect) {
	s.mu.Lock()
	delete(s.effects, id)
	s.mu.Unlock()
	for {
		select {
		case e := <-effects:
			if run, ok := e.(effect.StartRun); ok {
				s.StartRun(run)
			}
		default:
			return
		}
	}
}

// ServeHTTP implements http.Handler.
func (s *Sidecar) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get(headerVerify) != "" {
		return
	}
	if id := r.Header.Get(headerCancel); id != "" {
		s.seams.Post(event.AdmissionCanceled{Attempt: fleet.AttemptID(id)})
		return
	}
	wire, err := decodeAttempt(r.Header, s.seams.Now())
	if err != nil {
		problem := fleet.NewProblem(fleet.BadRequest, fleet.NotRun, err.Error())
		writeRefusal(w, http.StatusBadRequest, wire.Attempt.ID, problem)
		return
	}
	s.seams.Post(event.PeerRevisionSeen{From: wire.Attempt.Ingress, Revision: wire.Revision})
	effects, ok := s.register(wire.Attempt.ID)
	if !ok {
		problem := fleet.NewProblem(fleet.Duplicate, fleet.MayHaveRun, "an attempt with this id is already in progress")
		writeRefusal(w, http.StatusConflict, wire.Attempt.ID, problem)
		return
	}
	defer s.unregister(wire.Attempt.ID, effects)
	s.seams.Post(event.AdmissionRequested{Attempt: wire.Attempt})
	s.awaitDecision(w, r, wire.Attempt, effects)
}

// awaitDecision waits for the reducer's decision on an attempt and executes it.
func (s *Sidecar) awaitDecision(w http.ResponseWriter, r *http.Request, attempt fleet.Attempt, effects chan effect.Effect) {
	limit := time.NewTimer(attempt.Deadline.Sub(s.seams.Now()) + decisionGrace)
	defer limit.Stop()
	disconnected := r.Context().Done()
	for {
		select {
		case e := <-effects:
			switch e := e.(type) {
			case effect.StartRun:
				s.runAttempt(w, r, e, effects)
				return
			case effect.ReplayResponse:
				s.writeReplay(w, e)
				return
			case effect.RefuseAttempt:
				encodeReport(w.Header(), "", e.Report)
				writeRefusal(w, http.StatusServiceUnavailable, e.Attempt, e.Problem)
				return
			}
		case <-disconnected:
			disconnected = nil
			s.seams.Post(event.AdmissionCanceled{Attempt: attempt.ID})
			limit.Reset(decisionGrace)
		case <-limit.C:
			s.seams.Post(event.AdmissionCanceled{Attempt: attempt.ID})
			panic(http.ErrAbortHandler)
		}
	}
}

// omitDate prevents the server from adding a Date header, which no node reads.
func omitDate(h http.Header) {
	if len(h.Values("Date")) == 0 {
		h["Date"] = nil
	}
}

// writeRefusal responds to an attempt for which there is no response from a target.
func writeRefusal(w http.ResponseWriter, status int, id fleet.AttemptID, problem fleet.Problem) {
	w.Header().Set(headerEcho, echoValue(id))
	omitDate(w.Header())
	encodeProblem(w.Header(), problem)
	w.WriteHeader(status)
}

// runAttempt sends an attempt to its target and forwards the response.
func (s *Sidecar) runAttempt(w http.ResponseWriter, r *http.Request, run effect.StartRun, effects chan effect.Effect) {
	ctx, cancel := context.WithDeadline(r.Context(), run.Attempt.Deadline)
	defer cancel()
	reports := make(chan effect.AttachRunReport, 1)
	done := make(chan struct{})
	defer close(done)
	s.seams.Recovery.Go("relay effects", func() { relayEffects(effects, cancel, reports, done) }, cancel)
	body := newIngressBody(w, r, bodyStallTimeout)
	w, saveResponse := s.recordKeyedResponse(w, run.Attempt)
	running := newSidecarRun(ctx, s.seams, run, reports, saveResponse)
	defer running.release()
	if ctx.Err() != nil {
		running.writeProblem(w, fleet.NewProblem(fleet.Canceled, fleet.NotRun, "the attempt was canceled before it started"))
		return
	}
	held, err := body.hold()
	if err != nil {
		// Nothing was sent to the target.
		running.writeProblem(w, running.withContextCause(body.withStall(problemOf(err).WithVerdict(fleet.NotRun))))
		return
	}
	request := targetRequest(ctx, r, run.Attempt)
	request.Body = held
	response, err := s.seams.Run(ctx, run, request)
	if err != nil {
		running.writeProblem(w, running.withContextCause(body.withStall(problemOf(err))))
		return
	}
	defer func() { _ = response.Body.Close() }()
	running.writeResponse(w, r, response)
}

// relayEffects cancels a running attempt on CancelRun and passes on its report.
func relayEffects(effects <-chan effect.Effect, cancel func(), reports chan<- effect.AttachRunReport, done <-chan struct{}) {
	for {
		select {
		case e := <-effects:
			switch e := e.(type) {
			case effect.CancelRun:
				cancel()
			case effect.AttachRunReport:
				reports <- e
				return
			}
		case <-done:
			return
		}
	}
}

// targetRequest returns the request for the target. Of the headers that nodes add, it keeps only the one for the caller.
func targetRequest(ctx context.Context, r *http.Request, attempt fleet.Attempt) *http.Request {
	request := r.Clone(ctx)
	stripHeaders(request.Header)
	request.Header.Del("Expect")
	if attempt.Caller != "" {
		request.Header.Set(headerCaller, string(attempt.Caller))
	}
	return request
}
