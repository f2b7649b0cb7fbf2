package replay

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

const (
	sameZoneLatency   = 200 * time.Microsecond
	crossZoneLatency  = 1400 * time.Microsecond
	tickInterval      = 100 * time.Millisecond
	heartbeatInterval = time.Second
)

// settings are the node settings of the Sicilian site.
var settings = fleet.Settings{
	RetryBudget:       fleet.RetryBudget{Ratio: 0.2, Window: 10 * time.Second, Slack: 58},
	HeartbeatInterval: heartbeatInterval,
	StopGrace:         time.Minute,
}

// Jayfold runs the production reducer of one node on the host of each target.
var Jayfold = Policy{Name: "jayfold", newScheduler: func(s *site) scheduler { return newNodeFleet(s, settings) }}

// JayfoldByCost is Jayfold with placement by expected cost.
var JayfoldByCost = Policy{Name: "jayfold by cost", newScheduler: func(s *site) scheduler {
	byCost := settings
	byCost.Placement = fleet.PlacementByCost
	return newNodeFleet(s, byCost)
}}

// nodeFleet holds the nodes of a site, and the requests and attempts that are in flight between them.
type nodeFleet struct {
	site     *site
	nodes    []*simulatedNode
	byID     map[fleet.NodeID]*simulatedNode
	requests map[fleet.RequestID]*request
	attempts map[fleet.AttemptID]*attempt
	revision fleet.Revision
}

// attempt is an attempt with the nodes that take part in it.
type attempt struct {
	ingress, sidecar *simulatedNode
	// run is the execution on the target; nil before it starts.
	run *run
	// outcome is the outcome of the run, or the refusal.
	outcome fleet.Outcome
}

// simulatedNode is a node with the target on its host.
type simulatedNode struct {
	id     fleet.NodeID
	target *target
	state  node.State
	// timerAt is the time at which event.RequestTimerFired is next due; zero if it is not scheduled.
	timerAt time.Time
}

func newNodeFleet(s *site, settings fleet.Settings) scheduler {
	f := &nodeFleet{
		site: s, byID: map[fleet.NodeID]*simulatedNode{},
		requests: map[fleet.RequestID]*request{}, attempts: map[fleet.AttemptID]*attempt{},
	}
	members := make([]fleet.Member, 0, len(s.targets))
	for _, t := range s.targets {
		id := fleet.NodeID(fmt.Sprintf("n%02d", t.index))
		members = append(members, fleet.Member{
			Node: id, AvailabilityZone: zoneName(t.zone), PeerAddress: string(id), ForwardAddress: string(id),
			Incarnation: 1, Sequence: 1,
			Targets: []fleet.Target{{ID: fleet.NewTargetID(id, "t"), Pool: fleet.PoolName(t.pool), Slots: slotsPerTarget}},
		})
	}
	for i, t := range s.targets {
		n := &simulatedNode{id: members[i].Node, target: t, state: node.New(members[i], settings)}
		f.nodes, f.byID[n.id] = append(f.nodes, n), n
		f.post(n, event.MessageReceived{Envelope: message.Envelope{
			From: members[0].Node, Incarnation: 1, Message: message.SyncReply{Members: members},
		}})
		f.sendHeartbeat(n)
		s.clock.every(tickInterval, func() { f.post(n, event.Tick{}) })
		s.clock.every(heartbeatInterval, func() { f.sendHeartbeat(n) })
	}
	f.applyTables()
	return scheduler{requestArrived: f.requestArrived, routesChanged: f.applyTables}
}

func zoneName(zone int) fleet.AvailabilityZone { return fleet.AvailabilityZone(fmt.Sprint("z", zone)) }

func (f *nodeFleet) sendHeartbeat(n *simulatedNode) {
	f.post(n, event.HeartbeatReceived{Heartbeat: fleet.Heartbeat{
		Name: "t", Pool: fleet.PoolName(n.target.pool), Address: string(n.id), Slots: slotsPerTarget, Connections: 100,
		Instance: fmt.Sprint(n.target.startedAt.Unix()), Started: n.target.startedAt,
	}})
}

