package node

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/event"
	"jayfold.dev/jayfold/internal/core/fleet"
	"jayfold.dev/jayfold/internal/core/message"
	"jayfold.dev/jayfold/internal/core/routing"
)

const (
	worldHosts     = 3
	targetsPerHost = 2
	worldTick      = 100 * time.Millisecond
	maxDelay       = 20 * time.Millisecond
	// streamGrace and cancelWait are those of the forwarder in internal/edge/peer, reportWait that of its sidecar.
	streamGrace = 250 * time.Millisecond
	cancelWait  = 200 * time.Millisecond
	reportWait  = time.Second
)

// world holds the reducers of several nodes, models of their edges and targets, and the network between them.
type world struct {
	now     time.Time
	random  uint64
	items   []item
	ordered int
	hosts   []*host
	cut     map[[2]int]bool
	lossy   bool
	members map[fleet.NodeID]fleet.Member
	claims  map[string]fleet.AttemptID
	ledger  *ledger
}

// item is something that is due at a time.
type item struct {
	due   time.Time
	order int
	act   func()
}

// host is a node with its edges and targets. Its life ends with a crash.
type host struct {
	index    int
	id       fleet.NodeID
	life     int
	down     bool
	paused   bool
	state    State
	mailbox  []event.Body
	streams  map[fleet.AttemptID]*stream
	handlers map[fleet.AttemptID]*handler
	targets  []*target
}

// stream is an attempt as the ingress's edge sees it.
type stream struct {
	attempt  fleet.Attempt
	from, to *host
	life     int
	done     bool
	// status is that of the answer that the ingress's edge keeps, 0 when it has none.
	status int
	// payload names the attempt whose run made the answer.
	payload fleet.AttemptID
}

// handler is an attempt as the sidecar's edge sees it.
type handler struct {
	stream  *stream
	life    int
	gone    bool
	running bool
	outcome fleet.Outcome
}

// target is a back-end process.
type target struct {
	name     string
	instance int
	pool     fleet.PoolName
	frozen   bool
	failing  bool
}

func newWorld(seed uint64) *world {
	w := &world{
		now: time.Unix(1_800_000_000, 0), random: seed, cut: map[[2]int]bool{},
		members: map[fleet.NodeID]fleet.Member{}, claims: map[string]fleet.AttemptID{}, ledger: newLedger(),
	}
	for i := range worldHosts {
		h := &host{index: i, id: fleet.NodeID(fmt.Sprintf("n%d", i)), down: true}
		for j := range targetsPerHost {
			h.targets = append(h.targets, &target{name: fmt.Sprintf("t%d", j), pool: "p"})
		}
		w.hosts = append(w.hosts, h)
		w.start(h)
	}
	w.advance(12 * time.Second) // Gossip settles and the targets' slow start ends.
	return w
}

func (w *world) draw(n int) int {
	w.random = w.random*6364136223846793005 + 1442695040888963407
	return int((w.random >> 33) % uint64(n))
}

func (w *world) chance(percent int) bool { return w.draw(100) < percent }

func (w *world) delay() time.Duration {
	if w.chance(5) {
		return time.Duration(w.draw(int(time.Second)))
	}
	return time.Duration(w.draw(int(maxDelay)))
}

func (w *world) after(d time.Duration, act func()) {
	w.ordered++
	i := item{due: w.now.Add(max(d, 0)), order: w.ordered, act: act}
	at, _ := slices.BinarySearchFunc(w.items, i, func(a, b item) int {
		if c := a.due.Compare(b.due); c != 0 {
			return c
		}
		return a.order - b.order
	})
	w.items = slices.Insert(w.items, at, i)
}

func (w *world) advance(d time.Duration) {
	end := w.now.Add(d)
	for len(w.items) > 0 && !w.items[0].due.After(end) {
		next := w.items[0]
		w.items = w.items[1:]
		w.now = next.due
		next.act()
	}
	w.now = end
}

// start begins a life of a node.
func (w *world) start(h *host) {
	h.life++
	h.down, h.paused, h.mailbox = false, false, nil
	h.streams, h.handlers = map[fleet.AttemptID]*stream{}, map[fleet.AttemptID]*handler{}
	h.state = New(fleet.Member{
		Node: h.id, AvailabilityZone: fleet.AvailabilityZone(fmt.Sprintf("z%d", h.index)), PeerAddress: string(h.id),
		ForwardAddress: string(h.id), Incarnation: fleet.Incarnation(h.life), Sequence: 1,
	}, DefaultSettings())
	tables := fleet.Tables{Revision: 1, Pools: fleet.Map[fleet.PoolName, fleet.Pool]{}.With("p", fleet.Pool{
		Name: "p", Floor: 2, FalseEjectionInterval: time.Minute,
	})}
	for _, class := range fleet.Classes {
		tables.Routes = append(tables.Routes, fleet.Route{
			Name: class.String(), PathPrefix: "/" + class.String(), Pool: "p", Class: class, Deadline: time.Second,
		})
	}
	w.post(h, h.life, event.TablesDecoded{Tables: tables, Router: routing.New(tables)})
	w.tick(h, h.life)
}

