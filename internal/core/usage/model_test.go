package usage

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/fleet"
	"jayfold.dev/jayfold/internal/core/message"
)

// model runs the usage components of a fleet with a modelled network, without other components.
type model struct {
	began, now time.Time
	random     *rand.Rand
	events     eventQueue
	sequence   int
	nodes      []*modelNode
	byID       map[fleet.NodeID]*modelNode
	zones      int
	accounts   fleet.Map[fleet.AccountName, fleet.Account]
	// lossPercent is the percentage of messages that are lost, and slowPercent that of messages delayed by up to 300 ms.
	lossPercent, slowPercent int
	// cut reports whether messages from one node to another are lost. Nodes know that they cannot reach each other only from the
	// messages that are lost.
	cut     func(from, to *modelNode) bool
	records map[fleet.AccountName]*record
	// messages and bytes count what nodes sent, within the zone and across zones.
	messages, bytes [2]int
	requests        int
}

// modelNode is a node of the model.
type modelNode struct {
	index       int
	id          fleet.NodeID
	zone        int
	up          bool
	frozen      bool
	incarnation int
	state       State
	members     fleet.Map[fleet.NodeID, *fleet.Member]
	accounts    fleet.Map[fleet.AccountName, fleet.Account]
	mailbox     []func()
	// sent counts the messages that the node sent.
	sent int
}

// record holds the requests of one account.
type record struct {
	sent, ran []time.Time
	// refused holds the requests that were refused, by cause, and waits the time that those that ran have waited.
	refused  map[fleet.Cause][]time.Time
	waits    []time.Duration
	answered int
}

type modelEvent struct {
	at       time.Time
	sequence int
	action   func()
}

type eventQueue []modelEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].sequence < q[j].sequence
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(modelEvent)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func newModel(seed uint64, nodes, zones int, accounts ...fleet.Account) *model {
	m := &model{
		now: time.Unix(1_800_000_000, 0), random: rand.New(rand.NewPCG(seed, 1)), zones: zones,
		records: map[fleet.AccountName]*record{}, byID: map[fleet.NodeID]*modelNode{}, cut: func(_, _ *modelNode) bool { return false },
	}
	m.began = m.now
	for _, a := range accounts {
		m.accounts = m.accounts.With(a.Name, a)
		m.records[a.Name] = &record{refused: map[fleet.Cause][]time.Time{}}
	}
	for i := range nodes {
		m.nodes = append(m.nodes, &modelNode{index: i, id: fleet.NodeID(fmt.Sprintf("host-%03d", i)), zone: i % zones})
	}
	for _, n := range m.nodes {
		m.byID[n.id] = n
		m.start(n)
	}
	return m
}

func (m *model) after(d time.Duration, action func()) {
	m.sequence++
	heap.Push(&m.events, modelEvent{at: m.now.Add(d), sequence: m.sequence, action: action})
}

func (m *model) advance(d time.Duration) {
	end := m.now.Add(d)
	for len(m.events) > 0 && !m.events[0].at.After(end) {
		next := heap.Pop(&m.events).(modelEvent)
		m.now = next.at
		next.action()
	}
	m.now = end
}

// start starts a node. Its peers know it at once.
func (m *model) start(n *modelNode) {
	n.up, n.frozen = true, false
	n.incarnation = int(m.now.UnixMilli())
	n.state = New(n.id, zoneName(n.zone))
	n.members = fleet.Map[fleet.NodeID, *fleet.Member]{}
	for _, other := range m.nodes {
		status := fleet.Alive
		if !other.up {
			status = fleet.Dead
		}
		n.members = n.members.With(other.id, member(other, status))
	}
	m.setStatus(n, fleet.Alive)
	m.useTables(n)
	incarnation := n.incarnation
	m.after(time.Duration(m.random.IntN(int(100*time.Millisecond))), func() { m.tick(n, incarnation) })
}

// useTables brings the model's accounts into force on a node.
func (m *model) useTables(n *modelNode) {
	n.accounts = m.accounts
	m.step(n, func(ctx Context) (State, Result) { return n.state.TablesChanged(ctx) })
}

// changeLimit changes the limit of an account. Nodes have the new tables within two seconds.
func (m *model) changeLimit(limit fleet.Account) {
	m.accounts = m.accounts.With(limit.Name, limit)
	for _, n := range m.nodes {
		m.after(time.Duration(m.random.IntN(int(2*time.Second))), func() { m.useTables(n) })
	}
}

// partition cuts links until heal is called. Nodes take those that they cannot reach for dead after a while.
func (m *model) partition(cut func(from, to *modelNode) bool) {
	m.cut = cut
	m.after(15*time.Second, func() { m.spreadStatus() })
}

