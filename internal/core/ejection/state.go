// Package ejection takes failing targets of one host out of service, under in-service leases from healthy targets of the same
// pool, so that ejections never take a pool below its floor.
//
// # Usage
//
//	state := ejection.New(self)
//	state, effects := state.TargetFailing(ctx, target)
//	service := state.ServiceState(now, target)
//
// # Invariant
//
// Whenever Ejected reports true for a target, at least Floor other targets of its pool have each granted it a lease that has
// not expired. A target is not ejected by its sidecar while it has granted a lease: it accepts attempts unless it crashes or
// drains. It was healthy when it granted the lease, at most one lease duration ago. The grant outlives the requester's lease:
// the requester counts the duration from the time it sent the request, the grantor from the time it received it, and the
// requester subtracts driftMargin.
//
// A target in service that the outlier detector finds failing sends lease requests to several targets of the pool at once. With
// enough grants it is ejected. If too many replies come from targets that are suspect themselves, the pool fails as a whole and
// the target stays in service.
package ejection

import (
	"time"

	"jayfold.dev/jayfold/internal/core/admission"
	"jayfold.dev/jayfold/internal/core/detection"
	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/fleet"
	"jayfold.dev/jayfold/internal/core/message"
)

// State holds the leases requested and granted by the targets of one host, and which of these targets are ejected.
type State struct {
	self fleet.NodeID
	// started is the time of the first event.
	started  time.Time
	draining bool
	// requestNumber is the number of the last lease request. It starts at a random value, so that replies to requests that this
	// node sent before a restart match none.
	requestNumber uint64
	targets       fleet.Map[fleet.TargetID, localTarget]
	grants        fleet.Map[fleet.TargetID, fleet.Map[fleet.TargetID, grant]]
}

// Context provides the state of the node's other components for an event.
type Context struct {
	Now       time.Time
	Random    uint64
	Tables    fleet.Tables
	Directory fleet.Directory
	// LocalTargets lists the targets on this host.
	LocalTargets []fleet.Target
	// PeerAddress returns the address for messages to a node.
	PeerAddress func(fleet.NodeID) (string, bool)
	// Evidence returns the outlier detector's evidence on a local target.
	Evidence func(fleet.TargetID) detection.Evidence
}

// New returns the state of a node that has just started.
func New(self fleet.NodeID) State { return State{self: self} }

// TargetFailing requests leases for the ejection of a local target that the outlier detector finds failing, and recalls the
// leases that it has granted to healthier targets.
func (s State) TargetFailing(ctx Context, id fleet.TargetID) (State, []effect.Effect) {
	s, effects := s.refresh(ctx)
	t, ok := ctx.readyTarget(id)
	if !ok || s.draining {
		return s, effects
	}
	l, _ := s.targets.Get(id)
	if l.phase == ejected {
		return s, effects
	}
	l.pool = t.Pool
	l.failedAt = ctx.Now
	l.retrying = true
	l.evidence = ctx.Evidence(id)
	s.targets = s.targets.With(id, l)
	s, recalled := s.recallLeases(ctx, id)
	s, started := s.startRound(ctx, id)
	return s, concat(effects, recalled, started)
}

// MessageReceived handles a lease message. A message on behalf of a target that is not on the sender's host is dropped.
func (s State) MessageReceived(ctx Context, from fleet.NodeID, m message.Message) (State, []effect.Effect) {
	s, effects := s.refresh(ctx)
	s, more := s.handleMessage(ctx, from, m)
	return s, concat(effects, more)
}

func (s State) handleMessage(ctx Context, from fleet.NodeID, m message.Message) (State, []effect.Effect) {
	switch m := m.(type) {
	case message.LeaseRequest:
		if m.Requester.Node() == from {
			return s.leaseRequested(ctx, m)
		}
	case message.LeaseRelease:
		if m.Requester.Node() == from {
			return s.leaseReleased(m), nil
		}
	case message.LeaseGrant:
		if m.Grantor.Node() == from {
			return s.leaseGranted(ctx, m)
		}
	case message.LeaseRefusal:
		if m.Grantor.Node() == from {
			return s.leaseRefused(ctx, m)
		}
	case message.LeaseRecall:
		if m.Grantor.Node() == from {
			return s.leaseRecalled(ctx, m)
		}
	}
	return s, nil
}

