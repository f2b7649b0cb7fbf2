// Package node joins the parts of a node's decisions into one reducer.
//
// # Usage
//
//	state := node.New(record, node.DefaultSettings())
//	state, effects := state.Reduce(event.Event{At: now, Random: random, Body: event.Tick{}})
//
// Reduce is a pure function: the same events give the same states and effects, so a recorded sequence of events replays
// to the same state. Each file of this package hands the events of one concern to the part that decides on them.
package node

import (
	"jayfold.dev/jayfold/internal/core/admission"
	"jayfold.dev/jayfold/internal/core/attempt"
	"jayfold.dev/jayfold/internal/core/detection"
	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/ejection"
	"jayfold.dev/jayfold/internal/core/event"
	"jayfold.dev/jayfold/internal/core/fleet"
	"jayfold.dev/jayfold/internal/core/health"
	"jayfold.dev/jayfold/internal/core/membership"
	"jayfold.dev/jayfold/internal/core/orders"
	"jayfold.dev/jayfold/internal/core/quarantine"
	"jayfold.dev/jayfold/internal/core/routing"
	"jayfold.dev/jayfold/internal/core/tables"
)

// State is everything that one node knows. It is immutable, and so are the values behind its pointers: a step copies the state
// several times, and the parts that are large and change less often than requests come stay where they are.
type State struct {
	splits     routing.Splitter
	attempts   attempt.State
	admission  admission.State
	detection  detection.State
	health     health.State
	ejection   ejection.State
	membership *membership.State
	orders     orders.State
	quarantine quarantine.State
	tables     *tables.State
	shutdown   shutdown
}

// New returns the state of a node that has just started with the given member record.
func New(self fleet.Member, settings fleet.Settings) State {
	return State{
		attempts:   attempt.New(self.AvailabilityZone),
		admission:  admission.New(self.Node, settings),
		detection:  detection.New(),
		ejection:   ejection.New(self.Node),
		membership: new(membership.New(self)),
		orders:     orders.New(self.Node),
		quarantine: quarantine.New(),
		tables:     new(tables.New()),
		shutdown:   shutdown{grace: settings.StopGrace},
	}
}

// Reduce returns the state after an event and the effects of the event.
func (s State) Reduce(ev event.Event) (State, []effect.Effect) {
	next, effects := s.dispatch(ev)
	next, effects = next.settleOrders(effects)
	next = next.noteStarts(ev.At, effects).noteFailedCalls(effects)
	effects = s.observe(ev, effects)
	effects = s.explain(ev, next, next.stamp(effects))
	return next, effects
}

// stamp adds the node's incarnation and tables revision to everything that goes to another node.
func (s State) stamp(effects []effect.Effect) []effect.Effect {
	for i, e := range effects {
		switch e := e.(type) {
		case effect.SendMessage:
			e.Incarnation = s.Self().Incarnation
			e.Revision = s.Revision()
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

// dispatch hands an event to the concern it belongs to.
func (s State) dispatch(ev event.Event) (State, []effect.Effect) {
	switch body := ev.Body.(type) {
	case event.Tick:
		return s.tick(ev)
	case event.RequestTimerFired:
		return s.requestsDue(ev)
	case event.RequestArrived:
		return s.requestArrived(ev, body)
	case event.RequestCanceled:
		return s.requestCanceled(ev, body)
	case event.AttemptFinished:
		return s.attemptFinished(ev, body)
	case event.AdmissionRequested:
		return s.attemptAsked(ev, body)
	case event.AdmissionCanceled:
		return s.attemptCanceled(ev, body)
	case event.RunFinished:
		return s.runEnded(ev, body)
	case event.CrashChecked:
		return s.crashChecked(ev, body)
	case event.OrderClaimFinished:
		return s.orderClaimed(ev, body)
	case event.HeartbeatReceived:
		return s.targetAnnounced(ev, body)
	case event.TargetWithdrew:
		return s.targetWithdrawn(ev, body)
	case event.MessageReceived:
		return s.messageReceived(ev, body)
	case event.MessageSendFailed:
		return s.sendFailed(body)
	case event.PeerRevisionSeen:
		return s.revisionSeen(ev, body)
	default:
		return s.dispatchProcess(ev)
	}
}

// dispatchProcess hands an event that concerns the process itself to its concern. All others come from the platform.
func (s State) dispatchProcess(ev event.Event) (State, []effect.Effect) {
	switch body := ev.Body.(type) {
	case event.ShutdownRequested:
		return s.shutdownStarted(ev)
	case event.CallersDrained:
		s.shutdown = s.shutdown.callersClosed()
		return s, nil
	case event.SettingsReloaded:
		return s.settingsRead(body)
	case event.SettingsRejected:
		return s.settingsRejected(body)
	case event.StatusRequested:
		return s, []effect.Effect{effect.ReplyStatus{QueryID: body.QueryID, Status: s.Status(ev.At)}}
	default:
		return s.platformAnswered(ev)
	}
}

// withMembership returns the state with another membership, beside the effects of that step.
func (s State) withMembership(next membership.State, effects []effect.Effect) (State, []effect.Effect) {
	s.membership = &next
	return s, effects
}

// withTables is the same for the tables.
func (s State) withTables(next tables.State, effects []effect.Effect) (State, []effect.Effect) {
	s.tables = &next
	return s, effects
}

// Revision returns the tables revision in force on this node.
func (s State) Revision() fleet.Revision { return s.tables.Current().Revision }

// Self returns the node's own member record.
func (s State) Self() fleet.Member { return s.membership.Self() }
