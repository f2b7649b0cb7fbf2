// Package ejection takes failing targets of one host out of service, under in-service leases from healthy targets of the
// same pool, so that ejections never take a pool below its floor.
//
// # Usage
//
//	state := ejection.New(self)
//	state, effects := state.Failing(ctx, target)
//	gate := state.Gate(now, target)
//
// # What holds
//
// Whenever Ejected is true of a target, at least Floor other targets of its pool each hold a live promise to it. A target
// with a live promise is not ejected by its sidecar: it takes work unless it crashed or drains. It was healthy when it
// gave the promise, at most one lease duration ago. The promise outlives the asker's lease because the asker counts from
// the time it sent the request, the grantor from the time it received it, and the asker subtracts driftMargin.
//
// A target in service that its detector finds failing asks a number of targets of the pool at once. Their answers decide:
// enough grants eject it; too many answers from targets that are suspect themselves mean that the pool fails as a whole,
// and the target stays in service.
package ejection

import (
	"time"

	"jayfold.dev/jayfold/internal/core/admission"
	"jayfold.dev/jayfold/internal/core/detection"
	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/fleet"
	"jayfold.dev/jayfold/internal/core/message"
)

// State holds the leases asked for and granted by the targets of one host, and which of them are ejected.
type State struct {
	self fleet.NodeID
	// started is the time of the first event.
	started  time.Time
	draining bool
	// number is that of the last lease request. It starts at random, so that answers to requests of an earlier life of
	// this node match nothing.
	number   uint64
	targets  fleet.Map[fleet.TargetID, local]
	promises fleet.Map[fleet.TargetID, fleet.Map[fleet.TargetID, promise]]
}

// Context is what the ejection part is given with each event.
type Context struct {
	Now       time.Time
	Random    uint64
	Tables    fleet.Tables
	Directory fleet.Directory
	// LocalTargets are the targets on this host.
	LocalTargets []fleet.Target
	// PeerAddress gives the address for messages to a node.
	PeerAddress func(fleet.NodeID) (string, bool)
	// Evidence gives what the detector has on a local target.
	Evidence func(fleet.TargetID) detection.Evidence
}

// New returns the state of a node that has just started.
func New(self fleet.NodeID) State { return State{self: self} }

// TargetFailing starts the ejection of a local target.
func (s State) TargetFailing(ctx Context, id fleet.TargetID) (State, []effect.Effect) {
	s, effects := s.current(ctx)
	t, ok := ctx.ready(id)
	if !ok || s.draining {
		return s, effects
	}
	l, _ := s.targets.Get(id)
	if l.phase == ejected {
		return s, effects
	}
	l.pool = t.Pool
	l.failedAt = ctx.Now
	l.retry = true
	l.evidence = ctx.Evidence(id)
	s.targets = s.targets.With(id, l)
	s, recalled := s.recall(ctx, id)
	s, asked := s.ask(ctx, id)
	return s, concat(effects, recalled, asked)
}

// MessageReceived handles a lease message. A message that speaks for a target of another node than its sender is dropped.
func (s State) MessageReceived(ctx Context, from fleet.NodeID, m message.Message) (State, []effect.Effect) {
	s, effects := s.current(ctx)
	s, more := s.received(ctx, from, m)
	return s, concat(effects, more)
}

func (s State) received(ctx Context, from fleet.NodeID, m message.Message) (State, []effect.Effect) {
	switch m := m.(type) {
	case message.LeaseRequest:
		if m.Requester.Node() == from {
			return s.requested(ctx, m)
		}
	case message.LeaseRelease:
		if m.Requester.Node() == from {
			return s.released(m), nil
		}
	case message.LeaseGrant:
		if m.Grantor.Node() == from {
			return s.granted(ctx, m)
		}
	case message.LeaseRefusal:
		if m.Grantor.Node() == from {
			return s.refused(ctx, m)
		}
	case message.LeaseRecall:
		if m.Grantor.Node() == from {
			return s.recalled(ctx, m)
		}
	}
	return s, nil
}

