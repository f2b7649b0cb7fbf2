package peer

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/event"
	"jayfold.dev/jayfold/internal/core/fleet"
)

// crashCheckTimeout bounds the check whether a target's process has died.
const crashCheckTimeout = 500 * time.Millisecond

// errIngressGone is returned when a response can no longer be written to the ingress, which is not a failure of the target.
var errIngressGone = errors.New("the connection to the ingress has ended")

// releaseDelay is the time after the end of a run's context in which its handler can still post the outcome. A handler that
// writes to an ingress which does not read is blocked until the connection fails.
const releaseDelay = 250 * time.Millisecond

// sidecarRun is the run of one attempt on a target.
type sidecarRun struct {
	seams   SidecarSeams
	run     effect.StartRun
	ctx     context.Context
	started time.Time
	reports <-chan effect.AttachRunReport
	// saveResponse caches the complete response of an order with an idempotency key.
	saveResponse func()
	// post posts the outcome of the run. Only the first call has an effect.
	post func(fleet.Outcome)
	// release ends the watch on ctx.
	release func()
}

// newSidecarRun returns a run whose slot is freed at the latest when ctx ends, even if its handler is still blocked.
func newSidecarRun(
	ctx context.Context, seams SidecarSeams, run effect.StartRun, reports <-chan effect.AttachRunReport, saveResponse func(),
) sidecarRun {
	var once sync.Once
	s := sidecarRun{seams: seams, run: run, ctx: ctx, started: seams.Now(), reports: reports, saveResponse: saveResponse}
	s.post = func(outcome fleet.Outcome) {
		once.Do(func() { seams.Post(event.RunFinished{Attempt: run.Attempt.ID, Outcome: outcome}) })
	}
	handlerDone := make(chan struct{})
	stop := context.AfterFunc(ctx, seams.Recovery.Func("release slot", func() {
		limit := time.NewTimer(releaseDelay)
		defer limit.Stop()
		select {
		case <-handlerDone:
		case <-limit.C:
			problem := s.withContextCause(fleet.NewProblem(fleet.Canceled, fleet.MayHaveRun, "the ingress does not read the response"))
			s.post(fleet.Outcome{Problem: fleet.Some(problem), Duration: seams.Now().Sub(s.started)})
		}
	}))
	s.release = func() {
		stop()
		close(handlerDone)
		// Every other end of the handler has posted an outcome before.
		problem := fleet.NewProblem(fleet.InternalError, fleet.MayHaveRun, "the handler of the run failed")
		s.post(fleet.Outcome{Problem: fleet.Some(problem), Duration: seams.Now().Sub(s.started)})
	}
	return s
}

// postOutcome posts the outcome of the run and returns the report for the response.
func (s sidecarRun) postOutcome(outcome fleet.Outcome) fleet.Option[fleet.TargetReport] {
	s.post(outcome)
	limit := time.NewTimer(reportTimeout)
	defer limit.Stop()
	select {
	case e := <-s.reports:
		return fleet.Some(e.Report)
	case <-limit.C:
		return fleet.Option[fleet.TargetReport]{}
	}
}

// withContextCause sets the problem's cause if the attempt's deadline has passed or the attempt was canceled.
func (s sidecarRun) withContextCause(problem fleet.Problem) fleet.Problem {
	switch {
	case errors.Is(s.ctx.Err(), context.DeadlineExceeded):
		problem.Cause = fleet.DeadlinePassed
	case s.ctx.Err() != nil:
		problem.Cause = fleet.Canceled
	}
	return problem
}

// targetMayHaveCrashed reports whether the target's process may have died. A run that provably did not start is no evidence of
// a crash.
func (s sidecarRun) targetMayHaveCrashed(problem fleet.Problem) bool {
	return problem.Cause == fleet.Broken && problem.Verdict != fleet.NotRun && s.ctx.Err() == nil
}

// checkCrash checks whether the target's process has died and posts the result. The response to the attempt does not wait for
// it, since it takes up to half a second to distinguish a process that is ending from one that is alive.
func (s sidecarRun) checkCrash() {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(s.ctx), crashCheckTimeout)
	defer cancel()
	s.seams.Post(event.CrashChecked{Attempt: s.run.Attempt.ID, TargetCrashed: s.seams.Crashed(ctx, s.run.Address)})
}

// writeProblem responds with the problem that left the attempt without a response from the target.
func (s sidecarRun) writeProblem(w http.ResponseWriter, problem fleet.Problem) {
	duration := s.seams.Now().Sub(s.started)
	pending := s.targetMayHaveCrashed(problem)
	outcome := fleet.Outcome{Problem: fleet.Some(problem), Duration: duration, CrashCheckPending: pending}
	if pending {
		defer s.seams.Recovery.Go("check crash", s.checkCrash, nil)
	}
	if report, ok := s.postOutcome(outcome).Get(); ok {
		encodeReport(w.Header(), "", report)
	}
	writeRefusal(w, http.StatusBadGateway, s.run.Attempt.ID, problem)
}

