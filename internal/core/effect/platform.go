package effect

import (
	"time"

	"jayfold.dev/jayfold/internal/core/fleet"
)

// WatchHead waits until the platform's head object has another version than Version. Event: event.HeadRead.
type WatchHead struct {
	Version uint64
	// Wait is how long the platform holds the call when nothing changes.
	Wait time.Duration
	// AllowStale allows an answer from a copy of the platform's data that may be seconds old, which costs it less.
	AllowStale bool
}

// FetchTables reads the chunks of a revision from the platform. Event: event.TablesDecoded or event.TablesRejected.
type FetchTables struct {
	Head fleet.TablesHead
}

// DecodeTables decodes and checks a revision that a peer sent. Event: event.TablesDecoded or event.TablesRejected.
type DecodeTables struct {
	Revision fleet.Revision
	Content  []byte
}

// ListMembers reads the member records kept on the platform. Event: event.MembersListed.
type ListMembers struct {
	// Delay delays the call, so that many nodes do not call at once.
	Delay time.Duration
}

// RegisterMember writes this node's member record to the platform. No event follows unless the call fails.
type RegisterMember struct {
	Member fleet.Member
	// Delay delays the call, so that many nodes do not call at once.
	Delay time.Duration
}

func (WatchHead) isEffect()      {}
func (FetchTables) isEffect()    {}
func (DecodeTables) isEffect()   {}
func (ListMembers) isEffect()    {}
func (RegisterMember) isEffect() {}