// Tick renews leases and ends ejections whose leases ran out.
func (s State) Tick(ctx Context) (State, []effect.Effect) {
	s, effects := s.current(ctx)
	for id := range s.targets.All() {
		next, more := s.tickTarget(ctx, id)
		s = next
		effects = append(effects, more...)
	}
	return s.withoutExpired(ctx.Now), effects
}

func (s State) tickTarget(ctx Context, id fleet.TargetID) (State, []effect.Effect) {
	l, _ := s.targets.Get(id)
	switch {
	case l.phase == ejected:
		return s.renew(ctx, id)
	case l.phase == asking:
		return s.decide(ctx, id)
	case l.retry && ctx.Now.Sub(l.failedAt) >= retryTime:
		l.retry = false
		s.targets = s.targets.With(id, l)
	case l.retry:
		return s.ask(ctx, id)
	case l.forgettable(ctx.Now):
		s.targets = s.targets.Without(id)
	}
	return s, nil
}

// Gate says which attempts a target takes.
func (s State) Gate(now time.Time, id fleet.TargetID) admission.Gate {
	l, _ := s.targets.Get(id)
	switch {
	case !l.ejected(now):
		return admission.GateOpen
	case l.recovery.due(now):
		return admission.GateTrial
	default:
		return admission.GateClosed
	}
}

// Ejected reports whether a local target is ejected. It is judged by the age of the leases at the time now.
func (s State) Ejected(now time.Time, id fleet.TargetID) bool {
	l, _ := s.targets.Get(id)
	return l.ejected(now)
}

// DrainStarted releases and grants no lease from now on, since the node is leaving.
func (s State) DrainStarted(ctx Context) (State, []effect.Effect) {
	s.draining = true
	return s.current(ctx)
}

// current returns the state with everything that the time and the context alone decide: ejections whose leases ran out or
// whose target drains have ended.
func (s State) current(ctx Context) (State, []effect.Effect) {
	if s.started.IsZero() {
		s.started = ctx.Now
		s.number = ctx.Random >> 1
	}
	var effects []effect.Effect
	for id := range s.targets.All() {
		next, more := s.currentTarget(ctx, id)
		s = next
		effects = append(effects, more...)
	}
	return s, effects
}

func (s State) currentTarget(ctx Context, id fleet.TargetID) (State, []effect.Effect) {
	l, _ := s.targets.Get(id)
	if _, ok := ctx.ready(id); !ok || s.draining {
		return s.leave(ctx, id, l)
	}
	if pool, ok := ctx.Tables.Pool(l.pool); ok && pool.Floor != l.floor {
		l.floor = pool.Floor
		s.targets = s.targets.With(id, l)
	}
	if l.phase != ejected || l.ejected(ctx.Now) {
		return s, nil
	}
	return s.returned(ctx, id, "too few leases")
}

// leave forgets a target that is draining or gone.
func (s State) leave(ctx Context, id fleet.TargetID, l local) (State, []effect.Effect) {
	var effects []effect.Effect
	if l.phase == ejected {
		s, effects = s.returned(ctx, id, "target is leaving")
	}
	s, more := s.releaseAll(ctx, id)
	s.targets = s.targets.Without(id)
	return s, concat(effects, more)
}

// ready returns the local target with the given id unless it is draining.
func (ctx Context) ready(id fleet.TargetID) (fleet.Target, bool) {
	for _, t := range ctx.LocalTargets {
		if t.ID == id {
			return t, t.State == fleet.TargetReady
		}
	}
	return fleet.Target{}, false
}

// deliver hands a message to the node of a target, which may be this one.
func (s State) deliver(ctx Context, to fleet.NodeID, m message.Message) (State, []effect.Effect) {
	if to == s.self {
		return s.received(ctx, s.self, m)
	}
	address, ok := ctx.PeerAddress(to)
	if !ok {
		return s, nil
	}
	return s, []effect.Effect{effect.SendMessage{To: to, Address: address, Message: m}}
}

func concat(lists ...[]effect.Effect) []effect.Effect {
	var all []effect.Effect
	for _, list := range lists {
		all = append(all, list...)
	}
	return all
}
