package tables_test

import (
	"fmt"
	"slices"
	"time"

	"jayfold.dev/jayfold/internal/core/accounts"
	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/event"
	"jayfold.dev/jayfold/internal/core/fleet"
	"jayfold.dev/jayfold/internal/core/message"
	"jayfold.dev/jayfold/internal/core/routing"
	"jayfold.dev/jayfold/internal/core/tables"
)

// simulation models several nodes, the platform's head, and the messages and calls between them.
type simulation struct {
	now    time.Time
	random func() uint64
	nodes  []tables.State
	// head is the platform's newest revision.
	head fleet.Revision
	// The version of the head object is its revision less the versions that restorations have taken back. The version of the platform is
	// that of the head object plus the writes of others since.
	takenBack, otherWrites uint64
	// epoch is that of the platform's data, known what each node knows of it.
	epoch  fleet.Epoch
	known  []fleet.Epoch
	outage bool
	// cutOff holds the nodes that can't reach the platform.
	cutOff map[int]bool
	// zoneSize is the number of nodes in an availability zone.
	zoneSize int
	// silent loses all messages between nodes.
	silent bool
	// damage makes all content that is decoded invalid.
	damage bool
	// watches counts the watches of each node that have no response yet; waiting holds those that wait for a change, by node.
	watches []int
	waiting map[int]waitingWatch
	queue   []delivery
	// reads counts the calls to the platform.
	reads int
	// notifications lists pairs of a node and the peer that it is about to notify of its revision.
	notifications [][2]int
}

// waitingWatch is a watch that waits for a change.
type waitingWatch struct {
	effect.WatchHead
	until time.Time
}

// delivery is an input of a node that is in transit.
type delivery struct {
	to int
	// isMessage is true if the input is a message, which can be lost or duplicated.
	isMessage bool
	input     func(tables.State) (tables.State, []effect.Effect)
}

func newSimulation(nodes int, random func() uint64) *simulation {
	return &simulation{
		now:     time.Unix(1_000_000, 0),
		random:  random,
		nodes:   make([]tables.State, nodes),
		watches: make([]int, nodes),
		waiting: map[int]waitingWatch{},
		epoch:   fleet.FirstEpoch,
		known:   slices.Repeat([]fleet.Epoch{fleet.FirstEpoch}, nodes),

		zoneSize: designZoneSize,
	}
}

// designZoneSize is the number of nodes in an availability zone at the design size.
const designZoneSize = 77

func (sim *simulation) fleet(i int) tables.Fleet {
	return tables.Fleet{Members: len(sim.nodes), ZoneMembers: min(sim.zoneSize, len(sim.nodes)), Epoch: sim.known[i]}
}

// zonePeer returns a random node in the zone of a node.
func (sim *simulation) zonePeer(i int) int {
	first := i / sim.zoneSize * sim.zoneSize
	return first + int(sim.random()%uint64(min(sim.zoneSize, len(sim.nodes)-first)))
}

// notifiedPeers is the number of nodes that a node notifies of a change.
const notifiedPeers = 4

func nodeID(i int) fleet.NodeID { return fleet.NodeID(fmt.Sprintf("node-%03d", i)) }

func nodeIndex(id fleet.NodeID) int {
	var i int
	// Every id comes from nodeID.
	_, _ = fmt.Sscanf(string(id), "node-%d", &i)
	return i
}

// post queues an input of a node.
func (sim *simulation) post(to int, isMessage bool, input func(tables.State) (tables.State, []effect.Effect)) {
	sim.queue = append(sim.queue, delivery{to: to, isMessage: isMessage, input: input})
}

// deliver removes input i from the queue and passes it to its node.
func (sim *simulation) deliver(i int) {
	d := sim.queue[i]
	sim.queue = append(sim.queue[:i:i], sim.queue[i+1:]...)
	sim.step(d.to, d.input)
}

func (sim *simulation) step(i int, input func(tables.State) (tables.State, []effect.Effect)) {
	next, effects := input(sim.nodes[i])
	sim.nodes[i] = next
	for _, e := range effects {
		sim.execute(i, e)
	}
	for _, n := range sim.notifications {
		sim.exchange(n[0], n[1])
	}
	sim.notifications = nil
}

func (sim *simulation) execute(i int, e effect.Effect) {
	switch e := e.(type) {
	case effect.WatchHead:
		sim.watches[i]++
		sim.reads++
		if _, replaced := sim.waiting[i]; replaced {
			sim.watches[i]--
		}
		sim.waiting[i] = waitingWatch{WatchHead: e, until: sim.now.Add(e.Wait)}
		if sim.hasEnded(i, sim.waiting[i]) {
			sim.endWatch(i)
		}
	case effect.FetchTables:
		sim.reads++
		if sim.isUnreachable(i) {
			sim.fail(i, event.CallFetchTables)
			return
		}
		sim.decode(i, e.Head.Revision)
	case effect.DecodeTables:
		sim.decode(i, e.Revision)
	case effect.SendMessage:
		sim.send(i, nodeIndex(e.To), e.Message)
	}
}

// endWatch responds to the waiting watch of a node, if there is one.
func (sim *simulation) endWatch(i int) {
	waiting, ok := sim.waiting[i]
	delete(sim.waiting, i)
	switch {
	case !ok:
	case sim.isUnreachable(i):
		sim.fail(i, event.CallWatchHead)
	default:
		sim.respondToWatch(i, waiting)
	}
}

// version returns the version of the head object with a revision.
func (sim *simulation) version(head fleet.Revision) uint64 { return uint64(head) - sim.takenBack }

// isUnreachable reports whether calls of a node to the platform fail.
func (sim *simulation) isUnreachable(i int) bool { return sim.outage || sim.cutOff[i] }

