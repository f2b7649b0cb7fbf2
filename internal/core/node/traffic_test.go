package node

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/event"
	"jayfold.dev/jayfold/internal/core/fleet"
)

// request sends a caller's request to a node, unless the node is down or paused.
func (w *world) request(h *host, class fleet.Class, key fleet.IdempotencyKey, timeout time.Duration) {
	if h.down || h.paused {
		return
	}
	id := fleet.RequestID(fmt.Sprintf("r%d", w.ledger.count))
	limit := time.Second
	if timeout > 0 {
		limit = min(limit, timeout)
	}
	w.ledger.requestSent(id, h, class != fleet.Order && key == "", w.now.Add(limit))
	w.post(h, h.incarnation, event.RequestArrived{Request: fleet.Request{
		ID: id, Method: "GET", Path: "/" + class.String(), Key: key, Timeout: timeout, Fingerprint: fleet.Fingerprint(w.ledger.count),
	}})
}

// cancel ends a request because its caller disconnected. The edge also cancels the attempts.
func (w *world) cancel(e *entry) {
	e.ended = true
	w.post(e.host, e.incarnation, event.RequestCanceled{Request: e.id})
	for n := 1; n <= 8; n++ {
		w.cancelAttempt(e.host.streams[fleet.NewAttemptID(e.id, n)])
	}
}

// forward models peer.Forwarder: an attempt that was certainly not sent is NotRun; one without a response is MayHaveRun.
func (w *world) forward(h *host, a fleet.Attempt) {
	s := &stream{attempt: a, from: h, to: w.hosts[a.Node[1]-'0'], incarnation: h.incarnation}
	h.streams[a.ID] = s
	none := fleet.Option[fleet.TargetReport]{}
	w.after(a.Deadline.Add(streamGrace).Sub(w.now), func() { w.finish(s, problem(fleet.Broken, fleet.MayHaveRun), none) })
	blocked := s.to.down || w.cut[[2]int{h.index, s.to.index}]
	if (blocked || s.to.paused && !a.Idempotent) && w.chance(80) {
		w.after(w.delay(), func() { w.finish(s, problem(fleet.Unreachable, fleet.NotRun), none) })
		return
	}
	if blocked {
		w.after(w.delay()+time.Duration(w.draw(int(time.Second))), func() {
			w.finish(s, problem(fleet.Broken, fleet.MayHaveRun), none)
		})
		return
	}
	incarnation := s.to.incarnation
	for copies := 1 + w.draw(10)/9; copies > 0; copies-- {
		w.after(w.delay(), func() { w.arrive(s, incarnation) })
	}
}

// finish ends a stream at the ingress. A second end is mostly dropped here and sometimes posted to the reducer, which must drop
// it.
func (w *world) finish(s *stream, outcome fleet.Outcome, report fleet.Option[fleet.TargetReport]) {
	if s.done && !w.chance(5) {
		return
	}
	if !s.done {
		s.done, s.status = true, outcome.Status
	}
	w.post(s.from, s.incarnation, event.AttemptFinished{Attempt: s.attempt.ID, Outcome: outcome, Report: report})
}

// cancelAttempt models the cancellation of an attempt: a message to the sidecar, and the end of the stream 200 ms later.
func (w *world) cancelAttempt(s *stream) {
	if s == nil || s.done {
		return
	}
	incarnation := s.to.incarnation
	canceled := event.AdmissionCanceled{Attempt: s.attempt.ID}
	if !w.cut[[2]int{s.from.index, s.to.index}] {
		w.after(w.delay(), func() { w.post(s.to, incarnation, canceled) })
	}
	w.after(cancelWait, func() {
		if s.done {
			return
		}
		w.finish(s, problem(fleet.Canceled, fleet.MayHaveRun), fleet.Option[fleet.TargetReport]{})
		w.after(w.delay(), func() {
			if hd := s.to.handlers[s.attempt.ID]; hd != nil && s.to.incarnation == incarnation {
				hd.canceled = true
				w.post(s.to, incarnation, canceled)
			}
		})
	})
}

// arrive models the sidecar's handler for a new attempt.
func (w *world) arrive(s *stream, incarnation int) {
	if s.to.down || s.to.incarnation != incarnation {
		return
	}
	if s.to.handlers[s.attempt.ID] != nil {
		w.respond(s, problem(fleet.Duplicate, fleet.MayHaveRun), fleet.Option[fleet.TargetReport]{})
		return
	}
	s.to.handlers[s.attempt.ID] = &handler{stream: s, incarnation: incarnation}
	w.post(s.to, incarnation, event.AdmissionRequested{Attempt: s.attempt})
}

