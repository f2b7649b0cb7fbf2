package effect

import (
	"time"

	"jayfold.dev/jayfold/internal/core/fleet"
)

// WatchHead waits until the platform's head object differs from the one at a position. Event: event.HeadRead
// or event.PlatformCallFailed.
type WatchHead struct {
	From fleet.Position
	// Wait is the time after which the platform returns if nothing has changed.
	Wait time.Duration
}

// FetchTables reads the chunks of a revision from the platform, unless the head contains its content, and decodes it. Event:
// event.TablesDecoded, event.TablesRejected or event.PlatformCallFailed.
type FetchTables struct {
	Head fleet.TablesHead
}

// RestoreTables writes a revision to the platform again that it has accepted and lost, unless it has the revision or a newer one. Event:
// event.PlatformCallFailed, or none.
type RestoreTables struct {
	Revision fleet.Revision
	Content  []byte
}

// DecodeTables decodes and validates a revision that a peer sent. Event: event.TablesDecoded or event.TablesRejected.
type DecodeTables struct {
	Revision fleet.Revision
	Content  []byte
}

// ListMembers reads the member records stored on the platform. Event: event.MembersListed or event.PlatformCallFailed.
type ListMembers struct {
	// Delay is the time to wait before the call, so that many nodes do not call at once.
	Delay time.Duration
}

// RegisterMember writes this node's member record to the platform. Event: event.MemberRegistered or event.PlatformCallFailed, or
// none if a newer record is written instead.
type RegisterMember struct {
	Member fleet.Member
	// Delay is the time to wait before the call, so that many nodes do not call at once.
	Delay time.Duration
}

func (WatchHead) isEffect()      {}
func (FetchTables) isEffect()    {}
func (RestoreTables) isEffect()  {}
func (DecodeTables) isEffect()   {}
func (ListMembers) isEffect()    {}
func (RegisterMember) isEffect() {}