// Tick renews leases, decides rounds of lease requests that are due, and ends ejections whose leases have expired.
func (s State) Tick(ctx Context) (State, []effect.Effect) {
	s, effects := s.refresh(ctx)
	for id := range s.targets.All() {
		next, more := s.tickTarget(ctx, id)
		s = next
		effects = append(effects, more...)
	}
	return s.withoutExpiredGrants(ctx.Now), effects
}

func (s State) tickTarget(ctx Context, id fleet.TargetID) (State, []effect.Effect) {
	l, _ := s.targets.Get(id)
	switch {
	case l.phase == ejected:
		return s.renewLeases(ctx, id)
	case l.phase == requesting:
		return s.decideRound(ctx, id)
	case l.retrying && ctx.Now.Sub(l.failedAt) >= retryWindow:
		l.retrying = false
		s.targets = s.targets.With(id, l)
	case l.retrying:
		return s.startRound(ctx, id)
	case l.isForgettable(ctx.Now):
		s.targets = s.targets.Without(id)
	}
	return s, nil
}

// ServiceState returns the service state of a local target, which tells admission which attempts it may take.
func (s State) ServiceState(now time.Time, id fleet.TargetID) admission.ServiceState {
	l, _ := s.targets.Get(id)
	switch {
	case !l.isEjected(now):
		return admission.InService
	case l.recovery.trialDue(now):
		return admission.TrialDue
	default:
		return admission.OutOfService
	}
}

// Ejected reports whether a local target is ejected. Leases that have expired by now do not count.
func (s State) Ejected(now time.Time, id fleet.TargetID) bool {
	l, _ := s.targets.Get(id)
	return l.isEjected(now)
}

// DrainStarted releases all leases and stops granting, since the node is leaving.
func (s State) DrainStarted(ctx Context) (State, []effect.Effect) {
	s.draining = true
	return s.refresh(ctx)
}

// refresh ends ejections whose leases have expired or whose target is draining, and applies the floors of the tables in force.
func (s State) refresh(ctx Context) (State, []effect.Effect) {
	if s.started.IsZero() {
		s.started = ctx.Now
		s.requestNumber = ctx.Random >> 1
	}
	var effects []effect.Effect
	for id := range s.targets.All() {
		next, more := s.refreshTarget(ctx, id)
		s = next
		effects = append(effects, more...)
	}
	return s, effects
}

func (s State) refreshTarget(ctx Context, id fleet.TargetID) (State, []effect.Effect) {
	l, _ := s.targets.Get(id)
	if _, ok := ctx.readyTarget(id); !ok || s.draining {
		return s.removeTarget(ctx, id, l)
	}
	if pool, ok := ctx.Tables.Pool(l.pool); ok && pool.Floor != l.floor {
		l.floor = pool.Floor
		s.targets = s.targets.With(id, l)
	}
	if l.phase != ejected || l.isEjected(ctx.Now) {
		return s, nil
	}
	return s.returnToService(ctx, id, "too few leases")
}

// removeTarget releases the leases of a target that is draining or absent and removes it.
func (s State) removeTarget(ctx Context, id fleet.TargetID, l localTarget) (State, []effect.Effect) {
	var effects []effect.Effect
	if l.phase == ejected {
		s, effects = s.returnToService(ctx, id, "target is leaving")
	}
	s, more := s.releaseLeases(ctx, id)
	s.targets = s.targets.Without(id)
	return s, concat(effects, more)
}

// readyTarget returns the local target with the given id unless it is draining.
func (ctx Context) readyTarget(id fleet.TargetID) (fleet.Target, bool) {
	for _, t := range ctx.LocalTargets {
		if t.ID == id {
			return t, t.State == fleet.TargetReady
		}
	}
	return fleet.Target{}, false
}

// deliver sends a message to a node, or handles it at once if the node is this one.
func (s State) deliver(ctx Context, to fleet.NodeID, m message.Message) (State, []effect.Effect) {
	if to == s.self {
		return s.handleMessage(ctx, s.self, m)
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