// writeResponse forwards the target's response to the ingress.
func (s sidecarRun) writeResponse(w http.ResponseWriter, r *http.Request, response *http.Response) {
	duration := s.seams.Now().Sub(s.started)
	outcome := fleet.Outcome{Status: response.StatusCode, Duration: duration}
	if response.StatusCode >= http.StatusInternalServerError {
		outcome.Problem = fleet.Some(fleet.NewProblem(fleet.TargetFailed, fleet.Ran, response.Status))
	}
	stripHeaders(response.Header)
	header := w.Header()
	for name, values := range response.Header {
		header[name] = values
	}
	header.Set(headerEcho, echoValue(s.run.Attempt.ID))
	omitDate(header)
	if r.Method == http.MethodHead {
		// Responses to HEAD cannot have trailers.
		s.markComplete(header, "", s.postOutcome(outcome))
		w.WriteHeader(response.StatusCode)
		return
	}
	held, complete, err := holdResponse(response)
	outcome.Duration = s.seams.Now().Sub(s.started)
	if err != nil {
		s.abort(outcome, err)
	}
	if complete && s.run.Attempt.Key == "" {
		// The run has ended, so that an ingress which does not read holds no slot.
		s.writeComplete(w, response.StatusCode, held, s.postOutcome(outcome))
		return
	}
	w.WriteHeader(response.StatusCode)
	if _, err = w.Write(held); err != nil && len(held) > 0 {
		s.abort(outcome, errIngressGone)
	}
	if !complete {
		waited, err := s.copyBody(w, response.Body)
		outcome.Duration += waited
		if err != nil {
			s.abort(outcome, err)
		}
	}
	s.saveResponse()
	s.markComplete(header, http.TrailerPrefix, s.postOutcome(outcome))
}

// holdResponse reads the start of a response, up to maxHeldBytes, and reports whether that is the whole body. The ingress holds as
// much before it sends the first byte to its caller, so that this delays nothing.
func holdResponse(response *http.Response) (held []byte, complete bool, err error) {
	var buffer bytes.Buffer
	buffer.Grow(int(min(max(response.ContentLength, 0), maxHeldBytes)) + bytes.MinRead)
	_, err = buffer.ReadFrom(io.LimitReader(response.Body, maxHeldBytes+1))
	return buffer.Bytes(), buffer.Len() <= maxHeldBytes, err
}

// writeComplete forwards a response of which the whole body is held.
func (s sidecarRun) writeComplete(w http.ResponseWriter, status int, body []byte, report fleet.Option[fleet.TargetReport]) {
	w.WriteHeader(status)
	if len(body) > 0 {
		// A status such as 204 allows no body, not even an empty one.
		if _, err := w.Write(body); err != nil {
			return
		}
	}
	s.markComplete(w.Header(), http.TrailerPrefix, report)
}

// markComplete sets the report, if there is one, and the verdict, which marks a response as complete.
func (s sidecarRun) markComplete(header http.Header, prefix string, report fleet.Option[fleet.TargetReport]) {
	if known, ok := report.Get(); ok {
		encodeReport(header, prefix, known)
	}
	header.Set(prefix+headerVerdict, fleet.Ran.String())
}

// abort posts the outcome of a run whose response could not be copied completely, and resets the stream so that the ingress
// detects the truncation.
func (s sidecarRun) abort(outcome fleet.Outcome, err error) {
	problem := s.withContextCause(fleet.NewProblem(fleet.Broken, fleet.MayHaveRun, err.Error()))
	if errors.Is(err, errIngressGone) {
		problem.Cause = fleet.Canceled
	}
	outcome.CrashCheckPending = s.targetMayHaveCrashed(problem)
	outcome.Problem = fleet.Some(problem)
	s.post(outcome)
	if outcome.CrashCheckPending {
		go s.checkCrash()
	}
	panic(http.ErrAbortHandler)
}

// copyBody streams the body of a target's response. It returns only the time spent waiting for the target, so that a slow caller
// does not make the target look slow.
func (s sidecarRun) copyBody(w http.ResponseWriter, body io.Reader) (time.Duration, error) {
	control := http.NewResponseController(w)
	buffer := make([]byte, 32<<10)
	var waited time.Duration
	for {
		readStarted := s.seams.Now()
		n, err := body.Read(buffer)
		waited += s.seams.Now().Sub(readStarted)
		if n > 0 {
			if _, writeErr := w.Write(buffer[:n]); writeErr != nil {
				return waited, errIngressGone
			}
		}
		if errors.Is(err, io.EOF) {
			return waited, nil
		}
		if err != nil {
			return waited, err
		}
		if flushErr := control.Flush(); flushErr != nil {
			return waited, errIngressGone
		}
	}
}
