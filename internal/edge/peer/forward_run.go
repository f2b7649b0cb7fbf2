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

// crashCheckTimeout bounds the check whether a target's process is gone.
const crashCheckTimeout = 500 * time.Millisecond

// errIngressGone says that the copy of an answer to the ingress broke, which is not the target's fault.
var errIngressGone = errors.New("the ingress is gone")

// sidecarRun is one attempt that runs on a target.
type sidecarRun struct {
	seams   SidecarSeams
	run     effect.StartRun
	ctx     context.Context
	started time.Time
	reports <-chan effect.AttachRunReport
	// saveResponse keeps the whole answer of an order with an idempotency key.
	saveResponse func()
}

// postOutcome posts how the run ended and returns the report that goes with the answer.
func (f sidecarRun) postOutcome(outcome fleet.Outcome) fleet.Option[fleet.TargetReport] {
	f.seams.Post(event.RunFinished{Attempt: f.run.Attempt.ID, Outcome: outcome})
	limit := time.NewTimer(reportTimeout)
	defer limit.Stop()
	select {
	case e := <-f.reports:
		return fleet.Some(e.Report)
	case <-limit.C:
		return fleet.Option[fleet.TargetReport]{}
	}
}

// withContextCause names the cause of a failure when it was the end of the attempt's context.
func (f sidecarRun) withContextCause(problem fleet.Problem) fleet.Problem {
	switch {
	case errors.Is(f.ctx.Err(), context.DeadlineExceeded):
		problem.Cause = fleet.DeadlinePassed
	case f.ctx.Err() != nil:
		problem.Cause = fleet.Canceled
	}
	return problem
}

// targetMayHaveCrashed reports whether the target's process may have died. A run that provably did not start says nothing of that.
func (f sidecarRun) targetMayHaveCrashed(problem fleet.Problem) bool {
	return problem.Cause == fleet.Broken && problem.Verdict != fleet.NotRun && f.ctx.Err() == nil
}

// checkCrash finds out whether the target's process died, and posts it. The attempt is answered long before: it takes up to
// half a second to tell a process that is ending from one that is alive.
func (f sidecarRun) checkCrash() {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(f.ctx), crashCheckTimeout)
	defer cancel()
	f.seams.Post(event.CrashChecked{Attempt: f.run.Attempt.ID, TargetCrashed: f.seams.Crashed(ctx, f.run.Address)})
}

// writeProblem answers with a problem instead of an answer of the target.
func (f sidecarRun) writeProblem(w http.ResponseWriter, problem fleet.Problem) {
	took := f.seams.Now().Sub(f.started)
	pending := f.targetMayHaveCrashed(problem)
	outcome := fleet.Outcome{Problem: fleet.Some(problem), Duration: took, CrashCheckPending: pending}
	if pending {
		defer func() { go f.checkCrash() }()
	}
	if report, ok := f.postOutcome(outcome).Get(); ok {
		encodeReport(w.Header(), "", report)
	}
	writeRefusal(w, http.StatusBadGateway, f.run.Attempt.ID, problem)
}

// passResponse passes the target's answer on.
func (f sidecarRun) passResponse(w http.ResponseWriter, r *http.Request, response *http.Response) {
	took := f.seams.Now().Sub(f.started)
	outcome := fleet.Outcome{Status: response.StatusCode, Duration: took}
	if response.StatusCode >= http.StatusInternalServerError {
		outcome.Problem = fleet.Some(fleet.NewProblem(fleet.TargetFailed, fleet.Ran, response.Status))
	}
	stripHeaders(response.Header)
	header := w.Header()
	for name, values := range response.Header {
		header[name] = values
	}
	header.Set(headerEcho, echoValue(f.run.Attempt.ID))
	omitDate(header)
	if r.Method == http.MethodHead {
		// Answers to HEAD cannot have trailers.
		f.markComplete(header, "", f.postOutcome(outcome))
		w.WriteHeader(response.StatusCode)
		return
	}
	w.WriteHeader(response.StatusCode)
	waited, err := f.copyBody(w, response.Body)
	outcome.Duration += waited
	if err != nil {
		f.abort(outcome, err)
	}
	f.saveResponse()
	f.markComplete(header, http.TrailerPrefix, f.postOutcome(outcome))
}

// markComplete marks an answer as whole.
func (f sidecarRun) markComplete(header http.Header, prefix string, report fleet.Option[fleet.TargetReport]) {
	if known, ok := report.Get(); ok {
		encodeReport(header, prefix, known)
	}
	header.Set(prefix+headerVerdict, fleet.Ran.String())
}

// abort ends an answer whose copy broke, so that the ingress sees the break.
func (f sidecarRun) abort(outcome fleet.Outcome, err error) {
	problem := f.withContextCause(fleet.NewProblem(fleet.Broken, fleet.MayHaveRun, err.Error()))
	if errors.Is(err, errIngressGone) {
		problem.Cause = fleet.Canceled
	}
	outcome.CrashCheckPending = f.targetMayHaveCrashed(problem)
	outcome.Problem = fleet.Some(problem)
	f.seams.Post(event.RunFinished{Attempt: f.run.Attempt.ID, Outcome: outcome})
	if outcome.CrashCheckPending {
		go f.checkCrash()
	}
	panic(http.ErrAbortHandler)
}

// copyBody streams the body of a target's answer. It returns how long it waited for the target, so that a slow caller
// does not make the target look slow.
func (f sidecarRun) copyBody(w http.ResponseWriter, body io.Reader) (time.Duration, error) {
	control := http.NewResponseController(w)
	buffer := make([]byte, 32<<10)
	var waited time.Duration
	for {
		asked := f.seams.Now()
		n, err := body.Read(buffer)
		waited += f.seams.Now().Sub(asked)
		if n > 0 {
			if _, cut := w.Write(buffer[:n]); cut != nil {
				return waited, errIngressGone
			}
		}
		if errors.Is(err, io.EOF) {
			return waited, nil
		}
		if err != nil {
			return waited, err
		}
		if cut := control.Flush(); cut != nil {
			return waited, errIngressGone
		}
	}
}
