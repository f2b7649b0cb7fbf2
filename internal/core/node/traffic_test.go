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

// The client accounts of the simulation. Every fourth request belongs to the one with a rate limit. The names are the keys.
const (
	limitedAccount   fleet.AccountName = "limited"
	unlimitedAccount fleet.AccountName = "unlimited"
)

// credentialOf returns the key of the request with the given number.
func credentialOf(number int) fleet.Credential {
	if number%4 == 0 {
		return fleet.NewCredential([]string{string(limitedAccount)})
	}
	return fleet.NewCredential([]string{string(unlimitedAccount)})
}

// withSimulatedAccounts returns the tables with the client accounts of the simulation.
func withSimulatedAccounts(tables fleet.Tables) fleet.Tables {
	for _, a := range []fleet.Account{{Name: limitedAccount, Rate: 20, Burst: 10}, {Name: unlimitedAccount}} {
		a.Keys = []fleet.KeyHash{fleet.HashKey(string(a.Name))}
		tables.Accounts = tables.Accounts.With(a.Name, a)
	}
	return tables
}

// request sends a caller's request to a node, unless the node is down or paused.
func (sim *simulation) request(h *host, class fleet.Class, key fleet.IdempotencyKey, timeout time.Duration) {
	if h.down || h.paused {
		return
	}
	id := fleet.RequestID(fmt.Sprintf("r%d", sim.ledger.count))
	limit := time.Second
	if timeout > 0 {
		limit = min(limit, timeout)
	}
	sim.ledger.requestSent(id, h, class != fleet.Order && key == "", sim.now.Add(limit))
	request := sim.withKey(h, fleet.Request{
		ID: id, Method: "GET", Path: "/" + class.String(), Key: key, Timeout: timeout, Fingerprint: fleet.Fingerprint(sim.ledger.count),
	})
	if sim.keys == nil {
		request.Credential = credentialOf(sim.ledger.count)
	}
	sim.post(h, h.incarnation, event.RequestArrived{Request: request})
}

// cancel ends a request because its caller disconnected. The edge also cancels the attempts.
func (sim *simulation) cancel(e *entry) {
	e.ended = true
	sim.post(e.host, e.incarnation, event.RequestCanceled{Request: e.id})
	for n := 1; n <= 8; n++ {
		sim.cancelAttempt(e.host.streams[fleet.NewAttemptID(e.id, n)])
	}
}

// forward models peer.Forwarder: an attempt that was certainly not sent is NotRun; one without a response is MayHaveRun.
func (sim *simulation) forward(h *host, a fleet.Attempt) {
	s := &stream{attempt: a, from: h, to: sim.hosts[a.Node[1]-'0'], incarnation: h.incarnation}
	h.streams[a.ID] = s
	none := fleet.Option[fleet.TargetReport]{}
	sim.after(a.Deadline.Add(streamGrace).Sub(sim.now), func() { sim.finish(s, problem(fleet.Broken, fleet.MayHaveRun), none) })
	blocked := s.to.down || sim.cut[[2]int{h.index, s.to.index}]
	if (blocked || s.to.paused && !a.Idempotent) && sim.chance(80) {
		sim.after(sim.delay(), func() { sim.finish(s, problem(fleet.Unreachable, fleet.NotRun), none) })
		return
	}
	if blocked {
		sim.after(sim.delay()+time.Duration(sim.draw(int(time.Second))), func() {
			sim.finish(s, problem(fleet.Broken, fleet.MayHaveRun), none)
		})
		return
	}
	incarnation := s.to.incarnation
	for copies := 1 + sim.draw(10)/9; copies > 0; copies-- {
		sim.after(sim.delay(), func() { sim.arrive(s, incarnation) })
	}
}

// finish ends a stream at the ingress. If the stream has already ended, the outcome is mostly dropped here and sometimes posted
// to the reducer, which must drop it.
func (sim *simulation) finish(s *stream, outcome fleet.Outcome, report fleet.Option[fleet.TargetReport]) {
	if s.done && !sim.chance(5) {
		return
	}
	if !s.done {
		s.done, s.status = true, outcome.Status
	}
	sim.post(s.from, s.incarnation, event.AttemptFinished{Attempt: s.attempt.ID, Outcome: outcome, Report: report})
}

// cancelAttempt models the cancellation of an attempt: a message to the sidecar, and the end of the stream 200 ms later.
func (sim *simulation) cancelAttempt(s *stream) {
	if s == nil || s.done {
		return
	}
	incarnation := s.to.incarnation
	canceled := event.AdmissionCanceled{Attempt: s.attempt.ID}
	if !sim.cut[[2]int{s.from.index, s.to.index}] {
		sim.after(sim.delay(), func() { sim.post(s.to, incarnation, canceled) })
	}
	sim.after(cancelWait, func() {
		if s.done {
			return
		}
		sim.finish(s, problem(fleet.Canceled, fleet.MayHaveRun), fleet.Option[fleet.TargetReport]{})
		sim.after(sim.delay(), func() {
			if hd := s.to.handlers[s.attempt.ID]; hd != nil && s.to.incarnation == incarnation {
				hd.canceled = true
				sim.post(s.to, incarnation, canceled)
			}
		})
	})
}

