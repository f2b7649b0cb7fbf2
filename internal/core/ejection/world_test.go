package ejection

import (
	"fmt"
	"time"

	"jayfold.dev/jayfold/internal/core/detection"
	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/fleet"
	"jayfold.dev/jayfold/internal/core/message"
)

// maxDrift is how far the rate of a clock may differ from true time, half of driftMargin.
const maxDrift = driftMargin / 2.1

const poolName fleet.PoolName = "catalogue"

// packet is a message on its way.
type packet struct {
	from, to fleet.NodeID
	message  message.Message
}

// host is one node with its clock.
type host struct {
	id           fleet.NodeID
	state        State
	rate         float64
	dead, paused bool
	// floor is the floor of the tables at the host's last event.
	floor int
}

// server is what the oracle knows of one target.
type server struct {
	id                      fleet.TargetID
	host                    *host
	failing, draining, gone bool
	// doubtful means that its last request failed.
	doubtful bool
}

// world runs the ejection states of several nodes over a network whose packets wait until they are delivered or dropped.
type world struct {
	now     time.Duration
	hosts   []*host
	servers []*server
	network []packet
	// cut links lose their packets, slow ones keep them.
	cut, slow map[[2]fleet.NodeID]bool
	// grants are the times of the last grant from one target to another, by the grantor's clock.
	grants map[[2]fleet.TargetID]time.Time
	faults []string
	floor  int
	// evidenceBad is the number of bad requests of 20 that a failing target is judged on.
	evidenceBad int
	random      uint64
	ejections   int
	logs        []string
}

func newWorld(hosts, perHost, floor int) *world {
	w := &world{
		cut:    map[[2]fleet.NodeID]bool{},
		slow:   map[[2]fleet.NodeID]bool{},
		grants: map[[2]fleet.TargetID]time.Time{},
		floor:  floor,
		now:    time.Hour,

		evidenceBad: 10,
	}
	for i := range hosts {
		h := &host{id: fleet.NodeID(fmt.Sprintf("n%d", i)), rate: 1 + maxDrift*float64(i%3-1)}
		h.state = New(h.id)
		w.hosts = append(w.hosts, h)
		for j := range perHost {
			id := fleet.NewTargetID(h.id, fmt.Sprint(j))
			w.servers = append(w.servers, &server{id: id, host: h})
		}
	}
	w.tick()
	w.advance(2 * leaseDuration)
	return w
}

func (w *world) clock(h *host) time.Time {
	return time.Unix(0, 0).Add(time.Duration(float64(w.now) * h.rate))
}

func (w *world) context(h *host) Context {
	w.random = w.random*6364136223846793005 + 1442695040888963407
	ctx := Context{
		Now:    w.clock(h),
		Random: w.random >> 8,
		Tables: fleet.Tables{Pools: fleet.Map[fleet.PoolName, fleet.Pool]{}.With(poolName,
			fleet.Pool{Name: poolName, Floor: w.floor})},
		PeerAddress: func(id fleet.NodeID) (string, bool) { return string(id), true },
		Evidence:    w.evidence,
	}
	var candidates []fleet.Candidate
	for _, s := range w.servers {
		t := fleet.Target{ID: s.id, Pool: poolName}
		candidates = append(candidates, fleet.Candidate{Target: t, Node: s.host.id})
		if s.draining {
			t.State = fleet.TargetDraining
		}
		if s.host == h && !s.gone {
			ctx.LocalTargets = append(ctx.LocalTargets, t)
		}
	}
	ctx.Directory = fleet.Directory{}.WithPool(poolName, candidates)
	return ctx
}

func (w *world) evidence(id fleet.TargetID) detection.Evidence {
	for _, s := range w.servers {
		if s.id == id && s.failing {
			return detection.Evidence{Samples: 20, BadSamples: w.evidenceBad, Score: 6, Threshold: 12}
		}
		if s.id == id && s.doubtful {
			return detection.Evidence{Samples: 1, BadSamples: 1, Score: 1.8, Threshold: 12}
		}
	}
	return detection.Evidence{Threshold: 12}
}

// step runs one event on a host unless the host is dead or paused.
func (w *world) step(h *host, event func(State, Context) (State, []effect.Effect)) {
	if h.dead || h.paused {
		return
	}
	h.floor = w.floor
	state, effects := event(h.state, w.context(h))
	h.state = state
	for _, e := range effects {
		switch e := e.(type) {
		case effect.SendMessage:
			w.network = append(w.network, packet{from: h.id, to: e.To, message: e.Message})
			if grant, ok := e.Message.(message.LeaseGrant); ok {
				w.recordGrant(grant)
			}
		case effect.WriteLog:
			w.logs = append(w.logs, e.Message)
			if e.Message == "target set out of service" {
				w.ejections++
			}
		}
	}
}

