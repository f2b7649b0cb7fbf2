package experiment

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"jayfold.dev/jayfold/internal/core/admission"
	"jayfold.dev/jayfold/internal/core/detection"
	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/ejection"
	"jayfold.dev/jayfold/internal/core/fleet"
)

const (
	poolName       fleet.PoolName = "catalogue"
	tickInterval                  = 100 * time.Millisecond
	messageLatency                = 1500 * time.Microsecond
	// baselineInterval is the interval at which ingresses learn the p95s of the targets.
	baselineInterval = 500 * time.Millisecond
)

// faultSchedule returns the condition of a target at a time since the start of the simulation.
type faultSchedule func(target int, at time.Duration) condition

// pool simulates the targets of one pool, each with its own node that runs the production detector and ejection reducer.
type pool struct {
	random      *rand.Rand
	now         time.Time
	queue       taskHeap
	nodes       []*node
	tables      fleet.Tables
	directory   fleet.Directory
	interval    time.Duration
	fault       faultSchedule
	baselineP95 time.Duration
}

// node runs the detector and the ejection reducer of one target.
type node struct {
	id        fleet.NodeID
	target    fleet.Target
	detection detection.State
	ejection  ejection.State
	// baselineDetectors observe the same requests as detection.
	baselineDetectors []detector
	// alarms holds the number of ejections by jayfold, followed by the number of alarms of each baseline detector.
	alarms []int
}

func newPool(r *rand.Rand, targets, floor int, interval time.Duration, f faultSchedule) *pool {
	p := &pool{random: r, now: simulationStart, interval: interval, fault: f, baselineP95: poolP95}
	p.tables.Pools = p.tables.Pools.With(poolName,
		fleet.Pool{Name: poolName, Floor: floor, FalseEjectionInterval: interval})
	var candidates []fleet.Candidate
	for i := range targets {
		id := fleet.NodeID(fmt.Sprintf("n%03d", i))
		t := fleet.Target{ID: fleet.NewTargetID(id, "a"), Pool: poolName}
		p.nodes = append(p.nodes, &node{
			id:                id,
			target:            t,
			ejection:          ejection.New(id),
			detection:         detection.New(),
			baselineDetectors: []detector{consecutiveFailures(0, poolP95), failureRate(0, poolP95)},
			alarms:            make([]int, 3),
		})
		candidates = append(candidates, fleet.Candidate{Target: t, Node: id})
	}
	p.directory = p.directory.WithPool(poolName, candidates)
	return p
}

// run simulates the pool for some time at a request rate per target.
func (p *pool) run(duration time.Duration, perSecond float64) {
	p.every(tickInterval, p.tick)
	p.every(baselineInterval, p.refreshBaselineP95)
	p.scheduleArrival(perSecond * float64(len(p.nodes)))
	end := simulationStart.Add(duration)
	for len(p.queue) > 0 && p.queue[0].at.Before(end) {
		next := heap.Pop(&p.queue).(task)
		p.now = next.at
		next.run()
	}
}

func (p *pool) after(d time.Duration, run func()) {
	heap.Push(&p.queue, task{at: p.now.Add(d), run: run})
}

func (p *pool) every(d time.Duration, run func()) {
	p.after(d, func() {
		run()
		p.every(d, run)
	})
}

func (p *pool) tick() {
	for _, n := range p.nodes {
		p.step(n, ejection.State.Tick)
	}
}

// refreshBaselineP95 sets baselineP95 to the median of the targets' p95s, as the ingresses do.
func (p *pool) refreshBaselineP95() {
	var known []time.Duration
	for _, n := range p.nodes {
		if p95 := n.detection.P95(n.target.ID, fleet.Lookup); p95 > 0 {
			known = append(known, p95)
		}
	}
	if len(known) > len(p.nodes)/2 {
		slices.Sort(known)
		p.baselineP95 = known[len(known)/2]
	}
}

