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
	// batches is the number of timed batches. The median of them is used, so that a pause of this process has no influence.
	batches = 7
	// requestInterval is the time between two requests at a node's share of 60,000 requests per second.
	requestInterval = 9 * time.Millisecond
	// changedRecords is the number of records with 14 targets that fit into one message.
	changedRecords = 4
)

// stepKinds lists the kinds of steps whose CPU time is measured. round runs one or more steps and returns their number.
var stepKinds = []struct {
	name  string
	round func(*reducer) int
}{
	{"request at the ingress", (*reducer).serveRequest},
	{"attempt at the sidecar", (*reducer).serveAttempt},
	{"tick", (*reducer).tick},
	{"heartbeat of a target", (*reducer).receiveHeartbeat},
	{"ping without records", (*reducer).receivePing},
	{"ping with 4 changed records", (*reducer).receivePingWithRecords},
}

// reducerCost measures the CPU time per step of each kind.
func reducerCost(ctx context.Context, options Options) ([]series, string, error) {
	measured := make([]series, len(stepKinds))
	for i, kind := range stepKinds {
		measured[i] = series{name: kind.name, unit: "us/step", at: designMembers}
	}
	for _, members := range options.Members {
		r := newReducer(scaledSize(members), options.Seed)
		for i, kind := range stepKinds {
			if err := ctx.Err(); err != nil {
				return nil, "", err
			}
			cost := stepTime(options.Steps, func() int { return kind.round(r) })
			measured[i] = measured[i].withPoint(float64(members), float64(cost.Nanoseconds())/1000)
		}
	}
	return measured, "CPU per step of the reducer, by nodes of the fleet", nil
}

// stepTime returns the CPU time of one step: the median over several batches, each of at least the given number of steps.
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

// nextID returns a unique number and a request ID derived from it. The IDs are spread over their range as random ones are.
func (r *reducer) nextID() (int, string) {
	r.sequence++
	return r.sequence, fmt.Sprintf("%016x", uint64(r.sequence)*0x9e3779b97f4a7c15)
}

// serveRequest runs one request of a caller, from its arrival to its response.
func (r *reducer) serveRequest() int {
	r.now = r.now.Add(requestInterval)
	i, id := r.nextID()
	effects := r.reduce(event.RequestArrived{Request: fleet.Request{
		ID: fleet.RequestID(id), Method: "GET", Path: r.size.pathPrefix(i) + "/7", Fingerprint: fleet.Fingerprint(i),
	}})
	forward, ok := effects[0].(effect.ForwardAttempt)
	if !ok {
		panic(fmt.Sprintf("capacity: request was not forwarded: %v", effects[0]))
	}
	report := fleet.TargetReport{Target: forward.Attempt.Target, P95: 5 * time.Millisecond, Load: fleet.Load{Slots: 4}, Revision: 1}
	r.reduce(event.AttemptFinished{
		Attempt: forward.Attempt.ID, Outcome: fleet.Outcome{Status: 200}, Report: fleet.Some(report),
	})
	return 2
}

// serveAttempt runs one attempt of another ingress on a local target.
func (r *reducer) serveAttempt() int {
	r.now = r.now.Add(requestInterval)
	i, id := r.nextID()
	t := r.self.Targets[i%len(r.self.Targets)]
	attempt := fleet.Attempt{
		ID: fleet.NewAttemptID(fleet.RequestID(id), 1), Target: t.ID, Pool: t.Pool, Deadline: r.now.Add(time.Second),
		Baseline: 5 * time.Millisecond, Fingerprint: fleet.Fingerprint(i),
	}
	r.reduce(event.AdmissionRequested{Attempt: attempt})
	r.reduce(event.RunFinished{Attempt: attempt.ID, Outcome: fleet.Outcome{Status: 200, Duration: 4 * time.Millisecond}})
	return 2
}

// tick advances the time by 100 ms and acknowledges each ping that the node sends. The acknowledgements and the heartbeats of the
// targets count as steps as well.
func (r *reducer) tick() int {
	r.now = r.now.Add(100 * time.Millisecond)
	steps := 1
	for _, e := range r.reduce(event.Tick{}) {
		send, ok := e.(effect.SendMessage)
		if !ok {
			continue
		}
		if ping, ok := send.Message.(message.Ping); ok {
			r.reduce(event.MessageReceived{Envelope: message.Envelope{
				From: send.To, Incarnation: r.self.Incarnation, Address: send.Address, Revision: 1,
				Message: message.Ack{Sequence: ping.Sequence, Subject: send.To},
			}})
			steps++
		}
	}
	for i := range r.self.Targets {
		if r.sequence%10 == i%10 {
			r.sendHeartbeat(i)
			steps++
		}
	}
	r.sequence++
	return steps
}

func (r *reducer) receiveHeartbeat() int {
	r.sequence++
	r.now = r.now.Add(time.Millisecond)
	r.sendHeartbeat(r.sequence)
	return 1
}

func (r *reducer) receivePing() int {
	r.sequence++
	r.receive(message.Ping{Sequence: uint64(r.sequence)})
	return 1
}

// receivePingWithRecords receives a ping with changed records of several members.
func (r *reducer) receivePingWithRecords() int {
	records := make([]fleet.Member, 0, changedRecords)
	for range changedRecords {
		r.sequence++
		m := &r.peers[r.sequence%len(r.peers)]
		targets := slices.Clone(m.Targets)
		targets[0].Ejected = !targets[0].Ejected
		*m = m.WithTargets(targets)
		records = append(records, *m)
	}
	r.receive(message.Ping{Sequence: uint64(r.sequence), Members: records})
	return 1
}