func (w *world) tick() {
	for _, h := range w.hosts {
		w.step(h, State.Tick)
	}
}

// advance passes time and lets every host tick once.
func (w *world) advance(d time.Duration) {
	w.now += d
	w.tick()
}

// run passes time in small steps with a perfect network but for the cut links.
func (w *world) run(d, step time.Duration) {
	for end := w.now + d; w.now < end; {
		w.exchange()
		w.advance(step)
	}
	w.exchange()
}

// recordGrant notes a promise, and a fault when the grantor was not fit to give it.
func (w *world) recordGrant(m message.LeaseGrant) {
	for _, s := range w.servers {
		if s.id != m.Grantor {
			continue
		}
		w.grants[[2]fleet.TargetID{m.Grantor, m.Requester}] = w.clock(s.host)
		if s.failing || !w.working(s) || w.ejected(s) {
			w.faults = append(w.faults, fmt.Sprintf("%s granted a lease while failing, leaving or ejected", s.id))
		}
	}
}

// deliver hands the packet at index to its host. It stays in the network while the host is paused or the link is slow.
func (w *world) deliver(index int) {
	p := w.network[index]
	if w.stuck(p) {
		return
	}
	w.drop(index)
	if w.cut[[2]fleet.NodeID{p.from, p.to}] {
		return
	}
	for _, h := range w.hosts {
		if h.id == p.to {
			w.step(h, func(s State, ctx Context) (State, []effect.Effect) { return s.MessageReceived(ctx, p.from, p.message) })
		}
	}
}

func (w *world) drop(index int) {
	w.network = append(w.network[:index:index], w.network[index+1:]...)
}

// exchange delivers everything in order until three rounds of answers have passed.
func (w *world) exchange() {
	for range 3 {
		w.deliverAll()
	}
}

// deliverAll delivers what is in the network now, but not the answers.
func (w *world) deliverAll() {
	i := 0
	for range len(w.network) {
		if w.stuck(w.network[i]) {
			i++
			continue
		}
		w.deliver(i)
	}
}

func (w *world) stuck(p packet) bool {
	for _, h := range w.hosts {
		if h.id == p.to && h.paused {
			return true
		}
	}
	return w.slow[[2]fleet.NodeID{p.from, p.to}]
}

// fail makes the detector of a target judge it failing.
func (w *world) fail(s *server) {
	s.failing = true
	w.step(s.host, func(st State, ctx Context) (State, []effect.Effect) { return st.TargetFailing(ctx, s.id) })
}

// recover makes a target healthy; an ejected one is judged recovered when its gate lets trials through.
func (w *world) recover(s *server) {
	s.failing = false
	if s.host.state.Gate(w.clock(s.host), s.id) == trialGate {
		w.step(s.host, func(st State, ctx Context) (State, []effect.Effect) { return st.TargetRecovered(ctx, s.id) })
	}
}

func (w *world) ejected(s *server) bool {
	return !s.host.dead && s.host.state.Ejected(w.clock(s.host), s.id)
}

// restart loses the memory of a host.
func (w *world) restart(h *host) {
	h.state = New(h.id)
	h.dead, h.paused = false, false
	w.step(h, State.Tick)
}

func (w *world) working(s *server) bool { return !s.host.dead && !s.draining && !s.gone }

// committed reports whether target g gave s a promise that lasts by the clock of g, and has not been ejected.
func (w *world) committed(g, s *server) bool {
	if g == s || w.ejected(g) {
		return false
	}
	if g.host == s.host {
		askers, _ := g.host.state.promises.Get(g.id)
		p, ok := askers.Get(s.id)
		return ok && w.clock(g.host).Before(p.until)
	}
	given, ok := w.grants[[2]fleet.TargetID{g.id, s.id}]
	return ok && w.clock(g.host).Sub(given) < leaseDuration
}

// standing reports whether target g is healthy and in service at its own sidecar, or was when it gave s a promise
// that still lasts: s cannot know yet of a grantor that has crashed, drained or started to fail since.
func (w *world) standing(g, s *server) bool {
	inService := g != s && !w.ejected(g) && w.working(g) && !g.failing
	return inService || w.committed(g, s)
}

// countFor returns the number of targets that are in the given relation to s.
func (w *world) countFor(s *server, relation func(g, s *server) bool) int {
	count := 0
	for _, g := range w.servers {
		if relation(g, s) {
			count++
		}
	}
	return count
}
