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

// Forward sends an attempt to the node on its target's host.
type Forward struct {
	Attempt fleet.Attempt
	// Revision is this node's tables revision.
	Revision fleet.Revision
	// Far means that the target is in another availability zone, where bytes that are sent in vain are dear.
	Far bool
}

// Answer passes the answer of an attempt on to the caller.
type Answer struct {
	Request fleet.RequestID
	Attempt fleet.AttemptID
	// Parent is the request that makes this one, where it is a call that names it.
	Parent fleet.RequestID
	// Failed means that the answer is a server error of the target.
	Failed bool
}

// Refuse answers a caller with a problem.
type Refuse struct {
	Request fleet.RequestID
	Problem fleet.Problem
	// Parent is the request that makes this one, where it is a call that names it.
	Parent fleet.RequestID
}

// Abandon cancels an attempt whose answer is no longer wanted.
type Abandon struct {
	Attempt fleet.AttemptID
}

// Run starts an admitted attempt on a target of this host.
type Run struct {
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
	Report  fleet.Report
}

// CancelRun cancels an attempt that runs on a target of this host.
type CancelRun struct {
	Attempt fleet.AttemptID
}

// ReportRun gives the report that goes with the answer of a finished run.
type ReportRun struct {
	Attempt fleet.AttemptID
	Report  fleet.Report
}

// Send hands a message to another node.
type Send struct {
	To      fleet.NodeID
	Address string
	Message message.Message
	// Incarnation and Revision are this node's own; the root reducer sets them.
	Incarnation fleet.Incarnation
	Revision    fleet.Revision
}

// UseTables gives the edges the revision in force.
type UseTables struct {
	Tables fleet.Tables
}

// UseSettings gives the edges the settings in force.
type UseSettings struct {
	Settings fleet.Settings
}

// UseReadiness says whether callers should use this node. One that has no tables yet could not serve them.
type UseReadiness struct {
	Ready bool
	// Leaving means that the node is about to stop and that connections of callers should end with their next answer.
	Leaving bool
}

// CloseCallers takes no new request of callers; those in flight finish. Event: event.CallersClosed.
type CloseCallers struct{}

// Stop ends the process: nothing is in flight any more.
type Stop struct{}

// ShowStatus answers event.StatusAsked.
type ShowStatus struct {
	Query  uint64
	Status Status
}

func (Forward) isEffect()       {}
func (Answer) isEffect()        {}
func (Refuse) isEffect()        {}
func (Abandon) isEffect()       {}
func (Run) isEffect()           {}
func (RefuseAttempt) isEffect() {}
func (CancelRun) isEffect()     {}
func (ReportRun) isEffect()     {}
func (Send) isEffect()          {}
func (UseTables) isEffect()     {}
func (UseSettings) isEffect()   {}
func (UseReadiness) isEffect()  {}
func (CloseCallers) isEffect()  {}
func (Stop) isEffect()          {}
func (ShowStatus) isEffect()    {}
