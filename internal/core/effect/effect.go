// Package effect holds everything that a node can do, one struct per effect.
//
// # Usage
//
// The reducer returns effects as data, in the order in which they are to be carried out. The control loop hands each to
// the edge that carries it out; what comes of it returns as an event:
//
//	for _, e := range effects {
//		dispatch(e)
//	}
package effect

import (
	"jayfold.dev/jayfold/internal/core/fleet"
	"jayfold.dev/jayfold/internal/core/message"
)

// Effect is one of the effect structs of this package.
type Effect interface{ isEffect() }

// ForwardAttempt sends an attempt to the node on its target's host.
type ForwardAttempt struct {
	Attempt fleet.Attempt
	// Revision is this node's tables revision.
	Revision fleet.Revision
	// CrossZone means that the target is in another availability zone, where bytes that are sent in vain are dear.
	CrossZone bool
}

// RelayResponse passes the answer of an attempt on to the caller.
type RelayResponse struct {
	Request fleet.RequestID
	Attempt fleet.AttemptID
	// Parent is the request that makes this one, where it is a call that names it.
	Parent fleet.RequestID
	// ServerError means that the answer is a server error of the target.
	ServerError bool
}

// RefuseRequest answers a caller with a problem.
type RefuseRequest struct {
	Request fleet.RequestID
	Problem fleet.Problem
	// Parent is the request that makes this one, where it is a call that names it.
	Parent fleet.RequestID
}

// CancelAttempt cancels an attempt whose answer is no longer wanted.
type CancelAttempt struct {
	Attempt fleet.AttemptID
}

// StartRun starts an admitted attempt on a target of this host.
type StartRun struct {
	Attempt fleet.Attempt
	// Address is the target's address.
	Address string
	// Connections is the most connections that the target allows.
	Connections int
}

// RefuseAttempt answers an ingress without running its attempt.
type RefuseAttempt struct {
	Attempt fleet.AttemptID
	Problem fleet.Problem
	Report  fleet.TargetReport
}

// CancelRun cancels an attempt that runs on a target of this host.
type CancelRun struct {
	Attempt fleet.AttemptID
}

// AttachRunReport gives the report that goes with the answer of a finished run.
type AttachRunReport struct {
	Attempt fleet.AttemptID
	Report  fleet.TargetReport
}

// SendMessage hands a message to another node.
type SendMessage struct {
	To      fleet.NodeID
	Address string
	Message message.Message
	// Incarnation and Revision are this node's own; the root reducer sets them.
	Incarnation fleet.Incarnation
	Revision    fleet.Revision
}

// SetTables gives the edges the revision in force.
type SetTables struct {
	Tables fleet.Tables
}

// SetSettings gives the edges the settings in force.
type SetSettings struct {
	Settings fleet.Settings
}

// SetReadiness says whether callers should use this node. One that has no tables yet could not serve them.
type SetReadiness struct {
	Ready bool
	// Leaving means that the node is about to stop and that connections of callers should end with their next answer.
	Leaving bool
}

// DrainCallers takes no new request of callers; those in flight finish. Event: event.CallersClosed.
type DrainCallers struct{}

// StopProcess ends the process: nothing is in flight any more.
type StopProcess struct{}

// ReplyStatus answers event.StatusAsked.
type ReplyStatus struct {
	QueryID uint64
	Status  NodeStatus
}

func (ForwardAttempt) isEffect()  {}
func (RelayResponse) isEffect()   {}
func (RefuseRequest) isEffect()   {}
func (CancelAttempt) isEffect()   {}
func (StartRun) isEffect()        {}
func (RefuseAttempt) isEffect()   {}
func (CancelRun) isEffect()       {}
func (AttachRunReport) isEffect() {}
func (SendMessage) isEffect()     {}
func (SetTables) isEffect()       {}
func (SetSettings) isEffect()     {}
func (SetReadiness) isEffect()    {}
func (DrainCallers) isEffect()    {}
func (StopProcess) isEffect()     {}
func (ReplyStatus) isEffect()     {}
