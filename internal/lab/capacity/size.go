package capacity

import (
	"fmt"
	"time"

	"jayfold.dev/jayfold/internal/core/accounts"
	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/event"
	"jayfold.dev/jayfold/internal/core/fleet"
	"jayfold.dev/jayfold/internal/core/message"
	"jayfold.dev/jayfold/internal/core/node"
	"jayfold.dev/jayfold/internal/core/routing"
)

// The design size; see also designMembers.
const (
	designTargets = 7800
	designPools   = 140
	designRoutes  = 4600
)

type fleetSize struct {
	members, targets, pools, routes int
}

// scaledSize returns the size of a fleet with the given number of members and the proportions of the design size.
func scaledSize(members int) fleetSize {
	scaled := func(count int) int { return max(1, count*members/designMembers) }
	return fleetSize{members: members, targets: scaled(designTargets), pools: scaled(designPools), routes: scaled(designRoutes)}
}

func (s fleetSize) poolName(i int) fleet.PoolName {
	return fleet.PoolName(fmt.Sprintf("pool-%03d", i%s.pools))
}

func (s fleetSize) pathPrefix(i int) string { return fmt.Sprintf("/shop/%d/items", i%s.routes) }

func (s fleetSize) memberRecords() []fleet.Member {
	records := make([]fleet.Member, s.members)
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
	for i := range s.targets {
		m := &records[i%s.members]
		id := fleet.NewTargetID(m.Node, fmt.Sprintf("target-%02d", len(m.Targets)))
		m.Targets = append(m.Targets, fleet.Target{ID: id, Pool: s.poolName(i), Slots: 4})
	}
	return records
}

func (s fleetSize) tables() fleet.Tables {
	tables := fleet.Tables{Revision: 1}
	for i := range s.pools {
		pool := fleet.Pool{Name: s.poolName(i), Service: string(s.poolName(i)), Floor: 10, FalseEjectionInterval: time.Hour}
		tables.Pools = tables.Pools.With(pool.Name, pool)
	}
	for i := range s.routes {
		tables.Routes = append(tables.Routes, fleet.Route{
			Name: fmt.Sprint(i), PathPrefix: s.pathPrefix(i), Pool: s.poolName(i), Deadline: time.Second,
		})
	}
	return tables
}

// reducer is the reducer of one node, with the simulated time and the records of the other members.
type reducer struct {
	size     fleetSize
	state    node.State
	now      time.Time
	random   uint64
	self     fleet.Member
	peers    []fleet.Member
	sequence int
}

// newReducer returns the reducer of the first node of a fleet. It knows all other members, their targets and the tables.
func newReducer(size fleetSize, seed uint64) *reducer {
	records := size.memberRecords()
	r := &reducer{size: size, now: time.Unix(1_800_000_000, 0), random: seed, self: records[0], peers: records[1:]}
	r.state = node.New(fleet.Member{
		Node:             r.self.Node,
		AvailabilityZone: r.self.AvailabilityZone,
		PeerAddress:      r.self.PeerAddress,
		ForwardAddress:   r.self.ForwardAddress,
		Incarnation:      r.self.Incarnation,
	}, node.DefaultSettings())
	if len(r.peers) > 0 {
		r.receive(message.SyncReply{Members: r.peers})
	}
	tables := size.tables()
	r.reduce(event.TablesDecoded{Tables: tables, Router: routing.New(tables), Accounts: accounts.New(tables)})
	for i := range r.self.Targets {
		r.sendHeartbeat(i)
	}
	return r
}

// reduce runs one step and returns its effects.
func (r *reducer) reduce(body event.Body) []effect.Effect {
	r.random = r.random*6364136223846793005 + 1442695040888963407
	state, effects := r.state.Reduce(event.Event{At: r.now, Random: r.random, Body: body})
	r.state = state
	return effects
}

// receive passes a message of the first peer to the reducer.
func (r *reducer) receive(m message.Message) {
	r.reduce(event.MessageReceived{Envelope: message.Envelope{
		From:        r.peers[0].Node,
		Incarnation: r.peers[0].Incarnation,
		Address:     r.peers[0].PeerAddress,
		Revision:    1,
		Message:     m,
	}})
}

// sendHeartbeat passes a heartbeat of a local target to the reducer.
func (r *reducer) sendHeartbeat(i int) {
	t := r.self.Targets[i%len(r.self.Targets)]
	name := string(t.ID[len(r.self.Node)+1:])
	r.reduce(event.HeartbeatReceived{Heartbeat: fleet.Heartbeat{
		Name: name, Pool: t.Pool, Address: "127.0.0.1:8000", Slots: t.Slots, Instance: "1",
	}})
}
