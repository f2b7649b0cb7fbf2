package tables_test

import (
	"fmt"
	"time"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/event"
	"jayfold.dev/jayfold/internal/core/fleet"
	"jayfold.dev/jayfold/internal/core/message"
	"jayfold.dev/jayfold/internal/core/routing"
	"jayfold.dev/jayfold/internal/core/tables"
)

// world simulates several nodes, the platform's head, and the messages and calls between them.
type world struct {
	now    time.Time
	random func() uint64
	nodes  []tables.State
	// head is the platform's newest revision, which is also the version of the head object. The copy shows it copyLag later.
	head    fleet.Revision
	copyLag time.Duration
	applied time.Time
	outage  bool
	// damage makes all content that is decoded invalid.
	damage bool
	// watches counts the watches of each node that have no response yet; waiting holds those that wait for a change, by node.
	watches []int
	waiting map[int]effect.WatchHead
	queue   []delivery
	// reads counts the calls to the platform, without those to the copy.
	reads int
	// notifications lists pairs of a node and the peer that it is about to notify of its revision.
	notifications [][2]int
}

// delivery is an input of a node that is in transit.
type delivery struct {
	to int
	// isMessage is true if the input is a message, which can be lost or duplicated.
	isMessage bool
	input     func(tables.State) (tables.State, []effect.Effect)
}

func newWorld(nodes int, random func() uint64) *world {
	return &world{
		now:     time.Unix(1_000_000, 0),
		random:  random,
		nodes:   make([]tables.State, nodes),
		watches: make([]int, nodes),
		waiting: map[int]effect.WatchHead{},
	}
}

// zoneSize is the number of nodes in an availability zone. The first zoneWatchers of them watch the platform itself.
const (
	zoneSize     = 77
	zoneWatchers = 3
)

func (w *world) fleet(i int) tables.Fleet {
	return tables.Fleet{Members: len(w.nodes), IsWatcher: i%zoneSize < zoneWatchers}
}

// zonePeer returns a random node in the zone of a node.
func (w *world) zonePeer(i int) int {
	first := i / zoneSize * zoneSize
	return first + int(w.random()%uint64(min(zoneSize, len(w.nodes)-first)))
}

