package capacity

import (
	"context"
	"fmt"
	"runtime"
	"slices"
	"time"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/event"
	"jayfold.dev/jayfold/internal/core/fleet"
	"jayfold.dev/jayfold/internal/core/message"
)

const (
	// batches are timed apart, and the median counts, so that a pause of this process does not.
	batches = 7
	// requestInterval is the time between two requests at a node's share of 60,000 requests per second.
	requestInterval = 9 * time.Millisecond
	// changedRecords is the number of records with 14 targets that fit into one message.
	changedRecords = 4
)

// stepKinds are the steps whose CPU time is measured. Each function makes one round and returns its steps.
var stepKinds = []struct {
	name string
	step func(*reducer) int
}{
	{"request at the ingress", (*reducer).request},
	{"attempt at the sidecar", (*reducer).attempt},
	{"tick", (*reducer).tick},
	{"heartbeat of a target", (*reducer).heartbeat},
	{"ping without records", (*reducer).receivePing},
	{"ping with 4 changed records", (*reducer).receivePingWithRecords},
}

// reducerCost measures the CPU time of one step of each kind.
func reducerCost(ctx context.Context, options Options) ([]series, string, error) {
	measured := make([]series, len(stepKinds))
	for i, kind := range stepKinds {
		measured[i] = series{name: kind.name, unit: "us/step", at: designMembers}
	}
	for _, members := range options.Members {
		s := newReducer(scaledSize(members), options.Seed)
		for i, kind := range stepKinds {
			if err := ctx.Err(); err != nil {
				return nil, "", err
			}
			cost := stepTime(options.Steps, func() int { return kind.step(s) })
			measured[i] = measured[i].withPoint(float64(members), float64(cost.Nanoseconds())/1000)
		}
	}
	return measured, "CPU per step of the reducer, by nodes of the fleet", nil
}

// stepTime returns the median CPU time of one step over batches of the given number of steps.
func stepTime(batch int, round func() int) time.Duration {
	var times []time.Duration
	for range batches {
		runtime.GC()
		start := cpuTime()
		steps := 0
		for steps < batch {
			steps += round()
		}
		times = append(times, (cpuTime()-start)/time.Duration(steps))
	}
	slices.Sort(times)
	return times[len(times)/2]
}

// nextID returns a number that no other request has, with a spread prefix as ids drawn at random have.
func (s *reducer) nextID() (int, string) {
	s.sequence++
	return s.sequence, fmt.Sprintf("%016x", uint64(s.sequence)*0x9e3779b97f4a7c15)
}

// request has one request of a caller answered.
func (s *reducer) request() int {
	s.now = s.now.Add(requestInterval)
	i, id := s.nextID()
	effects := s.reduce(event.RequestArrived{Request: fleet.Request{
		ID: fleet.RequestID(id), Method: "GET", Path: s.size.pathPrefix(i) + "/7", Fingerprint: fleet.Fingerprint(i),
	}})
	forward, ok := effects[0].(effect.ForwardAttempt)
	if !ok {
		panic(fmt.Sprintf("capacity: request was not forwarded: %v", effects[0]))
	}
	report := fleet.TargetReport{Target: forward.Attempt.Target, P95: 5 * time.Millisecond, Load: fleet.Load{Slots: 4}, Revision: 1}
	s.reduce(event.AttemptFinished{
		Attempt: forward.Attempt.ID, Outcome: fleet.Outcome{Status: 200}, Report: fleet.Some(report),
	})
	return 2
}

// attempt has one attempt of another ingress run on a local target.
func (s *reducer) attempt() int {
	s.now = s.now.Add(requestInterval)
	i, id := s.nextID()
	t := s.self.Targets[i%len(s.self.Targets)]
	attempt := fleet.Attempt{
		ID: fleet.NewAttemptID(fleet.RequestID(id), 1), Target: t.ID, Pool: t.Pool, Deadline: s.now.Add(time.Second),
		Baseline: 5 * time.Millisecond, Fingerprint: fleet.Fingerprint(i),
	}
	s.reduce(event.AdmissionRequested{Attempt: attempt})
	s.reduce(event.RunFinished{Attempt: attempt.ID, Outcome: fleet.Outcome{Status: 200, Duration: 4 * time.Millisecond}})
	return 2
}

// tick lets 100 ms pass and answers the probe, if there is one. Targets keep sending heartbeats, which are not counted
// but take part in the cost.
func (s *reducer) tick() int {
	s.now = s.now.Add(100 * time.Millisecond)
	steps := 1
	for _, e := range s.reduce(event.Tick{}) {
		send, ok := e.(effect.SendMessage)
		if !ok {
			continue
		}
		if ping, ok := send.Message.(message.Ping); ok {
			s.reduce(event.MessageReceived{Envelope: message.Envelope{
				From: send.To, Incarnation: s.self.Incarnation, Address: send.Address, Revision: 1,
				Message: message.Ack{Sequence: ping.Sequence, Subject: send.To},
			}})
			steps++
		}
	}
	for i := range s.self.Targets {
		if s.sequence%10 == i%10 {
			s.sendHeartbeat(i)
			steps++
		}
	}
	s.sequence++
	return steps
}

func (s *reducer) heartbeat() int {
	s.sequence++
	s.now = s.now.Add(time.Millisecond)
	s.sendHeartbeat(s.sequence)
	return 1
}

func (s *reducer) receivePing() int {
	s.sequence++
	s.receive(message.Ping{Sequence: uint64(s.sequence)})
	return 1
}

// receivePingWithRecords has changed records of several members arrive.
func (s *reducer) receivePingWithRecords() int {
	records := make([]fleet.Member, 0, changedRecords)
	for range changedRecords {
		s.sequence++
		m := &s.peers[s.sequence%len(s.peers)]
		targets := slices.Clone(m.Targets)
		targets[0].Ejected = !targets[0].Ejected
		*m = m.WithTargets(targets)
		records = append(records, *m)
	}
	s.receive(message.Ping{Sequence: uint64(s.sequence), Members: records})
	return 1
}
