package membership

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/fleet"
	"jayfold.dev/jayfold/internal/core/message"
)

const (
	testTick = 100 * time.Millisecond
	// convergence is the time after the last fault until the records of all nodes agree: lost gossip is repaired by the next pull of
	// every node, at most 1.2 times syncInterval later, or by the one after it if the first peer lacked the record.
	convergence = 2 * syncInterval * 6 / 5
)

// process is one node of the network. A stopped process is paused or dead.
type process struct {
	state   State
	stopped bool
	dead    bool
}

// link is one direction between two nodes.
type link struct{ from, to fleet.NodeID }

// packet is a message in transit.
type packet struct {
	at   time.Time
	to   fleet.NodeID
	body message.Envelope
}

// network runs several states over a queue that loses, delays, reorders and blocks messages.
type network struct {
	now       time.Time
	random    *rand.Rand
	processes map[fleet.NodeID]*process
	blocked   map[link]bool
	loss      float64
	packets   []packet
	platform  map[fleet.NodeID]fleet.Member
	failure   string
}

func newNetwork(size int, seed uint64) *network {
	n := &network{
		now:       time.Unix(1_000_000, 0),
		random:    rand.New(rand.NewPCG(seed, 1)),
		processes: make(map[fleet.NodeID]*process),
		blocked:   make(map[link]bool),
		platform:  make(map[fleet.NodeID]fleet.Member),
	}
	for i := range size {
		n.start(fleet.NodeID(fmt.Sprintf("n%d", i)))
	}
	return n
}

func (n *network) ids() []fleet.NodeID { return slices.Sorted(maps.Keys(n.processes)) }

func (n *network) start(id fleet.NodeID) {
	n.processes[id] = &process{state: New(fleet.Member{
		Node:        id,
		PeerAddress: string(id),
		Incarnation: fleet.Incarnation(n.now.UnixMilli()),
		Targets:     []fleet.Target{{ID: fleet.NewTargetID(id, "t"), Pool: "pool", Slots: 4}},
	})}
}

// apply sets the new state of a process, checks that no record went back to an older version, and executes the effects.
func (n *network) apply(p *process, state State, effects []effect.Effect) {
	for id, old := range p.state.members.All() {
		if m, ok := state.Member(id); ok && old.Supersedes(m) {
			n.failure = fmt.Sprintf("record of %s went back from %v to %v", id, old, m)
		}
	}
	p.state = state
	for _, e := range effects {
		n.execute(p, e)
	}
}

func (n *network) execute(p *process, e effect.Effect) {
	switch e := e.(type) {
	case effect.RegisterMember:
		n.platform[e.Member.Node] = e.Member
	case effect.ListMembers:
		var listed []fleet.Member
		for _, id := range slices.Sorted(maps.Keys(n.platform)) {
			listed = append(listed, n.platform[id])
		}
		n.apply(p, p.state.MembersListed(listed), nil)
	case effect.SendMessage:
		n.send(p, e)
	}
}

func (n *network) send(p *process, e effect.SendMessage) {
	self := p.state.Self()
	if n.blocked[link{self.Node, e.To}] || n.random.Float64() < n.loss {
		return
	}
	delay := time.Duration(n.random.Int64N(int64(testTick)))
	n.packets = append(n.packets, packet{at: n.now.Add(delay), to: e.To, body: message.Envelope{
		From: self.Node, Incarnation: self.Incarnation, Address: self.PeerAddress, Message: e.Message,
	}})
}

// step advances the time by one tick: it delivers packets in order of arrival, then ticks every running process.
func (n *network) step() {
	n.now = n.now.Add(testTick)
	due := n.packets
	n.packets = nil
	slices.SortStableFunc(due, func(a, b packet) int { return a.at.Compare(b.at) })
	for _, p := range due {
		n.deliver(p)
	}
	for _, id := range n.ids() {
		p := n.processes[id]
		if !p.stopped {
			state, effects := p.state.Tick(n.now, n.random.Uint64())
			n.apply(p, state, effects)
		}
	}
}

// deliver delivers a packet and keeps it for a paused process. The packet to a dead process is dropped, and its sender learns
// that the message could not be sent.
func (n *network) deliver(arrived packet) {
	p, ok := n.processes[arrived.to]
	switch {
	case !ok:
	case p.dead:
		sender := n.processes[arrived.body.From]
		n.apply(sender, sender.state.MessageSendFailed(arrived.to), nil)
	case p.stopped:
		n.packets = append(n.packets, arrived)
	case !p.state.IsStale(arrived.body):
		state, effects := p.state.MessageReceived(n.now, arrived.body)
		n.apply(p, state, effects)
	}
}