// visibleHead returns the revision that the platform, or its copy if stale is true, shows to a watch.
func (w *world) visibleHead(stale bool) fleet.Revision {
	if stale && w.head > 0 && w.now.Sub(w.applied) < w.copyLag {
		return w.head - 1
	}
	return w.head
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
func (w *world) post(to int, isMessage bool, input func(tables.State) (tables.State, []effect.Effect)) {
	w.queue = append(w.queue, delivery{to: to, isMessage: isMessage, input: input})
}

// deliver removes input i from the queue and passes it to its node.
func (w *world) deliver(i int) {
	d := w.queue[i]
	w.queue = append(w.queue[:i:i], w.queue[i+1:]...)
	w.step(d.to, d.input)
}

func (w *world) step(i int, input func(tables.State) (tables.State, []effect.Effect)) {
	next, effects := input(w.nodes[i])
	w.nodes[i] = next
	for _, e := range effects {
		w.execute(i, e)
	}
	for _, n := range w.notifications {
		w.exchange(n[0], n[1])
	}
	w.notifications = nil
}

func (w *world) execute(i int, e effect.Effect) {
	switch e := e.(type) {
	case effect.WatchHead:
		w.watches[i]++
		if !e.MayBeStale {
			w.reads++
		}
		w.waiting[i] = e
		if w.outage || uint64(w.visibleHead(e.MayBeStale)) > e.Version {
			w.endWatch(i)
		}
	case effect.FetchTables:
		w.reads++
		if w.outage {
			w.fail(i, event.CallFetchTables)
			return
		}
		w.decode(i, e.Head.Revision)
	case effect.DecodeTables:
		w.decode(i, e.Revision)
	case effect.SendMessage:
		w.send(i, nodeIndex(e.To), e.Message)
	}
}

// endWatch responds to the waiting watch of a node, if there is one.
func (w *world) endWatch(i int) {
	waiting, ok := w.waiting[i]
	delete(w.waiting, i)
	switch {
	case !ok:
	case w.outage:
		w.fail(i, event.CallWatchHead)
	default:
		w.respondToWatch(i, w.visibleHead(waiting.MayBeStale))
	}
}

func (w *world) respondToWatch(i int, head fleet.Revision) {
	w.post(i, false, func(s tables.State) (tables.State, []effect.Effect) {
		w.watches[i]--
		return s.HeadRead(w.now, w.random(), w.fleet(i), fleet.TablesHead{Revision: head}, uint64(head))
	})
}

// endWatches responds to the waiting watches for which the head has changed or the platform fails.
func (w *world) endWatches() {
	for i := range w.nodes {
		if waiting, ok := w.waiting[i]; ok && (w.outage || uint64(w.visibleHead(waiting.MayBeStale)) > waiting.Version) {
			w.endWatch(i)
		}
	}
}

func (w *world) fail(i int, call event.PlatformCall) {
	w.post(i, false, func(s tables.State) (tables.State, []effect.Effect) {
		if call == event.CallWatchHead {
			w.watches[i]--
		}
		return s.PlatformCallFailed(w.now, w.random(), call, "outage")
	})
}

func (w *world) decode(i int, r fleet.Revision) {
	if w.damage {
		w.post(i, false, func(s tables.State) (tables.State, []effect.Effect) { return s.TablesRejected(w.now, r, "damaged") })
		return
	}
	w.post(i, false, func(s tables.State) (tables.State, []effect.Effect) {
		shouldNotify := s.ShouldNotifyPeers(r)
		s, effects := s.TablesDecoded(w.now, fleet.Tables{Revision: r}, routing.Router{}, []byte("content"))
		if shouldNotify {
			for range notifiedPeers {
				w.notifications = append(w.notifications, [2]int{i, w.zonePeer(i)})
			}
		}
		return s, effects
	})
}

// send queues a message. Every message contains the sender's revision.
func (w *world) send(from, to int, m message.Message) {
	envelope := message.Envelope{From: nodeID(from), Address: "address", Revision: w.nodes[from].Current().Revision, Message: m}
	w.post(to, true, func(s tables.State) (tables.State, []effect.Effect) {
		s, effects := s.PeerRevisionSeen(w.now, envelope.From, envelope.Address, envelope.Revision)
		s, more := s.MessageReceived(w.now, envelope)
		return s, append(effects, more...)
	})
}

// exchange queues a ping and its ack.
func (w *world) exchange(a, b int) {
	w.send(a, b, message.Ping{})
	w.send(b, a, message.Ack{})
}

// apply makes a new revision the head on the platform.
func (w *world) apply() {
	w.head++
	w.applied = w.now
	w.endWatches()
}

func (w *world) setOutage(outage bool) {
	w.outage = outage
	w.endWatches()
}

func (w *world) tick(i int) {
	w.step(i, func(s tables.State) (tables.State, []effect.Effect) { return s.Tick(w.now, w.random()) })
}

// drain delivers all queued inputs in order.
func (w *world) drain() {
	for len(w.queue) > 0 {
		w.deliver(0)
	}
}

// run advances the time by d. Each node exchanges messages with one random peer per second, like the probes of membership.
func (w *world) run(d time.Duration) {
	const step = 20 * time.Millisecond
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(step) {
		slot := int(w.now.UnixMilli()/step.Milliseconds()) % 50
		w.endWatches()
		for i := range w.nodes {
			if i%5 == slot%5 {
				w.tick(i)
			}
			if peer := int(w.random() % uint64(len(w.nodes))); i%50 == slot && peer != i {
				w.exchange(i, peer)
			}
		}
		w.drain()
	}
}

// behind counts the nodes that do not have the newest revision.
func (w *world) behind() int {
	count := 0
	for _, s := range w.nodes {
		if s.Current().Revision != w.head {
			count++
		}
	}
	return count
}