// executeSidecar executes the effects of the sidecar.
func (w *world) executeSidecar(h *host, e effect.Effect) {
	switch e := e.(type) {
	case effect.StartRun:
		w.run(h, e)
	case effect.RefuseAttempt:
		if hd := h.handlers[e.Attempt]; hd != nil {
			delete(h.handlers, e.Attempt)
			w.respond(hd.stream, fleet.Outcome{Problem: fleet.Some(e.Problem)}, fleet.Some(e.Report))
		}
	case effect.CancelRun:
		w.finishRun(h, e.Attempt, h.incarnation, problem(fleet.Canceled, fleet.MayHaveRun))
	case effect.AttachRunReport:
		w.finishHandler(h, e.Attempt, h.incarnation, fleet.Some(e.Report))
	case effect.ReplayResponse:
		if hd := h.handlers[e.Attempt]; hd != nil {
			delete(h.handlers, e.Attempt)
			hd.stream.payload = e.Original
			w.respond(hd.stream, fleet.Outcome{Status: 200}, fleet.Option[fleet.TargetReport]{})
		}
	}
}

func (w *world) finishHandler(h *host, id fleet.AttemptID, incarnation int, report fleet.Option[fleet.TargetReport]) {
	if hd := h.handlers[id]; hd != nil && h.incarnation == incarnation && !hd.running {
		delete(h.handlers, id)
		w.respond(hd.stream, hd.outcome, report)
	}
}

func (w *world) run(h *host, e effect.StartRun) {
	id, incarnation := e.Attempt.ID, h.incarnation
	hd := h.handlers[id]
	if hd == nil || hd.canceled {
		delete(h.handlers, id)
		canceled := event.RunFinished{Attempt: id, Outcome: problem(fleet.Canceled, fleet.NotRun)}
		w.after(0, func() { w.post(h, incarnation, canceled) })
		return
	}
	hd.running = true
	hd.stream.payload = id
	w.ledger.runStarted(id.Request())
	w.after(e.Attempt.Deadline.Sub(w.now), func() { w.finishRun(h, id, incarnation, problem(fleet.DeadlinePassed, fleet.MayHaveRun)) })
	t := h.targets[e.Address[1]-'0']
	if t.frozen {
		return
	}
	outcome := fleet.Outcome{Status: 200, Duration: time.Duration(w.draw(int(50 * time.Millisecond)))}
	if t.failing && w.chance(50) {
		outcome = problem(fleet.TargetFailed, fleet.Ran)
		outcome.Status = 500
	}
	w.after(outcome.Duration, func() { w.finishRun(h, id, incarnation, outcome) })
}

// finishRun ends a run on a target.
func (w *world) finishRun(h *host, id fleet.AttemptID, incarnation int, outcome fleet.Outcome) {
	hd := h.handlers[id]
	if hd == nil || !hd.running || h.incarnation != incarnation {
		return
	}
	hd.running, hd.outcome = false, outcome
	w.after(reportWait, func() { w.finishHandler(h, id, incarnation, fleet.Option[fleet.TargetReport]{}) })
	w.post(h, incarnation, event.RunFinished{Attempt: id, Outcome: outcome})
}

// crashTarget ends a target's process and its runs. The target's next heartbeat names a new instance.
func (w *world) crashTarget(h *host, t *target) {
	t.instance++
	t.frozen = false
	for _, id := range slices.Sorted(maps.Keys(h.handlers)) {
		hd := h.handlers[id]
		if hd == nil || !hd.running || hd.stream.attempt.Target != fleet.NewTargetID(h.id, t.name) {
			continue
		}
		outcome := problem(fleet.Broken, fleet.MayHaveRun)
		outcome.TargetCrashed = true
		w.finishRun(h, id, h.incarnation, outcome)
	}
}

// respond sends a response to the ingress. The response may be lost or truncated.
func (w *world) respond(s *stream, outcome fleet.Outcome, report fleet.Option[fleet.TargetReport]) {
	if w.cut[[2]int{s.to.index, s.from.index}] || w.lossy && w.chance(30) {
		return
	}
	if w.chance(3) {
		outcome = problem(fleet.Broken, fleet.MayHaveRun)
	}
	w.after(w.delay(), func() { w.finish(s, outcome, report) })
}
