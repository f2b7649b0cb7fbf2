// Package message holds the messages between nodes, one struct per message.
//
// # Usage
//
// A reducer sends a message as an effect and gets one as an event. Each is one-way; a reply is a message of its own:
//
//	effect.Send{To: peer, Address: address, Message: message.Ping{Sequence: 7}}
//
// The peer edge adds the envelope and encodes it; nothing in this package knows the encoding.
package message

import (
	"time"

	"jayfold.dev/jayfold/internal/core/fleet"
)

// Message is one of the message structs of this package.
type Message interface{ isMessage() }

// Envelope is a message with the fields that every message carries.
type Envelope struct {
	From        fleet.NodeID
	Incarnation fleet.Incarnation
	// Address is the sender's address for messages between nodes.
	Address string
	// Revision is the sender's tables revision.
	Revision fleet.Revision
	Message  Message
}

// Ping asks a peer for an Ack and carries changed member records.
type Ping struct {
	Sequence uint64
	Members  []fleet.Member
}

// Ack answers a Ping or a PingRequest.
type Ack struct {
	Sequence uint64
	// Subject is the node that was probed.
	Subject fleet.NodeID
	Members []fleet.Member
}

// PingRequest asks a peer to probe Subject for the sender.
type PingRequest struct {
	Sequence uint64
	Subject  fleet.NodeID
	Address  string
}

// SyncRequest asks a peer for the member records of a range of node ids that the sender lacks.
type SyncRequest struct {
	// Number tells the requests of one sender apart.
	Number uint64
	// After and Through bound the range: ids above After, up to and including Through; an empty Through means no bound.
	After   fleet.NodeID
	Through fleet.NodeID
	// Digest gives the records of the range that the sender has.
	Digest []MemberVersion
}

// MemberVersion names one version of a member record.
type MemberVersion struct {
	Node        fleet.NodeID
	Incarnation fleet.Incarnation
	Sequence    uint64
	Status      fleet.MemberStatus
}

// SyncReply answers a SyncRequest.
type SyncReply struct {
	Number uint64
	// Through is the last id that the answer covers; empty means that it covers all ids after the request's After.
	Through fleet.NodeID
	Members []fleet.Member
}

// LeaseRequest asks for an in-service lease: Grantor stays in service while Asker is ejected.
type LeaseRequest struct {
	Number    uint64
	Requester fleet.TargetID
	Grantor   fleet.TargetID
	Pool      fleet.PoolName
	// BadShare is the share of bad requests that the asker was judged on.
	BadShare float64
}

// LeaseGrant answers a LeaseRequest. The lease ends Duration after the asker sent the request.
type LeaseGrant struct {
	Number    uint64
	Requester fleet.TargetID
	Grantor   fleet.TargetID
	Duration  time.Duration
	// RecentlyFailed means that the grantor, in service and not suspect, has just failed a request.
	RecentlyFailed bool
}

// LeaseRefusal answers a LeaseRequest.
type LeaseRefusal struct {
	Number    uint64
	Requester fleet.TargetID
	Grantor   fleet.TargetID
	// Suspect means that the grantor may be failing itself.
	Suspect bool
}

// LeaseRelease says that the asker no longer relies on the lease, nor on any earlier request to the grantor.
type LeaseRelease struct {
	// Number is that of the asker's last request to the grantor. A release with another number than the grantor's last
	// one was overtaken by a request and has no effect.
	Number    uint64
	Requester fleet.TargetID
	Grantor   fleet.TargetID
}

// LeaseRecall asks the holder of a lease to release it, because the grantor is in worse health.
type LeaseRecall struct {
	Requester fleet.TargetID
	Grantor   fleet.TargetID
}

// TablesRequest asks a peer for its tables, when they are newer than Revision.
type TablesRequest struct {
	Revision fleet.Revision
}

// TablesContent carries one encoded revision of the tables.
type TablesContent struct {
	Revision fleet.Revision
	Content  []byte
}

// CrashSuspicions spreads what is known of requests that crash targets. Each node passes on what is new to it.
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
