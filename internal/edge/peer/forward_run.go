package peer

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/event"
	"jayfold.dev/jayfold/internal/core/fleet"
)

// crashCheckTimeout bounds the check whether a target's process has died.
const crashCheckTimeout = 500 * time.Millisecond

// errIngressGone is returned when a response can no longer be written to the ingress, which is not a failure of the target.
var errIngressGone = errors.New("the connection to the ingress has ended")

// sidecarRun is the run of one attempt on a target.
type sidecarRun struct {
	seams   SidecarSeams
	run     effect.StartRun
	ctx     context.Context
	started time.Time
	reports <-chan effect.AttachRunReport
	// saveResponse caches the complete response of an order with an idempotency key.
	saveResponse func()
}

// postOutcome posts the outcome of the run and returns the report for the response.
func (s sidecarRun) postOutcome(outcome fleet.Outcome) fleet.Option[fleet.TargetReport] {
	s.seams.Post(event.RunFinished{Attempt: s.run.Attempt.ID, Outcome: outcome})
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
		defer func() { go s.checkCrash() }()
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
	w.WriteHeader(response.StatusCode)
	waited, err := s.copyBody(w, response.Body)
	outcome.Duration += waited
	if err != nil {
		s.abort(outcome, err)
	}
	s.saveResponse()
	s.markComplete(header, http.TrailerPrefix, s.postOutcome(outcome))
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
	s.seams.Post(event.RunFinished{Attempt: s.run.Attempt.ID, Outcome: outcome})
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
