package node

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"jayfold.dev/jayfold/internal/core/accounts"
	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/event"
	"jayfold.dev/jayfold/internal/core/fleet"
	"jayfold.dev/jayfold/internal/core/message"
	"jayfold.dev/jayfold/internal/core/routing"
)

const (
	hostCount      = 3
	targetsPerHost = 2
	tickInterval   = 100 * time.Millisecond
	maxDelay       = 20 * time.Millisecond
	// streamGrace, cancelWait and reportWait have the values of deadlineGrace, cancelTimeout and reportTimeout in
	// internal/edge/peer.
	streamGrace = 250 * time.Millisecond
	cancelWait  = 200 * time.Millisecond
	reportWait  = time.Second
)

// simulation models several nodes with their reducers, edges and targets, and the network between them.
type simulation struct {
	now    time.Time
	random uint64
	timers []timer
	// timerCount is the number of timers set, and the sequence number of the last one.
	timerCount int
	hosts      []*host
	// cut holds the broken links as pairs of the indices of the sending and the receiving host.
	cut   map[[2]int]bool
	lossy bool
	// members and claims are the member records and order claims stored on the platform.
	members map[fleet.NodeID]fleet.Member
	claims  map[string]fleet.AttemptID
	ledger  *ledger
	// keys holds the API keys of requests; nil if no tables have accounts.
	keys *simulatedKeys
}

// timer runs an action at a time. Timers with the same time run in the order of their sequence numbers.
type timer struct {
	due      time.Time
	sequence int
	action   func()
}

// host is a node with its edges and targets. Each restart after a crash increments the incarnation.
type host struct {
	index       int
	id          fleet.NodeID
	incarnation int
	down        bool
	paused      bool
	state       State
	mailbox     []event.Body
	streams     map[fleet.AttemptID]*stream
	handlers    map[fleet.AttemptID]*handler
	targets     []*target
}

// stream is an attempt as seen by the edge of the ingress.
type stream struct {
	attempt     fleet.Attempt
	from, to    *host
	incarnation int
	done        bool
	// status is the HTTP status of the response, or 0 if there is none.
	status int
	// payload is the attempt whose run produced the response.
	payload fleet.AttemptID
}

// handler is an attempt as seen by the edge of the sidecar.
type handler struct {
	stream      *stream
	incarnation int
	canceled    bool
	running     bool
	outcome     fleet.Outcome
}

type target struct {
	name     string
	instance int
	pool     fleet.PoolName
	frozen   bool
	failing  bool
}

func newSimulation(seed uint64) *simulation {
	sim := &simulation{
		now: time.Unix(1_800_000_000, 0), random: seed, cut: map[[2]int]bool{},
		members: map[fleet.NodeID]fleet.Member{}, claims: map[string]fleet.AttemptID{}, ledger: newLedger(),
	}
	for i := range hostCount {
		h := &host{index: i, id: fleet.NodeID(fmt.Sprintf("n%d", i)), down: true}
		for j := range targetsPerHost {
			h.targets = append(h.targets, &target{name: fmt.Sprintf("t%d", j), pool: "p"})
		}
		sim.hosts = append(sim.hosts, h)
		sim.start(h)
	}
	sim.advance(12 * time.Second) // Membership converges and the targets' slow start ends.
	return sim
}

func (sim *simulation) draw(n int) int {
	sim.random = sim.random*6364136223846793005 + 1442695040888963407
	return int((sim.random >> 33) % uint64(n))
}

func (sim *simulation) chance(percent int) bool { return sim.draw(100) < percent }

func (sim *simulation) delay() time.Duration {
	if sim.chance(5) {
		return time.Duration(sim.draw(int(time.Second)))
	}
	return time.Duration(sim.draw(int(maxDelay)))
}

func (sim *simulation) after(d time.Duration, action func()) {
	sim.timerCount++
	t := timer{due: sim.now.Add(max(d, 0)), sequence: sim.timerCount, action: action}
	at, _ := slices.BinarySearchFunc(sim.timers, t, func(a, b timer) int {
		if c := a.due.Compare(b.due); c != 0 {
			return c
		}
		return a.sequence - b.sequence
	})
	sim.timers = slices.Insert(sim.timers, at, t)
}

func (sim *simulation) advance(d time.Duration) {
	end := sim.now.Add(d)
	for len(sim.timers) > 0 && !sim.timers[0].due.After(end) {
		next := sim.timers[0]
		sim.timers = sim.timers[1:]
		sim.now = next.due
		next.action()
	}
	sim.now = end
}

// start starts a new process of a node.
func (sim *simulation) start(h *host) {
	h.incarnation++
	h.down, h.paused, h.mailbox = false, false, nil
	h.streams, h.handlers = map[fleet.AttemptID]*stream{}, map[fleet.AttemptID]*handler{}
	h.state = New(fleet.Member{
		Node: h.id, AvailabilityZone: fleet.AvailabilityZone(fmt.Sprintf("z%d", h.index)), PeerAddress: string(h.id),
		ForwardAddress: string(h.id), Incarnation: fleet.Incarnation(h.incarnation), Sequence: 1,
	}, DefaultSettings())
	tables := fleet.Tables{Revision: 1, Pools: fleet.Map[fleet.PoolName, fleet.Pool]{}.With("p", fleet.Pool{
		Name: "p", Floor: 2, FalseEjectionInterval: time.Minute,
	})}
	for _, class := range fleet.Classes {
		tables.Routes = append(tables.Routes, fleet.Route{
			Name: class.String(), PathPrefix: "/" + class.String(), Pool: "p", Class: class, Deadline: time.Second,
		})
	}
	if sim.keys == nil {
		tables = withSimulatedAccounts(tables)
	}
	sim.post(h, h.incarnation, event.TablesDecoded{Tables: tables, Router: routing.New(tables), Accounts: accounts.New(tables)})
	sim.tick(h, h.incarnation)
}