// hasEnded reports whether the watch of a node ends: the head has changed since its position, its wait is over, or the platform is
// unreachable. A watch from a position of an earlier epoch waits like any other.
func (sim *simulation) hasEnded(i int, w waitingWatch) bool {
	return sim.isUnreachable(i) || sim.version(sim.head) > w.From.Version || !sim.now.Before(w.until)
}

// respondToWatch responds with the head if it has changed since the position of the watch. As in the client, a response of another epoch
// than that of the position has neither the head nor a version.
func (sim *simulation) respondToWatch(i int, w waitingWatch) {
	revision := sim.head
	head, position := fleet.TablesHead{Revision: revision}, fleet.Position{Epoch: sim.epoch, Version: sim.version(revision) + sim.otherWrites}
	switch {
	case w.From.Epoch.Differs(sim.epoch):
		head, position.Version = fleet.TablesHead{}, 0
	case sim.version(revision) <= w.From.Version:
		head = fleet.TablesHead{}
	}
	sim.post(i, false, func(s tables.State) (tables.State, []effect.Effect) {
		sim.watches[i]--
		s = sim.learnEpoch(s, i, position.Epoch)
		return s.HeadRead(sim.now, sim.random(), sim.fleet(i), head, position)
	})
}

// learnEpoch tells a node an epoch, and its peers if it is new, as the root reducer does.
func (sim *simulation) learnEpoch(s tables.State, i int, e fleet.Epoch) tables.State {
	if e <= sim.known[i] {
		return s
	}
	sim.known[i] = e
	for range notifiedPeers {
		sim.notifications = append(sim.notifications, [2]int{i, sim.zonePeer(i)})
	}
	return s.EpochChanged(sim.now, sim.random(), sim.fleet(i))
}

// restore takes versions back, as a platform does that is restored from a copy. The operator writes the newest revision and a further one,
// and others write more than was taken back.
func (sim *simulation) restore(versions uint64) {
	sim.epoch++
	sim.takenBack += versions
	sim.head++
	sim.otherWrites = 2 * versions
}

// endWatches responds to the waiting watches for which the head has changed or the platform fails.
func (sim *simulation) endWatches() {
	for i := range sim.nodes {
		if waiting, ok := sim.waiting[i]; ok && sim.hasEnded(i, waiting) {
			sim.endWatch(i)
		}
	}
}

func (sim *simulation) fail(i int, call event.PlatformCall) {
	sim.post(i, false, func(s tables.State) (tables.State, []effect.Effect) {
		if call == event.CallWatchHead {
			sim.watches[i]--
		}
		return s.PlatformCallFailed(sim.now, sim.random(), sim.fleet(i), call, "outage")
	})
}

func (sim *simulation) decode(i int, r fleet.Revision) {
	if sim.damage {
		sim.post(i, false, func(s tables.State) (tables.State, []effect.Effect) { return s.TablesRejected(sim.now, r, "damaged") })
		return
	}
	sim.post(i, false, func(s tables.State) (tables.State, []effect.Effect) {
		before := s.Current().Revision
		s, effects := s.TablesDecoded(sim.now, fleet.Tables{Revision: r}, routing.Router{}, accounts.Index{}, []byte("content"))
		if s.Current().Revision != before {
			for range notifiedPeers {
				sim.notifications = append(sim.notifications, [2]int{i, sim.zonePeer(i)})
			}
		}
		return s, effects
	})
}

// send queues a message, unless all are lost. Every message contains the sender's revision.
func (sim *simulation) send(from, to int, m message.Message) {
	if sim.silent {
		return
	}
	envelope := message.Envelope{From: nodeID(from), Address: "address", Revision: sim.nodes[from].Current().Revision, Message: m}
	epoch := sim.known[from]
	sim.post(to, true, func(s tables.State) (tables.State, []effect.Effect) {
		s = sim.learnEpoch(s, to, epoch)
		s, effects := s.PeerRevisionSeen(sim.now, envelope.From, envelope.Address, envelope.Revision)
		s, more := s.MessageReceived(sim.now, envelope)
		return s, append(effects, more...)
	})
}

// exchange queues a ping and its ack.
func (sim *simulation) exchange(a, b int) {
	sim.send(a, b, message.Ping{})
	sim.send(b, a, message.Ack{})
}

// apply makes a new revision the head on the platform.
func (sim *simulation) apply() {
	sim.head++
	sim.endWatches()
}

func (sim *simulation) setOutage(outage bool) {
	sim.outage = outage
	sim.endWatches()
}

func (sim *simulation) tick(i int) {
	sim.step(i, func(s tables.State) (tables.State, []effect.Effect) { return s.Tick(sim.now, sim.random()) })
}

// drain delivers all queued inputs in order.
func (sim *simulation) drain() {
	for len(sim.queue) > 0 {
		sim.deliver(0)
	}
}

// run advances the time by d. Each node exchanges messages with one random peer per second, like the probes of membership.
func (sim *simulation) run(d time.Duration) {
	const step = 20 * time.Millisecond
	for end := sim.now.Add(d); sim.now.Before(end); sim.now = sim.now.Add(step) {
		slot := int(sim.now.UnixMilli()/step.Milliseconds()) % 50
		sim.endWatches()
		for i := range sim.nodes {
			if i%5 == slot%5 {
				sim.tick(i)
			}
			if peer := int(sim.random() % uint64(len(sim.nodes))); i%50 == slot && peer != i {
				sim.exchange(i, peer)
			}
		}
		sim.drain()
	}
}

// behind counts the nodes that do not have the newest revision.
func (sim *simulation) behind() int {
	count := 0
	for _, s := range sim.nodes {
		if s.Current().Revision != sim.head {
			count++
		}
	}
	return count
}
