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
	// Stale allows an answer from a copy of the platform's data that may be seconds old, which costs it less.
	Stale bool
}

// FetchTables reads the chunks of a revision from the platform. Event: event.TablesDecoded or event.TablesRejected.
type FetchTables struct {
	Head fleet.Head
}

// DecodeTables decodes and checks a revision that a peer sent. Event: event.TablesDecoded or event.TablesRejected.
type DecodeTables struct {
	Revision fleet.Revision
	Content  []byte
}

// ListMembers reads the member records kept on the platform. Event: event.MembersListed.
type ListMembers struct {
	// After delays the call, so that many nodes do not call at once.
	After time.Duration
}

// RegisterMember writes this node's member record to the platform. No event follows unless the call fails.
type RegisterMember struct {
	Member fleet.Member
	// After delays the call, so that many nodes do not call at once.
	After time.Duration
}

func (WatchHead) isEffect()      {}
func (FetchTables) isEffect()    {}
func (DecodeTables) isEffect()   {}
func (ListMembers) isEffect()    {}
func (RegisterMember) isEffect() {}
