package event

import (
	"jayfold.dev/jayfold/internal/core/accounts"
	"jayfold.dev/jayfold/internal/core/fleet"
	"jayfold.dev/jayfold/internal/core/routing"
)

// HeadRead is the result of effect.WatchHead, also if nothing has changed.
type HeadRead struct {
	// Head has revision 0 if Version has not changed or if no tables have ever been applied.
	Head fleet.TablesHead
	// Position is that of the head object on the platform, from which the next watch continues.
	Position fleet.Position
}

// EpochSeen tells the epoch of an answer of the platform, if it is known. It is posted before the result of effect.WatchHead, and before
// that of any other call whose answer has another epoch than the one before.
type EpochSeen struct {
	Epoch fleet.Epoch
	// Version is the version that the answer shows, if it is the result of effect.WatchHead.
	Version uint64
}

// TablesDecoded is the result of effect.FetchTables and effect.DecodeTables for a valid revision.
type TablesDecoded struct {
	Tables fleet.Tables
	// Router is built from Tables. Building it takes 1.7 ms at the design size, which is too long for a step of the reducer.
	Router routing.Router
	// Accounts is built from Tables, too. For 19,000 accounts it takes longer than a step of the reducer may.
	Accounts accounts.Index
	// Content is the encoded revision, kept to be sent to peers.
	Content []byte
	// Parts divides Content.
	Parts []fleet.TablesPart
}

// TablesRejected is the result of effect.FetchTables and effect.DecodeTables for a revision that cannot be decoded or is
// invalid.
type TablesRejected struct {
	Revision fleet.Revision
	Detail   string
}

// MembersListed is the result of effect.ListMembers.
type MembersListed struct {
	Members []fleet.Member
}

// MemberRegistered is the result of effect.RegisterMember.
type MemberRegistered struct {
	// Sequence is the sequence number of the record that was written.
	Sequence uint64
	// Epoch is that of the platform's data with the record.
	Epoch fleet.Epoch
}

// PlatformCall is a kind of call to the platform.
type PlatformCall string

// The calls to the platform.
const (
	CallWatchHead      PlatformCall = "WatchHead"
	CallFetchTables    PlatformCall = "FetchTables"
	CallListMembers    PlatformCall = "ListMembers"
	CallRegisterMember PlatformCall = "RegisterMember"
	CallRestoreTables  PlatformCall = "RestoreTables"
)

// PlatformCallFailed is posted when a call to the platform fails.
type PlatformCallFailed struct {
	Call   PlatformCall
	Detail string
}

func (HeadRead) isBody()           {}
func (EpochSeen) isBody()          {}
func (TablesDecoded) isBody()      {}
func (TablesRejected) isBody()     {}
func (MembersListed) isBody()      {}
func (MemberRegistered) isBody()   {}
func (PlatformCallFailed) isBody() {}