// scheduleArrival schedules the next request, which runs on a random target that is in service.
func (p *pool) scheduleArrival(perSecond float64) {
	p.after(interarrival(p.random, perSecond), func() {
		for _, i := range p.random.Perm(len(p.nodes)) {
			if p.startRequest(i) {
				break
			}
		}
		p.scheduleArrival(perSecond)
	})
}

// startRequest starts a request on target i. It returns false if the target is out of service.
func (p *pool) startRequest(i int) bool {
	n := p.nodes[i]
	switch n.ejection.ServiceState(p.now, n.target.ID) {
	case admission.OutOfService:
		return false
	case admission.TrialDue:
		n.ejection = n.ejection.TrialStarted(p.now, n.target.ID)
	}
	duration, failed := p.fault(i, p.now.Sub(simulationStart)).sample(p.random)
	p.after(duration, func() { p.finishRequest(n, duration, failed) })
	return true
}

func (p *pool) finishRequest(n *node, duration time.Duration, failed bool) {
	n.ejection = n.ejection.TrialFinished(n.target.ID)
	for i, d := range n.baselineDetectors {
		if d(p.now, duration, failed) {
			n.alarms[i+1]++
		}
	}
	next, judgement := n.detection.RunFinished(p.now, detection.Sample{
		Target:                n.target.ID,
		Class:                 fleet.Lookup,
		Failed:                failed,
		Duration:              duration,
		Baseline:              p.baselineP95,
		FalseEjectionInterval: p.interval,
		Ejected:               n.ejection.Ejected(p.now, n.target.ID),
	})
	n.detection = next
	if decide, ok := ejectionEvents[judgement]; ok {
		p.step(n, func(s ejection.State, ctx ejection.Context) (ejection.State, []effect.Effect) {
			return decide(s, ctx, n.target.ID)
		})
	}
}

// ejectionEvents maps each judgement of the detector to the event that it causes in the ejection reducer.
var ejectionEvents = map[detection.Judgement]func(
	ejection.State, ejection.Context, fleet.TargetID,
) (ejection.State, []effect.Effect){
	detection.Failing:   ejection.State.TargetFailing,
	detection.Recovered: ejection.State.TargetRecovered,
	detection.Relapsed:  ejection.State.TargetRelapsed,
}

// step applies an event to the ejection reducer of a node and sends the resulting messages.
func (p *pool) step(n *node, event func(ejection.State, ejection.Context) (ejection.State, []effect.Effect)) {
	before := n.ejection.Ejected(p.now, n.target.ID)
	next, effects := event(n.ejection, ejection.Context{
		Now:          p.now,
		Random:       p.random.Uint64(),
		Tables:       p.tables,
		Directory:    p.directory,
		LocalTargets: []fleet.Target{n.target},
		PeerAddress:  func(id fleet.NodeID) (string, bool) { return string(id), true },
		Evidence:     n.detection.Evidence,
	})
	n.ejection = next
	if !before && n.ejection.Ejected(p.now, n.target.ID) {
		n.alarms[0]++
	}
	for _, e := range effects {
		if send, ok := e.(effect.SendMessage); ok {
			p.after(messageLatency, func() { p.receive(n.id, send) })
		}
	}
}

func (p *pool) receive(from fleet.NodeID, send effect.SendMessage) {
	for _, n := range p.nodes {
		if n.id == send.To {
			p.step(n, func(s ejection.State, ctx ejection.Context) (ejection.State, []effect.Effect) {
				return s.MessageReceived(ctx, from, send.Message)
			})
		}
	}
}

// task is a function that runs at a simulated time.
type task struct {
	at  time.Time
	run func()
}

// taskHeap is a heap of tasks, ordered by time.
type taskHeap []task

func (q taskHeap) Len() int           { return len(q) }
func (q taskHeap) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q taskHeap) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *taskHeap) Push(x any)        { *q = append(*q, x.(task)) }

// Pop removes and returns the last element, as container/heap requires.
func (q *taskHeap) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}