func (n *network) run(duration time.Duration) {
	for range duration / testTick {
		n.step()
	}
}

// injectFault draws and injects one fault.
func (n *network) injectFault(t *rapid.T) {
	id := rapid.SampledFrom(n.ids()).Draw(t, "node")
	other := rapid.SampledFrom(n.ids()).Draw(t, "other")
	p := n.processes[id]
	switch rapid.SampledFrom([]string{"block", "heal", "pause", "resume", "restart", "die", "targets", "lose"}).Draw(t, "fault") {
	case "block":
		n.blocked[link{id, other}] = true
	case "heal":
		clear(n.blocked)
	case "pause":
		p.stopped = true
	case "resume":
		p.stopped = p.dead
	case "restart":
		n.start(id)
	case "die":
		p.stopped, p.dead = true, true
	case "targets":
		n.apply(p, p.state.TargetsChanged([]fleet.Target{{ID: fleet.NewTargetID(id, "u"), Pool: "pool"}}, nil), nil)
	case "lose":
		n.loss = rapid.Float64Range(0, 0.6).Draw(t, "loss")
	}
}

// endFaults ends all faults except deaths.
func (n *network) endFaults() {
	clear(n.blocked)
	n.loss = 0
	for _, p := range n.processes {
		p.stopped = p.dead
	}
}

// disagreement describes a record that differs from the true state of its node; it is empty if there is none.
func (n *network) disagreement() string {
	for _, id := range n.ids() {
		if n.processes[id].dead {
			continue
		}
		for _, other := range n.ids() {
			seen, known := n.processes[id].state.Member(other)
			truth := n.processes[other].state.Self()
			if n.processes[other].dead && known && seen.Routable() {
				return fmt.Sprintf("%s has the record of the dead node %s with status %s", id, other, seen.Status)
			}
			if !n.processes[other].dead && (!known || truth.Supersedes(seen) || seen.Supersedes(truth)) {
				return fmt.Sprintf("%s has for %s the record %v; want %v", id, other, seen, truth)
			}
		}
	}
	return ""
}

// assertConverged checks that the records of all nodes are correct within the given time.
func assertConverged(t is.T, n *network, within time.Duration) {
	for end := n.now.Add(within); n.disagreement() != "" && n.now.Before(end); {
		n.step()
	}
	is.New(t).Equal(n.disagreement(), "")
	is.New(t).Equal(n.failure, "")
	n.assertDirectoriesAgree(t)
}

// assertDirectoriesAgree checks that every directory, which is updated incrementally, matches the records.
func (n *network) assertDirectoriesAgree(t is.T) {
	for _, id := range n.ids() {
		var rebuilt fleet.Directory
		for _, m := range n.processes[id].state.Members() {
			rebuilt = rebuilt.WithMember(fleet.Member{}, m)
		}
		is.New(t).Equal(n.processes[id].state.Directory().Candidates("pool"), rebuilt.Candidates("pool"))
	}
}

// TestViewsConvergeAfterFaults guards against records that stay wrong after faults: a dead node that stays in a directory, a live
// one that stays dead, a record that goes back to an older version, and a record of an earlier process that hides that of a later
// one.
func TestViewsConvergeAfterFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newNetwork(rapid.IntRange(2, 6).Draw(t, "size"), rapid.Uint64().Draw(t, "seed"))
		n.run(10 * time.Second)
		for range rapid.IntRange(1, 12).Draw(t, "faults") {
			n.injectFault(t)
			n.run(time.Duration(rapid.IntRange(0, 15).Draw(t, "seconds")) * time.Second)
		}
		n.endFaults()
		assertConverged(t, n, convergence)
	})
}

// startedNetwork returns a network whose nodes know one another.
func startedNetwork(t *testing.T, size int) *network {
	t.Helper()
	n := newNetwork(size, 7)
	assertConverged(t, n, 15*time.Second)
	return n
}

// TestOneWayLinkIsSurvived guards against the removal of a node that one peer cannot reach: indirect probes must make up for a
// one-way link.
func TestOneWayLinkIsSurvived(t *testing.T) {
	for _, direction := range []link{{"n0", "n1"}, {"n1", "n0"}} {
		t.Run(fmt.Sprint(direction), func(t *testing.T) {
			n := startedNetwork(t, 5)
			n.blocked[direction] = true
			for range 1200 {
				n.step()
				is.New(t).Equal(n.disagreement(), "")
			}
		})
	}
}

// TestDeadNodeIsRemoved guards against slow detection: a dead node must be removed once a probe has failed and the suspicion has
// expired.
func TestDeadNodeIsRemoved(t *testing.T) {
	n := startedNetwork(t, 6)
	n.processes["n3"].dead, n.processes["n3"].stopped = true, true
	assertConverged(t, n, 5*probePeriod+3*suspicionPerRound+3*probePeriod)
}

