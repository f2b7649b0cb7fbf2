// Package node combines the components of a node, such as admission and membership, into one reducer.
//
// # Usage
//
//	state := node.New(record, node.DefaultSettings())
//	state, effects := state.Reduce(event.Event{At: now, Random: random, Body: event.Tick{}})
//
// Reduce is a pure function: the same events yield the same states and effects, so replaying recorded events yields the same
// state. Each file of this package passes the events of one concern to the component that handles them.
package node

import (
	"jayfold.dev/jayfold/internal/core/admission"
	"jayfold.dev/jayfold/internal/core/attempt"
	"jayfold.dev/jayfold/internal/core/detection"
	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/ejection"
	"jayfold.dev/jayfold/internal/core/epoch"
	"jayfold.dev/jayfold/internal/core/event"
	"jayfold.dev/jayfold/internal/core/fleet"
	"jayfold.dev/jayfold/internal/core/health"
	"jayfold.dev/jayfold/internal/core/membership"
	"jayfold.dev/jayfold/internal/core/orders"
	"jayfold.dev/jayfold/internal/core/quarantine"
	"jayfold.dev/jayfold/internal/core/routing"
	"jayfold.dev/jayfold/internal/core/tables"
	"jayfold.dev/jayfold/internal/core/usage"
)

// State is the state of one node. It is immutable, and so are the values behind its pointers. A step, which is one call of
// Reduce, copies the state several times, so large components that rarely change are stored as pointers.
type State struct {
	splitter    routing.Splitter
	attempts    attempt.State
	admission   admission.State
	detection   detection.State
	health      health.State
	ejection    ejection.State
	membership  *membership.State
	orders      orders.State
	quarantine  quarantine.State
	usage       *usage.State
	tables      *tables.State
	epoch       epoch.State
	firstTables firstTables
	shutdown    shutdown
	// meteredZones is true if bytes between availability zones are expensive.
	meteredZones bool
	// pendingAcks holds the calls of leaving targets that have no reply yet.
	pendingAcks []pendingAck
}

// New returns the initial state of a node with the given member record.
func New(self fleet.Member, settings fleet.Settings) State {
	return State{
		attempts: attempt.New(self.AvailabilityZone).WithMeteredZones(settings.MeteredZones).
			WithPlacement(settings.Placement),
		admission:  admission.New(self.Node, settings),
		detection:  detection.New(),
		ejection:   ejection.New(self.Node),
		membership: new(membership.New(self).WithMeteredZones(settings.MeteredZones)),
		orders:     orders.New(self.Node),
		quarantine: quarantine.New(),
		usage:      new(usage.New(self.Node, self.AvailabilityZone)),
		tables:     new(tables.New()),
		epoch:      epoch.New(),
		shutdown:   shutdown{grace: settings.StopGrace},

		meteredZones: settings.MeteredZones,
	}
}

// Reduce returns the state after an event and the effects to execute.
func (s State) Reduce(ev event.Event) (State, []effect.Effect) {
	next, effects := s.dispatch(ev)
	next, effects = next.returnTokens(ev, effects)
	next, effects = next.recordRefusedOrders(effects)
	next = next.recordRunStarts(ev.At, effects).recordEndedChildren(ev.At, effects)
	effects = s.appendMetrics(ev, effects)
	effects = s.appendLogLines(ev, next, next.setSenderFields(effects))
	return next, effects
}

// setSenderFields sets this node's incarnation, tables revision and epoch in all effects that go to another node.
func (s State) setSenderFields(effects []effect.Effect) []effect.Effect {
	for i, e := range effects {
		switch e := e.(type) {
		case effect.SendMessage:
			e.Incarnation = s.Self().Incarnation
			e.Revision = s.Revision()
			e.Message = withEpoch(e.Message, s.epoch.Current())
			effects[i] = e
		case effect.ForwardAttempt:
			e.Revision = s.Revision()
			effects[i] = e
		case effect.RefuseAttempt:
			e.Report.Revision = s.Revision()
			effects[i] = e
		case effect.AttachRunReport:
			e.Report.Revision = s.Revision()
			effects[i] = e
		}
	}
	return effects
}

// dispatch passes an event to the method that handles it.
func (s State) dispatch(ev event.Event) (State, []effect.Effect) {
	switch body := ev.Body.(type) {
	case event.Tick:
		return s.tick(ev)
	case event.RequestTimerFired:
		return s.requestTimerFired(ev)
	case event.RequestArrived:
		return s.requestArrived(ev, body)
	case event.RequestCanceled:
		return s.requestCanceled(ev, body)
	case event.AttemptFinished:
		return s.attemptFinished(ev, body)
	case event.AdmissionRequested:
		return s.admissionRequested(ev, body)
	case event.AdmissionCanceled:
		return s.admissionCanceled(ev, body)
	case event.RunFinished:
		return s.runFinished(ev, body)
	case event.CrashChecked:
		return s.crashChecked(ev, body)
	case event.OrderClaimFinished:
		return s.orderClaimFinished(ev, body)
	case event.HeartbeatReceived:
		return s.heartbeatReceived(ev, body)
	case event.TargetWithdrew:
		return s.targetWithdrew(ev, body)
	case event.MessageReceived:
		return s.messageReceived(ev, body)
	case event.MessageSendFailed:
		return s.messageSendFailed(ev, body)
	case event.PeerRevisionSeen:
		return s.peerRevisionSeen(ev, body)
	default:
		return s.dispatchProcess(ev)
	}
}

// dispatchProcess handles the events of the process itself and passes all others on to dispatchPlatform.
func (s State) dispatchProcess(ev event.Event) (State, []effect.Effect) {
	switch body := ev.Body.(type) {
	case event.ShutdownRequested:
		return s.shutdownRequested(ev)
	case event.CallersDrained:
		s.shutdown = s.shutdown.withCallersDrained()
		return s, nil
	case event.SettingsReloaded:
		return s.settingsReloaded(body)
	case event.SettingsRejected:
		return s.settingsRejected(body)
	case event.StatusRequested:
		return s, []effect.Effect{effect.ReplyStatus{QueryID: body.QueryID, Status: s.Status(ev.At)}}
	default:
		return s.dispatchPlatform(ev)
	}
}

// withMembership returns the state with another membership, along with the effects of the change.
func (s State) withMembership(next membership.State, effects []effect.Effect) (State, []effect.Effect) {
	s.membership = &next
	return s, effects
}

// withTables returns the state with other tables, along with the effects of the change.
func (s State) withTables(next tables.State, effects []effect.Effect) (State, []effect.Effect) {
	s.tables = &next
	return s, effects
}

// Revision returns the tables revision in force on this node.
func (s State) Revision() fleet.Revision { return s.tables.Current().Revision }

// Self returns the node's own member record.
func (s State) Self() fleet.Member { return s.membership.Self() }
