package capacity

import (
	"fmt"
	"time"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/event"
	"jayfold.dev/jayfold/internal/core/fleet"
	"jayfold.dev/jayfold/internal/core/message"
	"jayfold.dev/jayfold/internal/core/node"
	"jayfold.dev/jayfold/internal/core/routing"
)

// The design size; smaller and larger fleets have the same proportions.
const (
	designTargets = 7800
	designPools   = 140
	designRoutes  = 4600
)

// fleetSize is a fleet with the proportions of the fleetSize size.
type fleetSize struct {
	members, targets, pools, routes int
}

func scaledSize(members int) fleetSize {
	share := func(of int) int { return max(1, of*members/designMembers) }
	return fleetSize{members: members, targets: share(designTargets), pools: share(designPools), routes: share(designRoutes)}
}

func (d fleetSize) poolName(i int) fleet.PoolName {
	return fleet.PoolName(fmt.Sprintf("pool-%03d", i%d.pools))
}

func (d fleetSize) pathPrefix(i int) string { return fmt.Sprintf("/shop/%d/items", i%d.routes) }

// memberRecords returns the member memberRecords.
func (d fleetSize) memberRecords() []fleet.Member {
	records := make([]fleet.Member, d.members)
	for i := range records {
		records[i] = fleet.Member{
			Node:             fleet.NodeID(fmt.Sprintf("host-%04d", i)),
			AvailabilityZone: fleet.AvailabilityZone(fmt.Sprintf("zone-%d", i%7)),
			PeerAddress:      fmt.Sprintf("10.20.%d.%d:7402", i/250, i%250),
			ForwardAddress:   fmt.Sprintf("10.20.%d.%d:7401", i/250, i%250),
			Incarnation:      1_790_000_000_000,
			Sequence:         17,
		}
	}
	for i := range d.targets {
		m := &records[i%d.members]
		id := fleet.NewTargetID(m.Node, fmt.Sprintf("target-%02d", len(m.Targets)))
		m.Targets = append(m.Targets, fleet.Target{ID: id, Pool: d.poolName(i), Slots: 4})
	}
	return records
}

func (d fleetSize) tables() fleet.Tables {
	tables := fleet.Tables{Revision: 1}
	for i := range d.pools {
		pool := fleet.Pool{Name: d.poolName(i), Service: string(d.poolName(i)), Floor: 10, FalseEjectionInterval: time.Hour}
		tables.Pools = tables.Pools.With(pool.Name, pool)
	}
	for i := range d.routes {
		tables.Routes = append(tables.Routes, fleet.Route{
			Name: fmt.Sprint(i), PathPrefix: d.pathPrefix(i), Pool: d.poolName(i), Deadline: time.Second,
		})
	}
	return tables
}

// reducer is a reducer under measurement.
type reducer struct {
	size     fleetSize
	state    node.State
	now      time.Time
	random   uint64
	self     fleet.Member
	peers    []fleet.Member
	sequence int
}

// newReducer returns the first node of a fleet, which knows all the others, their targets and the tables.
func newReducer(d fleetSize, seed uint64) *reducer {
	records := d.memberRecords()
	s := &reducer{size: d, now: time.Unix(1_800_000_000, 0), random: seed, self: records[0], peers: records[1:]}
	s.state = node.New(fleet.Member{
		Node:             s.self.Node,
		AvailabilityZone: s.self.AvailabilityZone,
		PeerAddress:      s.self.PeerAddress,
		ForwardAddress:   s.self.ForwardAddress,
		Incarnation:      s.self.Incarnation,
	}, node.DefaultSettings())
	if len(s.peers) > 0 {
		s.receive(message.SyncReply{Members: s.peers})
	}
	tables := d.tables()
	s.reduce(event.TablesDecoded{Tables: tables, Router: routing.New(tables)})
	for i := range s.self.Targets {
		s.sendHeartbeat(i)
	}
	return s
}

// reduce makes one step and returns its effects.
func (s *reducer) reduce(body event.Body) []effect.Effect {
	s.random = s.random*6364136223846793005 + 1442695040888963407
	state, effects := s.state.Reduce(event.Event{At: s.now, Random: s.random, Body: body})
	s.state = state
	return effects
}

// receive has the subject take a message from its first peer.
func (s *reducer) receive(m message.Message) {
	s.reduce(event.MessageReceived{Envelope: message.Envelope{
		From:        s.peers[0].Node,
		Incarnation: s.peers[0].Incarnation,
		Address:     s.peers[0].PeerAddress,
		Revision:    1,
		Message:     m,
	}})
}

// sendHeartbeat has one local target send a heartbeat.
func (s *reducer) sendHeartbeat(i int) {
	t := s.self.Targets[i%len(s.self.Targets)]
	name := string(t.ID[len(s.self.Node)+1:])
	s.reduce(event.HeartbeatReceived{Heartbeat: fleet.Heartbeat{
		Name: name, Pool: t.Pool, Address: "127.0.0.1:8000", Slots: t.Slots, Instance: "1",
	}})
}
