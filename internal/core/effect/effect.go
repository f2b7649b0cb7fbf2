// Package effect defines the outputs of a node's reducer, one struct per effect.
//
// # Usage
//
// The reducer returns effects as data, in the order of execution. The control loop passes each to the edge that executes it;
// its result, if any, comes back as an event:
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
	// CrossZone is true if the target is in another availability zone. Unnecessary traffic between zones is expensive.
	CrossZone bool
	// RemoveCredentials is true if the tables have accounts. The API key and an account that the caller named are then not forwarded.
	RemoveCredentials bool
}

// RelayResponse passes the response to an attempt on to the caller.
type RelayResponse struct {
	Request fleet.RequestID
	Attempt fleet.AttemptID
	// Parent is the request that a target was serving when it made this one; empty if the caller names none.
	Parent fleet.RequestID
	// ServerError is true if the target responded with a server error.
	ServerError bool
}

// RefuseRequest responds to a caller with a problem.
type RefuseRequest struct {
	Request fleet.RequestID
	Problem fleet.Problem
	// Parent is the request that a target was serving when it made this one; empty if the caller names none.
	Parent fleet.RequestID
}

// CancelAttempt cancels a forwarded attempt whose response is no longer needed.
type CancelAttempt struct {
	Attempt fleet.AttemptID
}

// StartRun starts an admitted attempt on a target on this host.
type StartRun struct {
	Attempt fleet.Attempt
	// Address is the target's address.
	Address string
	// Connections is the maximum number of connections to the target.
	Connections int
}

// RefuseAttempt responds to an ingress without running its attempt.
type RefuseAttempt struct {
	Attempt fleet.AttemptID
	Problem fleet.Problem
	Report  fleet.TargetReport
}

// CancelRun cancels an attempt that runs on a target on this host.
type CancelRun struct {
	Attempt fleet.AttemptID
}

// AttachRunReport provides the report to send with the response of a finished run.
type AttachRunReport struct {
	Attempt fleet.AttemptID
	Report  fleet.TargetReport
}

// SendMessage sends a message to another node.
type SendMessage struct {
	To      fleet.NodeID
	Address string
	Message message.Message
	// Incarnation and Revision are those of this node. The root reducer sets them.
	Incarnation fleet.Incarnation
	Revision    fleet.Revision
}

// SetTables passes the revision in force to the edges.
type SetTables struct {
	Tables fleet.Tables
}

// SetSettings passes the settings in force to the edges.
type SetSettings struct {
	Settings fleet.Settings
}

// SetReadiness sets whether callers should use this node. A node without tables cannot serve requests.
type SetReadiness struct {
	Ready bool
	// Leaving is true if the node is about to stop. Callers' connections are then closed after their next response.
	Leaving bool
}

// DrainCallers stops accepting requests of callers; those in flight finish. Event: event.CallersDrained.
type DrainCallers struct{}

// StopProcess ends the process. It is returned once nothing is in flight or the stop grace is nearly over.
type StopProcess struct{}

// ReplyStatus replies to event.StatusRequested.
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
