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

// crashWait bounds the check whether a target's process is gone.
const crashWait = 500 * time.Millisecond

// errCut says that the copy of an answer to the ingress broke, which is not the target's fault.
var errCut = errors.New("the ingress is gone")

// forwardRun is one attempt that runs on a target.
type forwardRun struct {
	seams   SidecarSeams
	run     effect.StartRun
	ctx     context.Context
	started time.Time
	reports <-chan effect.AttachRunReport
	// keep keeps the whole answer of an order with an idempotency key.
	keep func()
}

// finish posts how the run ended and returns the report that goes with the answer.
func (f forwardRun) finish(outcome fleet.Outcome) fleet.Option[fleet.TargetReport] {
	f.seams.Post(event.RunFinished{Attempt: f.run.Attempt.ID, Outcome: outcome})
	limit := time.NewTimer(reportWait)
	defer limit.Stop()
	select {
	case e := <-f.reports:
		return fleet.Some(e.Report)
	case <-limit.C:
		return fleet.Option[fleet.TargetReport]{}
	}
}

// blame names the cause of a failure when it was the end of the attempt's context.
func (f forwardRun) blame(problem fleet.Problem) fleet.Problem {
	switch {
	case errors.Is(f.ctx.Err(), context.DeadlineExceeded):
		problem.Cause = fleet.DeadlinePassed
	case f.ctx.Err() != nil:
		problem.Cause = fleet.Canceled
	}
	return problem
}

// mayHaveCrashed reports whether the target's process may have died. A run that provably did not start says nothing of that.
func (f forwardRun) mayHaveCrashed(problem fleet.Problem) bool {
	return problem.Cause == fleet.Broken && problem.Verdict != fleet.NotRun && f.ctx.Err() == nil
}

// check finds out whether the target's process died, and posts it. The attempt is answered long before: it takes up to
// half a second to tell a process that is ending from one that is alive.
func (f forwardRun) check() {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(f.ctx), crashWait)
	defer cancel()
	f.seams.Post(event.CrashChecked{Attempt: f.run.Attempt.ID, TargetCrashed: f.seams.Crashed(ctx, f.run.Address)})
}

// failed answers with a problem instead of an answer of the target.
func (f forwardRun) failed(w http.ResponseWriter, problem fleet.Problem) {
	took := f.seams.Now().Sub(f.started)
	pending := f.mayHaveCrashed(problem)
	outcome := fleet.Outcome{Problem: fleet.Some(problem), Duration: took, CrashCheckPending: pending}
	if pending {
		defer func() { go f.check() }()
	}
	if report, ok := f.finish(outcome).Get(); ok {
		encodeReport(w.Header(), "", report)
	}
	refuse(w, http.StatusBadGateway, f.run.Attempt.ID, problem)
}

// answered passes the target's answer on.
func (f forwardRun) answered(w http.ResponseWriter, r *http.Request, response *http.Response) {
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
	header.Set(headerEcho, echoOf(f.run.Attempt.ID))
	undated(header)
	if r.Method == http.MethodHead {
		// Answers to HEAD cannot have trailers.
		f.complete(header, "", f.finish(outcome))
		w.WriteHeader(response.StatusCode)
		return
	}
	w.WriteHeader(response.StatusCode)
	waited, err := f.copyAnswer(w, response.Body)
	outcome.Duration += waited
	if err != nil {
		f.cut(outcome, err)
	}
	f.keep()
	f.complete(header, http.TrailerPrefix, f.finish(outcome))
}

// complete marks an answer as whole.
func (f forwardRun) complete(header http.Header, prefix string, report fleet.Option[fleet.TargetReport]) {
	if known, ok := report.Get(); ok {
		encodeReport(header, prefix, known)
	}
	header.Set(prefix+headerVerdict, fleet.Ran.String())
}

// cut ends an answer whose copy broke, so that the ingress sees the break.
func (f forwardRun) cut(outcome fleet.Outcome, err error) {
	problem := f.blame(fleet.NewProblem(fleet.Broken, fleet.MayHaveRun, err.Error()))
	if errors.Is(err, errCut) {
		problem.Cause = fleet.Canceled
	}
	outcome.CrashCheckPending = f.mayHaveCrashed(problem)
	outcome.Problem = fleet.Some(problem)
	f.seams.Post(event.RunFinished{Attempt: f.run.Attempt.ID, Outcome: outcome})
	if outcome.CrashCheckPending {
		go f.check()
	}
	panic(http.ErrAbortHandler)
}

// copyAnswer streams the body of a target's answer. It returns how long it waited for the target, so that a slow caller
// does not make the target look slow.
func (f forwardRun) copyAnswer(w http.ResponseWriter, body io.Reader) (time.Duration, error) {
	control := http.NewResponseController(w)
	buffer := make([]byte, 32<<10)
	var waited time.Duration
	for {
		asked := f.seams.Now()
		n, err := body.Read(buffer)
		waited += f.seams.Now().Sub(asked)
		if n > 0 {
			if _, cut := w.Write(buffer[:n]); cut != nil {
				return waited, errCut
			}
		}
		if errors.Is(err, io.EOF) {
			return waited, nil
		}
		if err != nil {
			return waited, err
		}
		if cut := control.Flush(); cut != nil {
			return waited, errCut
		}
	}
}