// applyTables puts tables into force that route each class to the pool that the pattern currently assigns to it.
func (f *nodeFleet) applyTables() {
	f.revision++
	tables := fleet.Tables{Revision: f.revision}
	for _, pool := range pools {
		name := fleet.PoolName(pool)
		// A floor above the size of the pool rules out ejections, as on the users' platform.
		tables.Pools = tables.Pools.With(name, fleet.Pool{Name: name, Service: pool, Floor: len(f.nodes)})
	}
	for _, c := range classes {
		spec := classSpecs[c]
		tables.Routes = append(tables.Routes, fleet.Route{
			Name: paths[c], PathPrefix: paths[c], Pool: fleet.PoolName(f.site.pattern.pool(c, f.site.elapsed())), Class: coreClasses[c],
			Idempotent: fleet.Some(spec.idempotent), Deadline: spec.deadline, Goal: spec.goal, Attempts: 2, Priority: priorities[c],
		})
	}
	tables = f.site.pattern.accounts.withAccounts(tables)
	for _, n := range f.nodes {
		f.post(n, event.TablesDecoded{Tables: tables, Router: routing.New(tables), Accounts: accounts.New(tables)})
	}
}

var (
	paths       = [...]string{order: "/orders/", lookup: "/lookups/", child: "/calls/"}
	coreClasses = [...]fleet.Class{order: fleet.Order, lookup: fleet.Lookup, child: fleet.Internal}
	priorities  = [...]int{order: 1, lookup: 2, child: 0}
)

// requestArrived posts a request to a node in its zone: a child request to the node of its parent, others to a random node.
func (f *nodeFleet) requestArrived(r *request) {
	var candidates []*simulatedNode
	for _, n := range f.nodes {
		if n.target.zone == r.zone && (r.parent == nil || r.parent.target == n.target) {
			candidates = append(candidates, n)
		}
	}
	n := candidates[f.site.policyRandom.IntN(len(candidates))]
	arriving := fleet.Request{ID: fleet.RequestID(r.id), Method: "GET", Host: "shop", Path: paths[r.class] + r.id,
		Timeout: r.deadline.Sub(f.site.clock.now)}
	if r.account != noAccount {
		arriving.Credential = fleet.NewCredential([]string{keyOf(r.account)})
	}
	if r.parent != nil {
		arriving.Parent = fleet.RequestID(r.parent.request.id)
	}
	f.requests[arriving.ID] = r
	f.post(n, event.RequestArrived{Request: arriving})
}

// post applies an event to a node, executes its effects and schedules its request timer.
func (f *nodeFleet) post(n *simulatedNode, body event.Body) {
	state, effects := n.state.Reduce(event.Event{At: f.site.clock.now, Random: f.site.policyRandom.Uint64(), Body: body})
	n.state = state
	for _, e := range effects {
		f.execute(n, e)
	}
	due, ok := n.state.Due()
	if !ok || due.Equal(n.timerAt) {
		return
	}
	n.timerAt = due
	f.site.clock.after(due.Sub(f.site.clock.now), func() {
		if n.timerAt.Equal(due) {
			n.timerAt = time.Time{}
			f.post(n, event.RequestTimerFired{})
		}
	})
}

// postAfterLatency posts an event to a node after the network latency from another node.
func (f *nodeFleet) postAfterLatency(from, to *simulatedNode, body event.Body) {
	latency := sameZoneLatency
	if from.target.zone != to.target.zone {
		latency = crossZoneLatency
	}
	f.site.clock.after(latency, func() { f.post(to, body) })
}

