package node

import (
	"fmt"
	"testing"
	"time"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/event"
	"jayfold.dev/jayfold/internal/core/fleet"
	"jayfold.dev/jayfold/internal/core/message"
	"jayfold.dev/jayfold/internal/core/routing"
)

// The design size of a fleet.
const (
	designMembers = 540
	designPools   = 140
	designRoutes  = 4600
	designTargets = 7800
)

// runner passes events to a reducer.
type runner struct {
	state  State
	now    time.Time
	random uint64
}

func (r *runner) reduce(body event.Body) []effect.Effect {
	r.random = r.random*6364136223846793005 + 1442695040888963407
	var effects []effect.Effect
	r.state, effects = r.state.Reduce(event.Event{At: r.now, Random: r.random, Body: body})
	return effects
}

// designFleet returns a node in a fleet of the design size, whose own targets have sent heartbeats.
func designFleet() *runner {
	members := make([]fleet.Member, designMembers)
	for i := range members {
		node := fleet.NodeID(fmt.Sprintf("node-%03d", i))
		members[i] = fleet.Member{
			Node:             node,
			AvailabilityZone: fleet.AvailabilityZone(fmt.Sprintf("zone-%d", i%7)),
			PeerAddress:      fmt.Sprintf("10.0.%d.%d:7001", i/250, i%250),
			ForwardAddress:   fmt.Sprintf("10.0.%d.%d:7002", i/250, i%250),
			Incarnation:      1,
			Sequence:         1,
		}
	}
	for i := range designTargets {
		m := &members[i%designMembers]
		id := fleet.NewTargetID(m.Node, fmt.Sprintf("t%02d", len(m.Targets)))
		m.Targets = append(m.Targets, fleet.Target{ID: id, Pool: designPool(i), Slots: 4})
	}
	r := &runner{state: New(members[0], DefaultSettings()), now: time.Unix(1_800_000_000, 0)}
	r.reduce(event.MessageReceived{Envelope: message.Envelope{
		From: members[1].Node, Incarnation: 1, Message: message.SyncReply{Members: members[1:]},
	}})
	r.reduce(event.TablesDecoded{Tables: designTables(), Router: routing.New(designTables())})
	for _, t := range members[0].Targets {
		r.reduce(event.HeartbeatReceived{Heartbeat: fleet.Heartbeat{
			Name: string(t.ID[len("node-000/"):]), Pool: t.Pool, Address: "127.0.0.1:8000", Slots: 4, Instance: "1",
		}})
	}
	return r
}

func designPool(i int) fleet.PoolName { return fleet.PoolName(fmt.Sprintf("pool-%03d", i%designPools)) }

func designTables() fleet.Tables {
	tables := fleet.Tables{Revision: 1}
	for i := range designPools {
		pool := fleet.Pool{Name: designPool(i), Service: string(designPool(i)), Floor: 10, FalseEjectionInterval: time.Hour}
		tables.Pools = tables.Pools.With(pool.Name, pool)
	}
	for i := range designRoutes {
		tables.Routes = append(tables.Routes, fleet.Route{
			Name: fmt.Sprint(i), PathPrefix: designPath(i), Pool: designPool(i), Deadline: time.Second,
		})
	}
	return tables
}

func designPath(i int) string { return fmt.Sprintf("/shop/%d/items", i%designRoutes) }

// designIDs is the number of different request ids. It exceeds the number of requests within four minutes, the maximum time for
// which a sidecar remembers an attempt.
const designIDs = 1 << 16

func designID(i int) fleet.RequestID {
	return fleet.RequestID(fmt.Sprintf("%016x%010d", uint64(i)*0x9e3779b97f4a7c15, i))
}

// requestTexts holds ids and paths of requests, so that a benchmark does not measure their construction.
type requestTexts struct {
	ids   [designIDs]fleet.RequestID
	paths [designRoutes]string
}

