package capacity

import (
	"context"
	"runtime"

	"jayfold.dev/jayfold/internal/core/fleet"
	"jayfold.dev/jayfold/internal/core/message"
	"jayfold.dev/jayfold/internal/edge/peer"
)

// memoryCost measures the heap of the state while only the number of members, of targets or of routes grows, and then while all
// of them grow together.
func memoryCost(_ context.Context, options Options) ([]series, string, error) {
	small := fleetSize{members: 2, targets: 2, pools: designPools, routes: 1}
	dimensions := []struct {
		name        string
		resized     func(fleetSize, int) fleetSize
		designCount int
	}{
		{"members, 2 targets in all", func(s fleetSize, n int) fleetSize { s.members = n; return s }, designMembers},
		{"targets on 540 members", func(s fleetSize, n int) fleetSize {
			s.members, s.targets = designMembers, n
			return s
		}, designTargets},
		{"routes", func(s fleetSize, n int) fleetSize { s.routes = n; return s }, designRoutes},
	}
	var measured []series
	for _, d := range dimensions {
		s := series{name: d.name, unit: "KB", at: designMembers}
		for _, members := range options.Members {
			count := d.designCount * members / designMembers
			s = s.withPoint(float64(members), float64(stateHeapBytes(d.resized(small, count), options.Seed))/1024)
		}
		measured = append(measured, s)
	}
	total := series{name: "all together", unit: "KB", at: designMembers}
	for _, members := range options.Members {
		total = total.withPoint(float64(members), float64(stateHeapBytes(scaledSize(members), options.Seed))/1024)
	}
	return append(measured, total), "Heap of the state, by nodes of the fleet (7,800 targets and 4,600 routes at 540)", nil
}

// stateHeapBytes returns the heap bytes of a state of the given size.
func stateHeapBytes(size fleetSize, seed uint64) int64 {
	before := heapBytes()
	r := newReducer(size, seed)
	// Only the state is to be measured, not the member records that the reducer holds besides it.
	r.peers = nil
	r.self = fleet.Member{}
	after := heapBytes()
	runtime.KeepAlive(r)
	return after - before
}

func heapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// messageCost measures the encoded size of messages by the number of records that they carry.
func messageCost(context.Context, Options) ([]series, string, error) {
	counts := []int{0, 1, 2, 4, 8}
	records := scaledSize(designMembers).memberRecords()
	bodies := []struct {
		name  string
		build func(int) message.Message
	}{
		{"Ping, records with 14 targets", func(n int) message.Message {
			return message.Ping{Sequence: 1 << 20, Members: records[:n]}
		}},
		{"Ping, records of dead members", func(n int) message.Message {
			return message.Ping{Sequence: 1 << 20, Members: deadRecords(records[:n])}
		}},
		{"Ack, records with 14 targets", func(n int) message.Message {
			return message.Ack{Sequence: 1 << 20, Subject: records[0].Node, Members: records[:n]}
		}},
		{"SyncRequest, versions", func(n int) message.Message {
			return message.SyncRequest{Number: 1 << 20, Digest: memberVersions(records[:n])}
		}},
	}
	var measured []series
	for _, body := range bodies {
		s := series{name: body.name, unit: "bytes", at: float64(counts[len(counts)-1])}
		for _, n := range counts {
			size, err := peer.EncodedSize(message.Envelope{
				From:        records[0].Node,
				Incarnation: records[0].Incarnation,
				Address:     records[0].PeerAddress,
				Revision:    4000,
				Message:     body.build(n),
			})
			if err != nil {
				return nil, "", err
			}
			s = s.withPoint(float64(n), float64(size))
		}
		measured = append(measured, s)
	}
	return measured, "Encoded message, by records", nil
}

func deadRecords(records []fleet.Member) []fleet.Member {
	var dead []fleet.Member
	for _, m := range records {
		m.Targets = nil
		dead = append(dead, m.WithStatus(fleet.Dead))
	}
	return dead
}

func memberVersions(records []fleet.Member) []message.MemberVersion {
	var digest []message.MemberVersion
	for _, m := range records {
		digest = append(digest, message.MemberVersion{Node: m.Node, Incarnation: m.Incarnation, Sequence: m.Sequence})
	}
	return digest
}
