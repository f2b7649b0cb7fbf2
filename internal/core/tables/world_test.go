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

// world holds the states of several nodes, the platform's head and everything that is under way between them.
type world struct {
	now    time.Time
	random func() uint64
	nodes  []tables.State
	// head is the platform's newest revision, which is also the version of the head object. The copy shows it copyLag later.
	head    fleet.Revision
	copyLag time.Duration
	applied time.Time
	outage  bool
	// damage makes every content that is decoded invalid.
	damage bool
	// watches counts the watches of each node that have no answer yet; waiting holds the watches that wait, by node.
	watches []int
	waiting map[int]effect.WatchHead
	queue   []delivery
	// reads counts the calls on the platform itself.
	reads int
	// tells are the nodes that are to tell another one of their revision.
	tells [][2]int
}

// delivery is one input of a node that is under way.
type delivery struct {
	to int
	// message means that the input is a message, which can be lost or repeated.
	message bool
	input   func(tables.State) (tables.State, []effect.Effect)
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

// zoneSize is the number of nodes of an availability zone, of which the first zoneWatchers watch the platform itself.
const (
	zoneSize     = 77
	zoneWatchers = 3
)

func (w *world) fleet(i int) tables.Fleet {
	return tables.Fleet{Members: len(w.nodes), IsWatcher: i%zoneSize < zoneWatchers}
}

// neighbor returns a random node of a node's zone.
func (w *world) neighbor(i int) int {
	first := i / zoneSize * zoneSize
	return first + int(w.random()%uint64(min(zoneSize, len(w.nodes)-first)))
}

// shown returns the newest revision that a watch may show.
func (w *world) shown(stale bool) fleet.Revision {
	if stale && w.head > 0 && w.now.Sub(w.applied) < w.copyLag {
		return w.head - 1
	}
	return w.head
}

// toldPeers is how many nodes a node tells of a change at once.
const toldPeers = 4

func nodeID(i int) fleet.NodeID { return fleet.NodeID(fmt.Sprintf("node-%03d", i)) }

func nodeIndex(id fleet.NodeID) int {
	var i int
	// Every id comes from nodeID.
	_, _ = fmt.Sscanf(string(id), "node-%d", &i)
	return i
}

// post puts an input of a node under way.
func (w *world) post(to int, isMessage bool, input func(tables.State) (tables.State, []effect.Effect)) {
	w.queue = append(w.queue, delivery{to: to, message: isMessage, input: input})
}

// deliver takes input i out of the queue and reduces it.
func (w *world) deliver(i int) {
	d := w.queue[i]
	w.queue = append(w.queue[:i:i], w.queue[i+1:]...)
	w.step(d.to, d.input)
}

func (w *world) step(i int, input func(tables.State) (tables.State, []effect.Effect)) {
	next, effects := input(w.nodes[i])
	w.nodes[i] = next
	for _, e := range effects {
		w.carryOut(i, e)
	}
	for _, tell := range w.tells {
		w.exchange(tell[0], tell[1])
	}
	w.tells = nil
}

func (w *world) carryOut(i int, e effect.Effect) {
	switch e := e.(type) {
	case effect.WatchHead:
		w.watches[i]++
		if !e.MayBeStale {
			w.reads++
		}
		w.waiting[i] = e
		if w.outage || uint64(w.shown(e.MayBeStale)) > e.Version {
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

// endWatch answers the waiting watch of a node, if it has one.
func (w *world) endWatch(i int) {
	waiting, ok := w.waiting[i]
	delete(w.waiting, i)
	switch {
	case !ok:
	case w.outage:
		w.fail(i, event.CallWatchHead)
	default:
		w.answerWatch(i, w.shown(waiting.MayBeStale))
	}
}

func (w *world) answerWatch(i int, head fleet.Revision) {
	w.post(i, false, func(s tables.State) (tables.State, []effect.Effect) {
		w.watches[i]--
		return s.HeadRead(w.now, w.random(), w.fleet(i), fleet.TablesHead{Revision: head}, uint64(head))
	})
}

// endWatches answers the waiting watches that have something to show.
func (w *world) endWatches() {
	for i := range w.nodes {
		if waiting, ok := w.waiting[i]; ok && (w.outage || uint64(w.shown(waiting.MayBeStale)) > waiting.Version) {
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
		spreads := s.ShouldNotifyPeers(r)
		s, effects := s.TablesDecoded(w.now, fleet.Tables{Revision: r}, routing.Router{}, []byte("content"))
		if spreads {
			for range toldPeers {
				w.tells = append(w.tells, [2]int{i, w.neighbor(i)})
			}
		}
		return s, effects
	})
}

// send puts a message under way. Like every message it shows the sender's revision.
func (w *world) send(from, to int, m message.Message) {
	envelope := message.Envelope{From: nodeID(from), Address: "address", Revision: w.nodes[from].Current().Revision, Message: m}
	w.post(to, true, func(s tables.State) (tables.State, []effect.Effect) {
		s, effects := s.PeerRevisionSeen(w.now, envelope.From, envelope.Address, envelope.Revision)
		s, more := s.MessageReceived(w.now, envelope)
		return s, append(effects, more...)
	})
}

// exchange puts a ping and its ack under way.
func (w *world) exchange(a, b int) {
	w.send(a, b, message.Ping{})
	w.send(b, a, message.Ack{})
}

// apply makes a new revision the platform's head.
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

// drain delivers everything under way, in order.
func (w *world) drain() {
	for len(w.queue) > 0 {
		w.deliver(0)
	}
}

// run lets time pass. Each node exchanges messages with one random peer a second, as the probes of the fleet do.
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

// behind counts the nodes that do not have the platform's revision.
func (w *world) behind() int {
	count := 0
	for _, s := range w.nodes {
		if s.Current().Revision != w.head {
			count++
		}
	}
	return count
}
