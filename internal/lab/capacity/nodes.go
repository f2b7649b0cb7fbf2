package capacity

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/event"
	"jayfold.dev/jayfold/internal/core/fleet"
	"jayfold.dev/jayfold/internal/core/node"
	"jayfold.dev/jayfold/internal/edge/peer"
	"jayfold.dev/jayfold/internal/process/control"
)

// targetsPerNode is the mean number of targets per node at the design size: 7,800 targets on 540 hosts.
const targetsPerNode = designTargets / designMembers

const heartbeatInterval = time.Second

// runningNode is a node with its control loop and its messenger. It has no listeners for requests, attempts or targets.
type runningNode struct {
	self      fleet.Member
	loop      *control.Loop
	messenger *peer.Messenger
	listener  net.Listener
}

// nodeGroup is a group of nodes in this process that communicate over loopback. In place of the platform, it keeps the registered
// member records in memory.
type nodeGroup struct {
	mu         sync.Mutex
	registered map[fleet.NodeID]fleet.Member
	nodes      []*runningNode
	cancel     context.CancelFunc
	running    sync.WaitGroup
}

func startNodes(ctx context.Context, count int) (*nodeGroup, error) {
	ctx, cancel := context.WithCancel(ctx)
	n := &nodeGroup{registered: make(map[fleet.NodeID]fleet.Member), cancel: cancel}
	for i := range count {
		if err := n.start(ctx, i); err != nil {
			n.stop()
			return nil, err
		}
	}
	return n, nil
}

func (n *nodeGroup) start(ctx context.Context, i int) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	r := &runningNode{listener: listener, self: fleet.Member{
		Node:             fleet.NodeID(fmt.Sprintf("host-%04d", i)),
		AvailabilityZone: fleet.AvailabilityZone(fmt.Sprintf("zone-%d", i%7)),
		PeerAddress:      listener.Addr().String(),
		ForwardAddress:   listener.Addr().String(),
		Incarnation:      fleet.Incarnation(time.Now().UnixMilli()),
	}}
	r.loop = control.New(node.New(r.self, node.DefaultSettings()), control.Seams{
		Now:      time.Now,
		Random:   rand.Uint64,
		Dispatch: func(e effect.Effect) { n.dispatch(r, e) },
	})
	r.messenger = peer.NewMessenger(r.self, peer.MessengerSeams{Post: r.loop.Post, Observe: func(effect.Effect) {}})
	n.nodes = append(n.nodes, r)
	n.running.Go(func() { r.loop.Run(ctx) })
	n.running.Go(func() { _ = r.messenger.Serve(listener) })
	n.running.Go(func() { r.sendHeartbeats(ctx) })
	return nil
}

// stop ends all nodes.
func (n *nodeGroup) stop() {
	n.cancel()
	for _, r := range n.nodes {
		_ = r.listener.Close()
		r.messenger.Close()
	}
	n.running.Wait()
}

func (n *nodeGroup) dispatch(r *runningNode, e effect.Effect) {
	switch e := e.(type) {
	case effect.SendMessage:
		r.messenger.Send(e)
	case effect.RegisterMember:
		n.mu.Lock()
		defer n.mu.Unlock()
		n.registered[e.Member.Node] = e.Member
	case effect.ListMembers:
		time.AfterFunc(e.Delay, func() { r.loop.Post(event.MembersListed{Members: n.members()}) })
	}
}

func (n *nodeGroup) members() []fleet.Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	members := make([]fleet.Member, 0, len(n.registered))
	for _, m := range n.registered {
		members = append(members, m)
	}
	return members
}