func (sim *simulation) tick(h *host, incarnation int) {
	if h.down || h.incarnation != incarnation {
		return
	}
	if !h.paused {
		sim.post(h, incarnation, event.Tick{})
	}
	for _, t := range h.targets {
		if !t.frozen && sim.now.UnixNano()/int64(tickInterval)%10 == 0 {
			sim.heartbeat(h, t)
		}
	}
	sim.after(tickInterval, func() { sim.tick(h, incarnation) })
}

func (sim *simulation) heartbeat(h *host, t *target) {
	sim.post(h, h.incarnation, event.HeartbeatReceived{Heartbeat: fleet.Heartbeat{
		Name: t.name, Pool: t.pool, Address: t.name, Slots: 2, Connections: 100, Instance: fmt.Sprint(t.instance),
	}})
}

// crash ends the process of a node and breaks the streams to it.
func (sim *simulation) crash(h *host) {
	h.down = true
	sim.ledger.nodeCrashed(h)
	for _, other := range sim.hosts {
		for _, id := range slices.Sorted(maps.Keys(other.streams)) {
			if s := other.streams[id]; s.to == h {
				sim.after(sim.delay(), func() { sim.finish(s, problem(fleet.Broken, fleet.MayHaveRun), fleet.Option[fleet.TargetReport]{}) })
			}
		}
	}
}

func (sim *simulation) resume(h *host) {
	pending := h.mailbox
	h.paused, h.mailbox = false, nil
	for _, body := range pending {
		sim.post(h, h.incarnation, body)
	}
}

// post passes an event to the reducer of a host and executes the effects. Events for an earlier incarnation are dropped.
func (sim *simulation) post(h *host, incarnation int, body event.Body) {
	if h.down || h.incarnation != incarnation {
		return
	}
	if h.paused {
		h.mailbox = append(h.mailbox, body)
		return
	}
	sim.draw(1)
	state, effects := h.state.Reduce(event.Event{At: sim.now, Random: sim.random, Body: body})
	h.state = state
	for _, e := range effects {
		sim.execute(h, e)
	}
}

func (sim *simulation) execute(h *host, e effect.Effect) {
	switch e := e.(type) {
	case effect.ForwardAttempt:
		sim.checkKey(h, e.Attempt)
		sim.forward(h, e.Attempt)
	case effect.CancelAttempt:
		sim.cancelAttempt(h.streams[e.Attempt])
	case effect.RelayResponse:
		sim.ledger.responseRelayed(e, h.streams[e.Attempt])
	case effect.RefuseRequest:
		sim.ledger.requestRefused(e)
	case effect.StartRun, effect.RefuseAttempt, effect.CancelRun, effect.AttachRunReport, effect.ReplayResponse:
		sim.executeSidecar(h, e)
	case effect.SendMessage:
		sim.send(h, e)
	case effect.ClaimOrder:
		sim.claim(h, e)
	case effect.ReleaseOrderClaim:
		if sim.claims[e.ClaimName] == e.Attempt {
			delete(sim.claims, e.ClaimName)
		}
	case effect.RegisterMember:
		sim.members[e.Member.Node] = e.Member
	case effect.ListMembers:
		members := slices.SortedFunc(maps.Values(sim.members), func(a, b fleet.Member) int {
			return strings.Compare(string(a.Node), string(b.Node))
		})
		incarnation := h.incarnation
		sim.after(sim.delay(), func() { sim.post(h, incarnation, event.MembersListed{Members: members}) })
	}
}

func (sim *simulation) claim(h *host, e effect.ClaimOrder) {
	incarnation := h.incarnation
	result := fleet.ClaimExists
	switch _, taken := sim.claims[e.ClaimName]; {
	case sim.chance(10):
		result = fleet.ClaimFailed
	case !taken:
		sim.claims[e.ClaimName] = e.Attempt
		result = fleet.ClaimCreated
	}
	sim.after(sim.delay(), func() { sim.post(h, incarnation, event.OrderClaimFinished{Attempt: e.Attempt, Result: result}) })
}

// send sends a message to another node. The message may be lost or duplicated.
func (sim *simulation) send(h *host, e effect.SendMessage) {
	at := slices.IndexFunc(sim.hosts, func(other *host) bool { return string(other.id) == e.Address })
	to := sim.hosts[at]
	envelope := message.Envelope{
		From: h.id, Incarnation: e.Incarnation, Address: string(h.id), Revision: e.Revision, Message: e.Message,
	}
	for copies := 1 + sim.draw(20)/19; copies > 0; copies-- {
		if sim.cut[[2]int{h.index, to.index}] || sim.lossy && sim.chance(30) {
			continue
		}
		sim.after(sim.delay(), func() { sim.post(to, to.incarnation, event.MessageReceived{Envelope: envelope}) })
	}
}

func problem(cause fleet.Cause, verdict fleet.Verdict) fleet.Outcome {
	return fleet.Outcome{Problem: fleet.Some(fleet.NewProblem(cause, verdict, "simulated"))}
}
