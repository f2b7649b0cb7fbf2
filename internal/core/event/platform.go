package event

import (
	"jayfold.dev/jayfold/internal/core/fleet"
	"jayfold.dev/jayfold/internal/core/routing"
)

// HeadRead says which revision the platform has. It answers effect.WatchHead, also when nothing changed.
type HeadRead struct {
	// Head has revision 0 when Version has not changed and when no tables were ever applied.
	Head fleet.TablesHead
	// Version is the platform's version of the head object.
	Version uint64
}

// TablesDecoded says that a revision was read, checked and decoded. It answers effect.FetchTables and
// effect.DecodeTables.
type TablesDecoded struct {
	Tables fleet.Tables
	// Router is over Tables. Building it takes 1.7 ms at the design size, too long for a step of the reducer.
	Router routing.Router
	// Content is the encoded form, kept to pass it on to peers.
	Content []byte
}

// TablesRejected says that the content of a revision does not decode or is not valid.
type TablesRejected struct {
	Revision fleet.Revision
	Detail   string
}

// MembersListed answers effect.ListMembers.
type MembersListed struct {
	Members []fleet.Member
}

// PlatformCall names a kind of call on the platform.
type PlatformCall string

// The calls on the platform.
const (
	CallWatchHead      PlatformCall = "WatchHead"
	CallFetchTables    PlatformCall = "FetchTables"
	CallListMembers    PlatformCall = "ListMembers"
	CallRegisterMember PlatformCall = "RegisterMember"
)

// PlatformCallFailed says that a call on the platform failed.
type PlatformCallFailed struct {
	Call   PlatformCall
	Detail string
}

func (HeadRead) isBody()           {}
func (TablesDecoded) isBody()      {}
func (TablesRejected) isBody()     {}
func (MembersListed) isBody()      {}
func (PlatformCallFailed) isBody() {}