func (w *world) tick(h *host, life int) {
	if h.down || h.life != life {
		return
	}
	if !h.paused {
		w.post(h, life, event.Tick{})
	}
	for _, t := range h.targets {
		if !t.frozen && w.now.UnixNano()/int64(worldTick)%10 == 0 {
			w.announce(h, t)
		}
	}
	w.after(worldTick, func() { w.tick(h, life) })
}

func (w *world) announce(h *host, t *target) {
	w.post(h, h.life, event.HeartbeatReceived{Heartbeat: fleet.Heartbeat{
		Name: t.name, Pool: t.pool, Address: t.name, Slots: 2, Connections: 100, Instance: fmt.Sprint(t.instance),
	}})
}

// crash ends a life of a node. Streams to it break.
func (w *world) crash(h *host) {
	h.down = true
	w.ledger.lost(h)
	for _, other := range w.hosts {
		for _, id := range slices.Sorted(maps.Keys(other.streams)) {
			if s := other.streams[id]; s.to == h {
				w.after(w.delay(), func() { w.finish(s, problem(fleet.Broken, fleet.MayHaveRun), fleet.Option[fleet.TargetReport]{}) })
			}
		}
	}
}

func (w *world) resume(h *host) {
	waiting := h.mailbox
	h.paused, h.mailbox = false, nil
	for _, body := range waiting {
		w.post(h, h.life, body)
	}
}

// post gives an event to a reducer and carries out its effects.
func (w *world) post(h *host, life int, body event.Body) {
	if h.down || h.life != life {
		return
	}
	if h.paused {
		h.mailbox = append(h.mailbox, body)
		return
	}
	w.draw(1)
	state, effects := h.state.Reduce(event.Event{At: w.now, Random: w.random, Body: body})
	h.state = state
	for _, e := range effects {
		w.dispatch(h, e)
	}
}

func (w *world) dispatch(h *host, e effect.Effect) {
	switch e := e.(type) {
	case effect.ForwardAttempt:
		w.forward(h, e.Attempt)
	case effect.CancelAttempt:
		w.abandon(h.streams[e.Attempt])
	case effect.RelayResponse:
		w.ledger.answered(e, h.streams[e.Attempt])
	case effect.RefuseRequest:
		w.ledger.refused(e)
	case effect.StartRun, effect.RefuseAttempt, effect.CancelRun, effect.AttachRunReport, effect.ReplayResponse:
		w.serve(h, e)
	case effect.SendMessage:
		w.send(h, e)
	case effect.ClaimOrder:
		w.claim(h, e)
	case effect.ReleaseOrderClaim:
		if w.claims[e.ClaimName] == e.Attempt {
			delete(w.claims, e.ClaimName)
		}
	case effect.RegisterMember:
		w.members[e.Member.Node] = e.Member
	case effect.ListMembers:
		members := slices.SortedFunc(maps.Values(w.members), func(a, b fleet.Member) int { return strings.Compare(string(a.Node), string(b.Node)) })
		life := h.life
		w.after(w.delay(), func() { w.post(h, life, event.MembersListed{Members: members}) })
	}
}

func (w *world) claim(h *host, e effect.ClaimOrder) {
	life := h.life
	result := fleet.ClaimExists
	switch _, taken := w.claims[e.ClaimName]; {
	case w.chance(10):
		result = fleet.ClaimFailed
	case !taken:
		w.claims[e.ClaimName] = e.Attempt
		result = fleet.ClaimCreated
	}
	w.after(w.delay(), func() { w.post(h, life, event.OrderClaimFinished{Attempt: e.Attempt, Result: result}) })
}

// send carries a message between nodes, and may lose or repeat it.
func (w *world) send(h *host, e effect.SendMessage) {
	at := slices.IndexFunc(w.hosts, func(other *host) bool { return string(other.id) == e.Address })
	to := w.hosts[at]
	envelope := message.Envelope{
		From: h.id, Incarnation: e.Incarnation, Address: string(h.id), Revision: e.Revision, Message: e.Message,
	}
	for copies := 1 + w.draw(20)/19; copies > 0; copies-- {
		if w.cut[[2]int{h.index, to.index}] || w.lossy && w.chance(30) {
			continue
		}
		w.after(w.delay(), func() { w.post(to, to.life, event.MessageReceived{Envelope: envelope}) })
	}
}

func problem(cause fleet.Cause, verdict fleet.Verdict) fleet.Outcome {
	return fleet.Outcome{Problem: fleet.Some(fleet.NewProblem(cause, verdict, "world"))}
}
