package node

import (
	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/event"
	"jayfold.dev/jayfold/internal/core/tables"
)

// dispatchPlatform passes the result of a call to the platform to the component that made the call.
func (s State) dispatchPlatform(ev event.Event) (State, []effect.Effect) {
	switch body := ev.Body.(type) {
	case event.EpochSeen:
		return s.epochSeen(ev, body)
	case event.HeadRead:
		return s.withTables(s.tables.HeadRead(ev.At, ev.Random, s.tablesFleet(), body.Head, body.Position))
	case event.TablesDecoded:
		return s.tablesDecoded(ev, body)
	case event.TablesRejected:
		return s.withTables(s.tables.TablesRejected(ev.At, body.Revision, body.Detail))
	case event.MembersListed:
		s, effects := s.restoreTombstones(ev, body.Members)
		s.membership = new(s.membership.MembersListed(body.Members))
		if !s.membership.KnowsOthers(body.Members) {
			s.firstTables.asked = true
		}
		s, more := s.releaseFirstTables(ev)
		return s, append(effects, more...)
	case event.MemberRegistered:
		if s.epoch.Current().Differs(body.Epoch) {
			// The platform has lost the record since, and it is written again.
			return s, nil
		}
		s.membership = new(s.membership.MemberRegistered(body.Sequence))
		return s.completeAcks(ev.At)
	case event.PlatformCallFailed:
		if body.Call == event.CallRegisterMember {
			s.membership = new(s.membership.RegistrationFailed(ev.At, ev.Random))
		}
		return s.withTables(s.tables.PlatformCallFailed(ev.At, ev.Random, s.tablesFleet(), body.Call, body.Detail))
	default:
		return s, nil
	}
}

func (s State) tablesFleet() tables.Fleet {
	return tables.Fleet{
		Members:     s.membership.RoutableNodes(),
		ZoneMembers: s.membership.RoutableZoneNodes(),
		Epoch:       s.epoch.Current(),
	}
}

// tablesDecoded brings a revision into force and passes it to the edges.
func (s State) tablesDecoded(ev event.Event, body event.TablesDecoded) (State, []effect.Effect) {
	if s.holdsFirstTables(body.Tables.Revision) {
		s.firstTables = s.firstTables.withHeld(ev.At, body)
		return s, nil
	}
	before := s.Revision()
	s, effects := s.withTables(s.tables.TablesDecoded(ev.At, body.Tables, body.Router, body.Accounts, body.Content))
	s.tables = new(s.tables.WithParts(body.Tables.Revision, body.Parts))
	if s.Revision() != before {
		effects = append(effects, effect.SetTables{Tables: s.tables.Current()})
		var limited []effect.Effect
		s, limited = s.usageTablesChanged(ev)
		var pings []effect.Effect
		s, pings = s.withMembership(s.membership.NotifyZonePeers())
		effects = append(append(effects, limited...), pings...)
	}
	if before == 0 && s.Revision() != 0 && !s.shutdown.inProgress() {
		effects = append(effects, effect.SetReadiness{Ready: true})
	}
	return s, effects
}