// sendHeartbeats posts heartbeats of the targets to the control loop until ctx ends.
func (r *runningNode) sendHeartbeats(ctx context.Context) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		for i := range targetsPerNode {
			r.sendHeartbeat(i, fleet.TargetReady)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (r *runningNode) sendHeartbeat(i int, state fleet.TargetState) {
	r.loop.Post(event.HeartbeatReceived{Heartbeat: fleet.Heartbeat{
		Name:     fmt.Sprintf("target-%02d", i),
		Pool:     fleet.PoolName(fmt.Sprintf("pool-%03d", i)),
		Address:  "127.0.0.1:8000",
		Slots:    4,
		State:    state,
		Instance: "1",
	}})
}

// cost is the mean cost of one node.
type cost struct {
	sent, received float64 // bytes per second
	cpu            float64 // percent of a core
	connections    float64
}

// measure returns the mean cost of a node over the given duration, while records change at the given rate in the whole fleet.
func (n *nodeGroup) measure(ctx context.Context, duration time.Duration, changes float64) cost {
	sent, received, _ := n.traffic()
	cpu, start := cpuTime(), time.Now()
	n.changeRecords(ctx, duration, changes)
	used, elapsed := cpuTime()-cpu, time.Since(start)
	sentAfter, receivedAfter, connections := n.traffic()
	perNode := float64(len(n.nodes)) * elapsed.Seconds()
	return cost{
		sent:        (sentAfter - sent) / perNode,
		received:    (receivedAfter - received) / perNode,
		cpu:         100 * used.Seconds() / perNode,
		connections: connections / float64(len(n.nodes)),
	}
}

// changeRecords changes records at the given rate for the given duration; at rate 0 it only waits. Each tick changes a record
// twice: a target drains, and returns with its next heartbeat.
func (n *nodeGroup) changeRecords(ctx context.Context, duration time.Duration, changes float64) {
	ctx, cancel := context.WithTimeout(ctx, duration)
	defer cancel()
	if changes == 0 {
		<-ctx.Done()
		return
	}
	ticker := time.NewTicker(time.Duration(2 / changes * float64(time.Second)))
	defer ticker.Stop()
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			n.nodes[i%len(n.nodes)].sendHeartbeat(0, fleet.TargetDraining)
		}
	}
}

// traffic returns the total bytes sent and received since the start and the number of open connections of all nodes.
func (n *nodeGroup) traffic() (sent, received, connections float64) {
	for _, r := range n.nodes {
		bytesSent, bytesReceived := r.messenger.Traffic()
		outbound, inbound := r.messenger.Connections()
		sent += float64(bytesSent)
		received += float64(bytesReceived)
		connections += float64(outbound + inbound)
	}
	return sent, received, connections
}

// costSeries returns one series for each component of the costs.
func costSeries(x []float64, costs []cost, at float64) []series {
	components := []struct {
		name, unit string
		value      func(cost) float64
	}{
		{"sent", "bytes/s", func(c cost) float64 { return c.sent }},
		{"received", "bytes/s", func(c cost) float64 { return c.received }},
		{"CPU", "% of a core", func(c cost) float64 { return c.cpu }},
		{"connections", "", func(c cost) float64 { return c.connections }},
	}
	var measured []series
	for _, component := range components {
		s := series{name: component.name, unit: component.unit, at: at}
		for i := range x {
			s = s.withPoint(x[i], component.value(costs[i]))
		}
		measured = append(measured, s)
	}
	return measured
}

// nodeCost measures running nodes while no records change.
func nodeCost(ctx context.Context, options Options) ([]series, string, error) {
	if len(options.Nodes) == 0 {
		return nil, "", nil
	}
	var costs []cost
	var x []float64
	for _, count := range options.Nodes {
		n, err := startNodes(ctx, count)
		if err != nil {
			return nil, "", err
		}
		n.changeRecords(ctx, time.Duration(count)*options.WarmUpPerNode, 0)
		costs = append(costs, n.measure(ctx, options.Duration, 0))
		x = append(x, float64(count))
		n.stop()
	}
	return costSeries(x, costs, designMembers), "Control cost of a running node with 14 targets, by nodes of the fleet", ctx.Err()
}

// changesAtDesign is the number of changed records per second at the design size: 1,300 restarts a day with 8 records each.
const changesAtDesign = 1300.0 * 8 / 86400

// changeCost measures running nodes while records change.
func changeCost(ctx context.Context, options Options) ([]series, string, error) {
	if len(options.Nodes) == 0 || len(options.Changes) == 0 {
		return nil, "", nil
	}
	count := options.Nodes[len(options.Nodes)-1]
	n, err := startNodes(ctx, count)
	if err != nil {
		return nil, "", err
	}
	defer n.stop()
	n.changeRecords(ctx, time.Duration(count)*options.WarmUpPerNode, 0)
	var costs []cost
	for _, changes := range options.Changes {
		costs = append(costs, n.measure(ctx, options.Duration, changes))
	}
	title := fmt.Sprintf("Control cost of a running node among %d, by changed records per second in the fleet", count)
	return costSeries(options.Changes, costs, changesAtDesign), title, ctx.Err()
}