func newRequestTexts() *requestTexts {
	var texts requestTexts
	for i := range texts.ids {
		texts.ids[i] = designID(i)
	}
	for i := range texts.paths {
		texts.paths[i] = designPath(i) + "/7"
	}
	return &texts
}

func (t *requestTexts) id(i int) fleet.RequestID { return t.ids[i%designIDs] }

func (t *requestTexts) path(i int) string { return t.paths[i%designRoutes] }

// request handles a request of a caller and, if withResponse is true, its response. It returns the number of steps.
func (r *runner) request(id fleet.RequestID, path string, i int, withResponse bool) (steps int) {
	effects := r.reduce(event.RequestArrived{Request: fleet.Request{
		ID: id, Method: "GET", Host: "shop.example", Path: path, Fingerprint: fleet.Fingerprint(i),
	}})
	forward, ok := effects[0].(effect.ForwardAttempt)
	if !ok || !withResponse {
		return 1
	}
	report := fleet.TargetReport{
		Target: forward.Attempt.Target, P95: time.Duration(5+i%7) * time.Millisecond, Load: fleet.Load{InFlight: i % 4, Slots: 4},
		Revision: 1, MeanTime: time.Duration(3+i%5) * time.Millisecond,
	}
	r.reduce(event.AttemptFinished{
		Attempt: forward.Attempt.ID, Outcome: fleet.Outcome{Status: 200}, Report: fleet.Some(report),
	})
	return 2
}

// attempt runs an attempt of another ingress on a target on this host.
func (r *runner) attempt(request fleet.RequestID, i int) {
	id := fleet.NewAttemptID(request, 1)
	r.reduce(event.AdmissionRequested{Attempt: fleet.Attempt{
		ID: id, Target: "node-000/t00", Pool: designPool(0), Deadline: r.now.Add(time.Second),
		Baseline: 5 * time.Millisecond, Fingerprint: fleet.Fingerprint(i),
	}})
	r.reduce(event.RunFinished{Attempt: id, Outcome: fleet.Outcome{Status: 200, Duration: 4 * time.Millisecond}})
}

// BenchmarkReduce measures the duration of a step at the design size, which should not exceed 10 us. The interval between
// requests is that of a node's share of 60,000 requests per second, which is 111 requests per second.
func BenchmarkReduce(b *testing.B) { benchmarkReduce(b, fleet.PlacementByCount) }

// BenchmarkReduceByCost measures the same steps with placement by cost.
func BenchmarkReduceByCost(b *testing.B) { benchmarkReduce(b, fleet.PlacementByCost) }

func benchmarkReduce(b *testing.B, placement fleet.Placement) {
	b.Helper()
	const interval = 9 * time.Millisecond
	warm, texts := designFleet(), newRequestTexts()
	settings := DefaultSettings()
	settings.Placement = placement
	warm.reduce(event.SettingsReloaded{Settings: settings})
	for i := range 20_000 {
		warm.now = warm.now.Add(interval)
		warm.request(texts.id(i), texts.path(i), i, true)
	}
	for i := range 50 {
		warm.request(designID(designIDs+i), texts.path(i), i, false)
	}
	b.Run("ingress", func(b *testing.B) {
		r, steps, i := *warm, 0, 30_000
		b.ReportAllocs()
		for b.Loop() {
			r.now = r.now.Add(interval)
			steps += r.request(texts.id(i), texts.path(i), i, true)
			i++
		}
		b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(steps), "ns/step")
	})
	b.Run("sidecar", func(b *testing.B) {
		r, i := *warm, 0
		b.ReportAllocs()
		for b.Loop() {
			r.now = r.now.Add(interval)
			r.attempt(texts.id(i), i)
			i++
		}
		b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(2*i), "ns/step")
	})
	b.Run("tick", func(b *testing.B) {
		r, i := *warm, 0
		b.ReportAllocs()
		for b.Loop() {
			r.now = r.now.Add(100 * time.Millisecond)
			r.reduce(event.Tick{})
			i++
		}
	})
}