// arrive models the sidecar's handler for a new attempt.
func (sim *simulation) arrive(s *stream, incarnation int) {
	if s.to.down || s.to.incarnation != incarnation {
		return
	}
	if s.to.handlers[s.attempt.ID] != nil {
		sim.respond(s, problem(fleet.Duplicate, fleet.MayHaveRun), fleet.Option[fleet.TargetReport]{})
		return
	}
	s.to.handlers[s.attempt.ID] = &handler{stream: s, incarnation: incarnation}
	sim.post(s.to, incarnation, event.AdmissionRequested{Attempt: s.attempt})
}

// executeSidecar executes the effects of the sidecar.
func (sim *simulation) executeSidecar(h *host, e effect.Effect) {
	switch e := e.(type) {
	case effect.StartRun:
		sim.run(h, e)
	case effect.RefuseAttempt:
		if hd := h.handlers[e.Attempt]; hd != nil {
			delete(h.handlers, e.Attempt)
			sim.respond(hd.stream, fleet.Outcome{Problem: fleet.Some(e.Problem)}, fleet.Some(e.Report))
		}
	case effect.CancelRun:
		sim.finishRun(h, e.Attempt, h.incarnation, problem(fleet.Canceled, fleet.MayHaveRun))
	case effect.AttachRunReport:
		sim.finishHandler(h, e.Attempt, h.incarnation, fleet.Some(e.Report))
	case effect.ReplayResponse:
		if hd := h.handlers[e.Attempt]; hd != nil {
			delete(h.handlers, e.Attempt)
			hd.stream.payload = e.Original
			sim.respond(hd.stream, fleet.Outcome{Status: 200}, fleet.Option[fleet.TargetReport]{})
		}
	}
}

func (sim *simulation) finishHandler(h *host, id fleet.AttemptID, incarnation int, report fleet.Option[fleet.TargetReport]) {
	if hd := h.handlers[id]; hd != nil && h.incarnation == incarnation && !hd.running {
		delete(h.handlers, id)
		sim.respond(hd.stream, hd.outcome, report)
	}
}

func (sim *simulation) run(h *host, e effect.StartRun) {
	id, incarnation := e.Attempt.ID, h.incarnation
	hd := h.handlers[id]
	if hd == nil || hd.canceled {
		delete(h.handlers, id)
		canceled := event.RunFinished{Attempt: id, Outcome: problem(fleet.Canceled, fleet.NotRun)}
		sim.after(0, func() { sim.post(h, incarnation, canceled) })
		return
	}
	hd.running = true
	hd.stream.payload = id
	sim.ledger.runStarted(id.Request())
	sim.after(e.Attempt.Deadline.Sub(sim.now), func() {
		sim.finishRun(h, id, incarnation, problem(fleet.DeadlinePassed, fleet.MayHaveRun))
	})
	t := h.targets[e.Address[1]-'0']
	if t.frozen {
		return
	}
	outcome := fleet.Outcome{Status: 200, Duration: time.Duration(sim.draw(int(50 * time.Millisecond)))}
	if t.failing && sim.chance(50) {
		outcome = problem(fleet.TargetFailed, fleet.Ran)
		outcome.Status = 500
	}
	sim.after(outcome.Duration, func() { sim.finishRun(h, id, incarnation, outcome) })
}

// finishRun ends a run on a target.
func (sim *simulation) finishRun(h *host, id fleet.AttemptID, incarnation int, outcome fleet.Outcome) {
	hd := h.handlers[id]
	if hd == nil || !hd.running || h.incarnation != incarnation {
		return
	}
	hd.running, hd.outcome = false, outcome
	sim.after(reportWait, func() {
		// A late copy of the attempt may have a handler of its own by then.
		if h.handlers[id] == hd {
			sim.finishHandler(h, id, incarnation, fleet.Option[fleet.TargetReport]{})
		}
	})
	sim.post(h, incarnation, event.RunFinished{Attempt: id, Outcome: outcome})
}

// crashTarget ends a target's process and its runs. The target's next heartbeat names a new instance.
func (sim *simulation) crashTarget(h *host, t *target) {
	t.instance++
	t.frozen = false
	for _, id := range slices.Sorted(maps.Keys(h.handlers)) {
		hd := h.handlers[id]
		if hd == nil || !hd.running || hd.stream.attempt.Target != fleet.NewTargetID(h.id, t.name) {
			continue
		}
		outcome := problem(fleet.Broken, fleet.MayHaveRun)
		outcome.TargetCrashed = true
		sim.finishRun(h, id, h.incarnation, outcome)
	}
}

// respond sends a response to the ingress. The response may be lost or truncated.
func (sim *simulation) respond(s *stream, outcome fleet.Outcome, report fleet.Option[fleet.TargetReport]) {
	if sim.cut[[2]int{s.to.index, s.from.index}] || sim.lossy && sim.chance(30) {
		return
	}
	if sim.chance(3) {
		outcome = problem(fleet.Broken, fleet.MayHaveRun)
	}
	sim.after(sim.delay(), func() { sim.finish(s, outcome, report) })
}
