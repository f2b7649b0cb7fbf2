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

// request sends a caller's request to a node. One that is paused would accept it later.
func (w *world) request(h *host, class fleet.Class, key fleet.IdempotencyKey, timeout time.Duration) {
	if h.down || h.paused {
		return
	}
	id := fleet.RequestID(fmt.Sprintf("r%d", w.ledger.count))
	limit := time.Second
	if timeout > 0 {
		limit = min(limit, timeout)
	}
	w.ledger.sent(id, h, class != fleet.Order && key == "", w.now.Add(limit))
	w.post(h, h.life, event.RequestArrived{Request: fleet.Request{
		ID: id, Method: "GET", Path: "/" + class.String(), Key: key, Timeout: timeout, Fingerprint: fleet.Fingerprint(w.ledger.count),
	}})
}

// cancel ends a request for its caller. The edge gives up its attempts as well.
func (w *world) cancel(e *entry) {
	e.ended = true
	w.post(e.host, e.life, event.RequestCanceled{Request: e.id})
	for n := 1; n <= 8; n++ {
		w.abandon(e.host.streams[fleet.NewAttemptID(e.id, n)])
	}
}

// forward models peer.Forwarder: a request that provably was not written is NotRun, silence is MayHaveRun.
func (w *world) forward(h *host, a fleet.Attempt) {
	s := &stream{attempt: a, from: h, to: w.hosts[a.Node[1]-'0'], life: h.life}
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
	life := s.to.life
	for copies := 1 + w.draw(10)/9; copies > 0; copies-- {
		w.after(w.delay(), func() { w.arrive(s, life) })
	}
}

// finish ends a stream at the ingress. A late end is dropped, and now and then told to the reducer, which must drop it.
func (w *world) finish(s *stream, outcome fleet.Outcome, report fleet.Option[fleet.TargetReport]) {
	if s.done && !w.chance(5) {
		return
	}
	if !s.done {
		s.done, s.status = true, outcome.Status
	}
	w.post(s.from, s.life, event.AttemptFinished{Attempt: s.attempt.ID, Outcome: outcome, Report: report})
}

// abandon models the cancel of an attempt: a message to the sidecar, and the end of the stream 200 ms later.
func (w *world) abandon(s *stream) {
	if s == nil || s.done {
		return
	}
	life := s.to.life
	canceled := event.AdmissionCanceled{Attempt: s.attempt.ID}
	if !w.cut[[2]int{s.from.index, s.to.index}] {
		w.after(w.delay(), func() { w.post(s.to, life, canceled) })
	}
	w.after(cancelWait, func() {
		if s.done {
			return
		}
		w.finish(s, problem(fleet.Canceled, fleet.MayHaveRun), fleet.Option[fleet.TargetReport]{})
		w.after(w.delay(), func() {
			if hd := s.to.handlers[s.attempt.ID]; hd != nil && s.to.life == life {
				hd.gone = true
				w.post(s.to, life, canceled)
			}
		})
	})
}

// arrive models the sidecar's handler.
func (w *world) arrive(s *stream, life int) {
	if s.to.down || s.to.life != life {
		return
	}
	if s.to.handlers[s.attempt.ID] != nil {
		w.reply(s, problem(fleet.Duplicate, fleet.MayHaveRun), fleet.Option[fleet.TargetReport]{})
		return
	}
	s.to.handlers[s.attempt.ID] = &handler{stream: s, life: life}
	w.post(s.to, life, event.AdmissionRequested{Attempt: s.attempt})
}

// serve carries out the effects of the sidecar.
func (w *world) serve(h *host, e effect.Effect) {
	switch e := e.(type) {
	case effect.StartRun:
		w.run(h, e)
	case effect.RefuseAttempt:
		if hd := h.handlers[e.Attempt]; hd != nil {
			delete(h.handlers, e.Attempt)
			w.reply(hd.stream, fleet.Outcome{Problem: fleet.Some(e.Problem)}, fleet.Some(e.Report))
		}
	case effect.CancelRun:
		w.ran(h, e.Attempt, h.life, problem(fleet.Canceled, fleet.MayHaveRun))
	case effect.AttachRunReport:
		w.report(h, e.Attempt, h.life, fleet.Some(e.Report))
	case effect.ReplayResponse:
		if hd := h.handlers[e.Attempt]; hd != nil {
			delete(h.handlers, e.Attempt)
			hd.stream.payload = e.Original
			w.reply(hd.stream, fleet.Outcome{Status: 200}, fleet.Option[fleet.TargetReport]{})
		}
	}
}

func (w *world) report(h *host, id fleet.AttemptID, life int, report fleet.Option[fleet.TargetReport]) {
	if hd := h.handlers[id]; hd != nil && h.life == life && !hd.running {
		delete(h.handlers, id)
		w.reply(hd.stream, hd.outcome, report)
	}
}

func (w *world) run(h *host, e effect.StartRun) {
	id, life := e.Attempt.ID, h.life
	hd := h.handlers[id]
	if hd == nil || hd.gone {
		delete(h.handlers, id)
		canceled := event.RunFinished{Attempt: id, Outcome: problem(fleet.Canceled, fleet.NotRun)}
		w.after(0, func() { w.post(h, life, canceled) })
		return
	}
	hd.running = true
	hd.stream.payload = id
	w.ledger.ran(id.Request())
	w.after(e.Attempt.Deadline.Sub(w.now), func() { w.ran(h, id, life, problem(fleet.DeadlinePassed, fleet.MayHaveRun)) })
	t := h.targets[e.Address[1]-'0']
	if t.frozen {
		return
	}
	outcome := fleet.Outcome{Status: 200, Duration: time.Duration(w.draw(int(50 * time.Millisecond)))}
	if t.failing && w.chance(50) {
		outcome = problem(fleet.TargetFailed, fleet.Ran)
		outcome.Status = 500
	}
	w.after(outcome.Duration, func() { w.ran(h, id, life, outcome) })
}

// ran ends a run on a target.
func (w *world) ran(h *host, id fleet.AttemptID, life int, outcome fleet.Outcome) {
	hd := h.handlers[id]
	if hd == nil || !hd.running || h.life != life {
		return
	}
	hd.running, hd.outcome = false, outcome
	w.after(reportWait, func() { w.report(h, id, life, fleet.Option[fleet.TargetReport]{}) })
	w.post(h, life, event.RunFinished{Attempt: id, Outcome: outcome})
}

// crashTarget ends a target's process with everything that runs on it. The next process announces itself.
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
		w.ran(h, id, h.life, outcome)
	}
}

// reply carries an answer back to the ingress, and may lose or truncate it.
func (w *world) reply(s *stream, outcome fleet.Outcome, report fleet.Option[fleet.TargetReport]) {
	if w.cut[[2]int{s.to.index, s.from.index}] || w.lossy && w.chance(30) {
		return
	}
	if w.chance(3) {
		outcome = problem(fleet.Broken, fleet.MayHaveRun)
	}
	w.after(w.delay(), func() { w.finish(s, outcome, report) })
}