func (f *nodeFleet) execute(n *simulatedNode, e effect.Effect) {
	switch e := e.(type) {
	case effect.ForwardAttempt:
		a := &attempt{ingress: n, sidecar: f.byID[e.Attempt.Node]}
		f.attempts[e.Attempt.ID] = a
		if e.CrossZone {
			f.site.crossed()
		}
		f.postAfterLatency(n, a.sidecar, event.AdmissionRequested{Attempt: e.Attempt})
	case effect.CancelAttempt:
		f.postAfterLatency(n, f.attempts[e.Attempt].sidecar, event.AdmissionCanceled{Attempt: e.Attempt})
	case effect.RefuseAttempt:
		a := f.attempts[e.Attempt]
		if a.ingress.target.zone != a.sidecar.target.zone {
			f.site.crossingRefused()
		}
		a.outcome = fleet.Outcome{Problem: fleet.Some(e.Problem)}
		f.finishAttempt(a, e.Attempt, e.Report)
	case effect.StartRun:
		f.startRun(n, e.Attempt)
	case effect.CancelRun:
		f.attempts[e.Attempt].run.end(canceled)
	case effect.AttachRunReport:
		f.finishAttempt(f.attempts[e.Attempt], e.Attempt, e.Report)
	case effect.RelayResponse:
		f.relayResponse(e)
	case effect.RefuseRequest:
		f.finishRequest(e.Request, requestResult{refused: e.Problem.Verdict == fleet.NotRun, aborted: e.Problem.Cause == fleet.Broken})
	case effect.SendMessage:
		f.postAfterLatency(n, f.byID[e.To], event.MessageReceived{Envelope: message.Envelope{
			From: n.id, Incarnation: e.Incarnation, Address: string(n.id), Revision: e.Revision, Message: e.Message,
		}})
	}
}

// startRun starts the run of an attempt on its target.
func (f *nodeFleet) startRun(n *simulatedNode, started fleet.Attempt) {
	a := f.attempts[started.ID]
	startedAt := f.site.clock.now
	isRetry := started.IsRetry || started.ParentRetried
	a.run = n.target.startRun(f.requests[started.ID.Request()], isRetry, func(result runResult) {
		a.outcome = outcomes[result]
		a.outcome.Duration = f.site.clock.now.Sub(startedAt)
		f.post(n, event.RunFinished{Attempt: started.ID, Outcome: a.outcome})
	})
}

// outcomes maps the result of a run to the outcome that the node of the target observes.
var outcomes = map[runResult]fleet.Outcome{
	ran:         {Status: 200},
	childFailed: {Status: 500, Problem: problem(fleet.TargetFailed, fleet.Ran)},
	aborted:     {Problem: problem(fleet.Broken, fleet.MayHaveRun)},
	shed:        {Problem: problem(fleet.Shed, fleet.NotRun)},
	canceled:    {Problem: problem(fleet.Canceled, fleet.MayHaveRun)},
}

func problem(cause fleet.Cause, verdict fleet.Verdict) fleet.Option[fleet.Problem] {
	return fleet.Some(fleet.NewProblem(cause, verdict, "replay"))
}

// finishAttempt posts the outcome of an attempt to its ingress.
func (f *nodeFleet) finishAttempt(a *attempt, id fleet.AttemptID, report fleet.TargetReport) {
	f.postAfterLatency(a.sidecar, a.ingress, event.AttemptFinished{Attempt: id, Outcome: a.outcome, Report: fleet.Some(report)})
}

func (f *nodeFleet) relayResponse(e effect.RelayResponse) {
	a := f.attempts[e.Attempt]
	result := requestResult{response: successResponse, zone: a.sidecar.target.zone}
	if a.outcome.Status != 200 {
		result.response = errorResponse
	}
	f.finishRequest(e.Request, result)
}

func (f *nodeFleet) finishRequest(id fleet.RequestID, result requestResult) {
	if r, ok := f.requests[id]; ok && !r.ended {
		r.ended = true
		r.onEnd(result)
	}
}
