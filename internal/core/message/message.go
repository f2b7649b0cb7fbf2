// Package message defines the messages between nodes, one struct per message.
//
// # Usage
//
// A reducer sends messages as effects and receives them as events. Messages are one-way; a reply is a separate message:
//
//	effect.SendMessage{To: peer, Address: address, Message: message.Ping{Sequence: 7}}
//
// The peer edge adds the envelope and encodes it. This package is independent of the encoding.
package message

import (
	"time"

	"jayfold.dev/jayfold/internal/core/fleet"
)

// Message is one of the message structs of this package.
type Message interface{ isMessage() }

// Envelope is a message with the fields common to all messages.
type Envelope struct {
	From        fleet.NodeID
	Incarnation fleet.Incarnation
	// Address is the address at which the sender receives messages.
	Address string
	// Revision is the sender's tables revision.
	Revision fleet.Revision
	Message  Message
}

// Ping asks a peer for an Ack and carries recently changed member records.
type Ping struct {
	Sequence uint64
	// Epoch is the current epoch of the platform's data for the sender; 0 if it is unknown.
	Epoch   fleet.Epoch
	Members []fleet.Member
}

// WithEpoch returns the message with the sender's epoch.
func (m Ping) WithEpoch(e fleet.Epoch) Ping {
	m.Epoch = e
	return m
}

// Ack is the reply to a Ping or a PingRequest.
type Ack struct {
	Sequence uint64
	// Epoch is the current epoch of the platform's data for the sender; 0 if it is unknown.
	Epoch fleet.Epoch
	// Subject is the node that was probed.
	Subject fleet.NodeID
	Members []fleet.Member
}

// WithEpoch returns the message with the sender's epoch.
func (m Ack) WithEpoch(e fleet.Epoch) Ack {
	m.Epoch = e
	return m
}

// PingRequest asks a peer to probe Subject on behalf of the sender.
type PingRequest struct {
	Sequence uint64
	Subject  fleet.NodeID
	Address  string
}

// SyncRequest asks a peer for the member records in a range of node ids that the sender lacks.
type SyncRequest struct {
	// Number distinguishes the requests of one sender; 0 if the request is sent in reaction to one of the peer.
	Number uint64
	// After and Through are the exclusive lower and the inclusive upper bound of the range. If Through is empty, there is no
	// upper bound.
	After   fleet.NodeID
	Through fleet.NodeID
	// Digest lists the versions of the records that the sender has in the range.
	Digest []MemberVersion
}

// MemberVersion identifies a version of a member record.
type MemberVersion struct {
	Node        fleet.NodeID
	Incarnation fleet.Incarnation
	Sequence    uint64
	Status      fleet.MemberStatus
}

// SyncReply is the reply to a SyncRequest. It is also sent unrequested, with Number 0, to return a restarted node the record of
// its earlier process.
type SyncReply struct {
	Number uint64
	// Through is the last id that the reply covers. If it is empty, the reply covers all ids after the request's After.
	Through fleet.NodeID
	Members []fleet.Member
}

// LeaseRequest asks for an in-service lease: a promise that Grantor stays in service while Requester is ejected.
type LeaseRequest struct {
	Number    uint64
	Requester fleet.TargetID
	Grantor   fleet.TargetID
	Pool      fleet.PoolName
	// BadShare is the fraction of bad requests among those on which the requester was judged.
	BadShare float64
}

// LeaseGrant is the positive reply to a LeaseRequest. The lease ends Duration after the requester sent the request.
type LeaseGrant struct {
	Number    uint64
	Requester fleet.TargetID
	Grantor   fleet.TargetID
	Duration  time.Duration
	// RecentlyFailed is true if the grantor, although in service and not suspect, has just failed a request.
	RecentlyFailed bool
}

// LeaseRefusal is the negative reply to a LeaseRequest.
type LeaseRefusal struct {
	Number    uint64
	Requester fleet.TargetID
	Grantor   fleet.TargetID
	// Suspect is true if the grantor may be failing itself.
	Suspect bool
}

// LeaseRelease tells the grantor that the requester no longer relies on the lease or on any earlier request.
type LeaseRelease struct {
	// Number is the number of the requester's last request to the grantor. If the last request that the grantor received has
	// another number, the release has arrived out of order and has no effect.
	Number    uint64
	Requester fleet.TargetID
	Grantor   fleet.TargetID
}

// LeaseRecall asks the requester to release its lease because the grantor is in worse health than the requester.
type LeaseRecall struct {
	Requester fleet.TargetID
	Grantor   fleet.TargetID
}

// TablesRequest asks a peer for its tables if they are newer than Revision.
type TablesRequest struct {
	Revision fleet.Revision
	// Parts lists the parts that the sender has, which the reply may leave out; empty if it wants the whole content.
	Parts []fleet.PartSum
}

// TablesContent carries one encoded revision of the tables.
type TablesContent struct {
	Revision fleet.Revision
	Content  []byte
	// Parts takes the place of Content if the request lists parts.
	Parts []fleet.TablesPart
}

// CrashSuspicions carries evidence of requests that crash targets. Each node forwards what is new to it.
type CrashSuspicions struct {
	Suspicions []fleet.CrashSuspicion
}

func (Ping) isMessage()            {}
func (Ack) isMessage()             {}
func (PingRequest) isMessage()     {}
func (SyncRequest) isMessage()     {}
func (SyncReply) isMessage()       {}
func (LeaseRequest) isMessage()    {}
func (LeaseGrant) isMessage()      {}
func (LeaseRefusal) isMessage()    {}
func (LeaseRelease) isMessage()    {}
func (LeaseRecall) isMessage()     {}
func (TablesRequest) isMessage()   {}
func (TablesContent) isMessage()   {}
func (CrashSuspicions) isMessage() {}