// TestDeadMembersAreDropped guards against records of dead members that are kept forever, and against records that are dropped
// too early.
func TestDeadMembersAreDropped(t *testing.T) {
	is := is.New(t)
	state, now := New(fleet.Member{Node: "self"}), time.Unix(1_000_000, 0)
	for i := range 3 * deadPerTick {
		state = state.applyRecord(now, fleet.Member{Node: fleet.NodeID(fmt.Sprintf("n%02d", i)), Status: fleet.Dead})
	}
	for _, after := range []struct {
		at   time.Duration
		left int
	}{{deadRetention - time.Second, 3 * deadPerTick}, {deadRetention, 0}} {
		for range 4 {
			state, _ = state.dropDeadMembers(now.Add(after.at), 0)
		}
		is.Equal(state.deadMembers.Len(), after.left)
		is.Equal(len(state.Members()), after.left+1)
	}
}

// TestHealedPartitionReconnects guards against a fleet that stays partitioned: after each side has declared the other dead, they
// must reconnect without the platform.
func TestHealedPartitionReconnects(t *testing.T) {
	n := startedNetwork(t, 6)
	clear(n.platform)
	for _, a := range []fleet.NodeID{"n0", "n1", "n2"} {
		for _, b := range []fleet.NodeID{"n3", "n4", "n5"} {
			n.blocked[link{a, b}], n.blocked[link{b, a}] = true, true
		}
	}
	n.run(time.Hour)
	is.New(t).Equal(n.processes["n0"].state.members.Len(), 6)
	is.New(t).Equal(len(n.processes["n0"].state.selectPeers(6, "")), 2)
	n.endFaults()
	assertConverged(t, n, time.Minute)
}

// TestOldSeedsDoNotDelayTheJoin guards against a join that is delayed by records of hosts that were replaced long ago.
func TestOldSeedsDoNotDelayTheJoin(t *testing.T) {
	n := startedNetwork(t, 4)
	for i := range 2000 {
		id := fleet.NodeID(fmt.Sprintf("gone%d", i))
		n.platform[id] = fleet.Member{Node: id, PeerAddress: string(id), Incarnation: 1}
	}
	n.start("n4")
	assertConverged(t, n, 15*time.Second)
}

// TestRestartedNodeIsFoundWithoutThePlatform guards against a node that cannot rejoin during an outage of the platform.
func TestRestartedNodeIsFoundWithoutThePlatform(t *testing.T) {
	n := startedNetwork(t, 4)
	clear(n.platform)
	n.start("n2")
	delete(n.platform, "n2")
	assertConverged(t, n, time.Minute)
}

// TestLeavingIsKnownAtOnce guards against new attempts on a target that is leaving: the change must reach a small fleet within
// 3 s, and reaches this one within 1 s.
func TestLeavingIsKnownAtOnce(t *testing.T) {
	for name, leave := range map[string]func(State) (State, []effect.Effect){
		"node leaves":    func(s State) (State, []effect.Effect) { return s.Leave() },
		"target removed": func(s State) (State, []effect.Effect) { return s.TargetsChanged(nil, nil), nil },
	} {
		t.Run(name, func(t *testing.T) {
			n := startedNetwork(t, 6)
			p := n.processes["n2"]
			state, effects := leave(p.state)
			n.apply(p, state, effects)
			n.run(time.Second)
			for _, id := range n.ids() {
				if id != "n2" {
					is.New(t).Equal(len(n.processes[id].state.Directory().Candidates("pool")), 5)
				}
			}
		})
	}
}

// TestChangesThatCanWaitAreLimited guards against a flapping target that floods the fleet with records.
func TestChangesThatCanWaitAreLimited(t *testing.T) {
	n := startedNetwork(t, 3)
	p := n.processes["n0"]
	before := p.state.Self().Sequence
	for i := range 100 {
		flapping := []fleet.Target{{ID: "n0/t", Pool: "pool", Slots: 4, Ejected: i%2 == 0}}
		n.apply(p, p.state.TargetsChanged(flapping, nil), nil)
		n.step()
	}
	is.New(t).True(p.state.Self().Sequence <= before+11)
	is.New(t).True(p.state.Self().Sequence >= before+9)
}

// TestLowerIncarnationOfARestartIsRaised guards against a restarted node that is ignored forever because its clock was set back,
// so that its incarnation is lower than that of its previous process.
func TestLowerIncarnationOfARestartIsRaised(t *testing.T) {
	n := startedNetwork(t, 4)
	n.processes["n1"].state = New(fleet.Member{Node: "n1", PeerAddress: "n1", Incarnation: 1})
	assertConverged(t, n, time.Minute)
	is.New(t).True(n.processes["n1"].state.Self().Incarnation > 1)
}