// heal restores all links. Nodes take each other for alive within seconds.
func (m *model) heal() {
	m.cut = func(_, _ *modelNode) bool { return false }
	m.after(time.Duration(1+m.random.IntN(3))*time.Second, func() { m.spreadStatus() })
}

// spreadStatus updates the records of all nodes: those that are down or cannot be reached are dead.
func (m *model) spreadStatus() {
	for _, n := range m.nodes {
		for _, other := range m.nodes {
			status := fleet.Alive
			if other != n && (!other.up || m.cut(n, other) || m.cut(other, n)) {
				status = fleet.Dead
			}
			n.members = n.members.With(other.id, member(other, status))
		}
	}
}

// kill ends a node's process. Its peers take it for dead after a while.
func (m *model) kill(n *modelNode) {
	n.up = false
	m.after(15*time.Second, func() {
		if !n.up {
			m.setStatus(n, fleet.Dead)
		}
	})
}

// setStatus changes the status of a node in the records of all nodes that it can reach.
func (m *model) setStatus(n *modelNode, status fleet.MemberStatus) {
	for _, other := range m.nodes {
		if !m.cut(n, other) {
			other.members = other.members.With(n.id, member(n, status))
		}
	}
}

func member(n *modelNode, status fleet.MemberStatus) *fleet.Member {
	return &fleet.Member{Node: n.id, AvailabilityZone: zoneName(n.zone), PeerAddress: string(n.id), Status: status,
		Incarnation: fleet.Incarnation(n.incarnation)}
}

func zoneName(zone int) fleet.AvailabilityZone {
	return fleet.AvailabilityZone(fmt.Sprintf("z%d", zone))
}

func (m *model) tick(n *modelNode, incarnation int) {
	if !n.up || n.incarnation != incarnation {
		return
	}
	m.step(n, func(ctx Context) (State, Result) { return n.state.Tick(ctx) })
	m.after(100*time.Millisecond, func() { m.tick(n, incarnation) })
}

// step runs a step of a node and executes its result. A frozen node runs it when it resumes.
func (m *model) step(n *modelNode, run func(Context) (State, Result)) {
	if !n.up {
		return
	}
	if n.frozen {
		n.mailbox = append(n.mailbox, func() { m.step(n, run) })
		return
	}
	next, result := run(Context{Now: m.now, Random: m.random.Uint64(), Accounts: n.accounts, Members: n.members.All()})
	n.state = next
	for _, e := range result.Effects {
		if send, ok := e.(effect.SendMessage); ok {
			m.send(n, send)
		}
	}
	for _, w := range result.Admitted {
		r := m.records[w.Request.Account]
		r.ran = append(r.ran, m.now)
		r.waits = append(r.waits, m.now.Sub(w.Arrived))
		r.answered++
	}
	for _, refusal := range result.Refused {
		r := m.records[refusal.Request.Account]
		r.refused[refusal.Problem.Cause] = append(r.refused[refusal.Problem.Cause], refusal.Arrived)
		r.answered++
	}
}

func (m *model) resume(n *modelNode) {
	pending := n.mailbox
	n.frozen, n.mailbox = false, nil
	for _, action := range pending {
		action()
	}
}

// messageBytes is the size of a message with its framing; entryBytes is added for each account that it names.
const (
	messageBytes = 240
	entryBytes   = 24
)

// send delivers a message with the delay of the link.
func (m *model) send(from *modelNode, send effect.SendMessage) {
	to := m.byID[send.To]
	kind, entries := 0, 0
	if from.zone != to.zone {
		kind = 1
	}
	switch body := send.Message.(type) {
	case message.UsageRequest:
		entries = len(body.Wants)
	case message.UsageReply:
		entries = len(body.Grants)
	}
	m.messages[kind]++
	from.sent++
	m.bytes[kind] += messageBytes + entries*entryBytes
	delay := 200*time.Microsecond + time.Duration(m.random.IntN(int(300*time.Microsecond)))
	if kind == 1 {
		delay += 900*time.Microsecond + time.Duration(m.random.IntN(int(2*time.Millisecond)))
	}
	if m.random.IntN(100) < m.slowPercent {
		delay += time.Duration(m.random.IntN(int(300 * time.Millisecond)))
	}
	if !to.up {
		m.after(delay, func() {
			m.step(from, func(ctx Context) (State, Result) { return from.state.MessageSendFailed(ctx, to.id) })
		})
		return
	}
	if m.cut(from, to) || m.random.IntN(100) < m.lossPercent {
		return
	}
	envelope := message.Envelope{From: from.id, Address: string(from.id), Message: send.Message}
	m.after(delay, func() {
		m.step(to, func(ctx Context) (State, Result) { return to.state.MessageReceived(ctx, envelope) })
	})
}