// TestLastRecordIsReadBeforeItIsReplaced guards against a restarted node that overwrites its last record before it has read the
// tombstones in it.
func TestLastRecordIsReadBeforeItIsReplaced(t *testing.T) {
	for random := range uint64(5000) {
		_, effects := New(fleet.Member{Node: "n1"}).Tick(time.Unix(1000, 0), random*uint64(time.Millisecond))
		var read, written time.Duration
		for _, e := range effects {
			switch e := e.(type) {
			case effect.ListMembers:
				read = e.Delay
			case effect.RegisterMember:
				written = e.Delay
			}
		}
		is.New(t).True(written-read >= 100*time.Millisecond)
	}
}

// TestGossipIsBounded guards against messages that exceed the byte budget during a burst of changes, and against records that are
// not sent often enough to reach all members.
func TestGossipIsBounded(t *testing.T) {
	s := New(fleet.Member{Node: "self"})
	targets := make([]fleet.Target, 15)
	for i := range 540 {
		id := fleet.NodeID(fmt.Sprintf("n%d", i))
		s, _ = s.merge(time.Unix(1, 0), fleet.Member{Node: id, Incarnation: 1, Targets: targets}, true)
	}
	sends := make(map[fleet.NodeID]int)
	for s.ownZoneGossip.order.Len() > 0 {
		var records []fleet.Member
		s, records = s.takeGossip("")
		carried := 0
		for _, m := range records {
			sends[m.Node]++
			carried += len(m.Targets)
		}
		is.New(t).True(len(records) >= 1 && len(records) <= recordsPerMessage && carried <= targetsPerMessage)
	}
	is.New(t).Equal(len(sends), 541)
	for _, count := range sends {
		is.New(t).Equal(count, sendsPerRound*10)
	}
}

// TestPausedProcessDoesNotSuspectPeers guards against a process that suspects its peers after a pause because it could not
// receive their replies.
func TestPausedProcessDoesNotSuspectPeers(t *testing.T) {
	s, _ := New(fleet.Member{Node: "n0"}).merge(time.Unix(1, 0), fleet.Member{Node: "n1", Incarnation: 1}, false)
	s, _ = s.merge(time.Unix(1, 0), fleet.Member{Node: "n2", Incarnation: 1, Status: fleet.Suspect}, false)
	now := time.Unix(1, 0)
	for range 3 {
		now = now.Add(testTick)
		s, _ = s.Tick(now, 0)
	}
	is.New(t).True(s.probe.isPending())
	s, _ = s.Tick(now.Add(time.Hour), 0)
	for id, status := range map[fleet.NodeID]fleet.MemberStatus{"n1": fleet.Alive, "n2": fleet.Suspect} {
		m, _ := s.Member(id)
		is.New(t).Equal(m.Status, status)
	}
}

// startTogether starts a fleet of three zones whose targets send their first heartbeat after the given time.
func startTogether(perZone int, seed uint64, heartbeatsAfter time.Duration) *network {
	n := newNetwork(0, seed)
	for i := range 3 * perZone {
		id := fleet.NodeID(fmt.Sprintf("n%d", i))
		zone := fleet.AvailabilityZone(fmt.Sprintf("z%d", i%3))
		n.processes[id] = &process{state: New(fleet.Member{
			Node: id, PeerAddress: string(id), AvailabilityZone: zone, Incarnation: fleet.Incarnation(n.now.UnixMilli()),
		})}
	}
	n.run(heartbeatsAfter)
	for id, p := range n.processes {
		p.state = p.state.TargetsChanged([]fleet.Target{{ID: fleet.NewTargetID(id, "t"), Pool: "pool", Slots: 4}}, nil)
	}
	return n
}

// fewestKnown returns the smallest number of targets that any node knows.
func (n *network) fewestKnown() int {
	fewest := len(n.processes)
	for _, p := range n.processes {
		fewest = min(fewest, len(p.state.Directory().Candidates("pool")))
	}
	return fewest
}

// TestTargetsOfAllZonesAreKnownSoon guards against a fleet whose nodes start together and know the targets of other zones only
// after 16 s. If every node counts its probes from its own start, no early probe leaves the zone. Requests after 8 s then find
// only half of the targets, and each target grants twice its share of the retry budget.
func TestTargetsOfAllZonesAreKnownSoon(t *testing.T) {
	for seed := range uint64(10) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			n := startTogether(8, seed, 1500*time.Millisecond)
			n.run(6500 * time.Millisecond)
			is.New(t).Equal(n.fewestKnown(), 24)
		})
	}
}
