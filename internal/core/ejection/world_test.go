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
	// failed and lost are the times of the last change to failing, and out of work for another reason than an ejection.
	failed, lost time.Duration
}

// world runs the ejection states of several nodes over a network whose packets wait until they are delivered or dropped.
type world struct {
	now       time.Duration
	hosts     []*host
	servers   []*server
	network   []packet
	cut       map[[2]fleet.NodeID]bool
	floor     int
	random    uint64
	ejections int
	logs      []string
}

func newWorld(hosts, perHost, floor int) *world {
	w := &world{cut: map[[2]fleet.NodeID]bool{}, floor: floor, now: time.Hour}
	for i := range hosts {
		h := &host{id: fleet.NodeID(fmt.Sprintf("n%d", i)), rate: 1 + maxDrift*float64(i%3-1)}
		h.state = New(h.id)
		w.hosts = append(w.hosts, h)
		for j := range perHost {
			id := fleet.NewTargetID(h.id, fmt.Sprint(j))
			w.servers = append(w.servers, &server{id: id, host: h, failed: -time.Hour, lost: -time.Hour})
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
			ctx.Local = append(ctx.Local, t)
		}
	}
	ctx.Directory = fleet.Directory{}.WithPool(poolName, candidates)
	return ctx
}

func (w *world) evidence(id fleet.TargetID) detection.Evidence {
	for _, s := range w.servers {
		if s.id == id && s.failing {
			return detection.Evidence{Judged: 20, Bad: 10, Score: 6, Threshold: 12}
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
		case effect.Send:
			w.network = append(w.network, packet{from: h.id, to: e.To, message: e.Message})
		case effect.Log:
			w.logs = append(w.logs, e.Text)
			if e.Text == "target set out of service" {
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

// deliver hands the packet at index to its host, where it stays in the network while the host is paused.
func (w *world) deliver(index int) {
	p := w.network[index]
	for _, h := range w.hosts {
		if h.id == p.to && h.paused {
			return
		}
	}
	w.drop(index)
	if w.cut[[2]fleet.NodeID{p.from, p.to}] {
		return
	}
	for _, h := range w.hosts {
		if h.id == p.to {
			w.step(h, func(s State, ctx Context) (State, []effect.Effect) { return s.Received(ctx, p.from, p.message) })
		}
	}
}

func (w *world) drop(index int) {
	w.network = append(w.network[:index:index], w.network[index+1:]...)
}

// exchange delivers everything in order until three rounds of answers have passed.
func (w *world) exchange() {
	for range 3 {
		for i, waiting := 0, len(w.network); waiting > 0; waiting-- {
			before := len(w.network)
			w.deliver(i)
			if len(w.network) == before && w.isPaused(w.network[i].to) {
				i++
			}
		}
	}
}

func (w *world) isPaused(id fleet.NodeID) bool {
	for _, h := range w.hosts {
		if h.id == id {
			return h.paused
		}
	}
	return false
}

// fail makes the detector of a target judge it failing.
func (w *world) fail(s *server) {
	if !s.failing && w.counts(s) {
		s.failed = w.now
	}
	s.failing = true
	w.step(s.host, func(st State, ctx Context) (State, []effect.Effect) { return st.Failing(ctx, s.id) })
}

// recover makes a target healthy; an ejected one is judged recovered when its gate lets trials through.
func (w *world) recover(s *server) {
	s.failing = false
	if s.host.state.Gate(w.clock(s.host), s.id) == trialGate {
		w.step(s.host, func(st State, ctx Context) (State, []effect.Effect) { return st.Recovered(ctx, s.id) })
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

// counts reports whether target g stands for the floor: it is healthy and in service by its own sidecar's word, or it was
// until an event of the last lease duration that its grantees cannot know of yet. An ejection is no such event.
func (w *world) counts(g *server) bool {
	if w.ejected(g) {
		return false
	}
	recently := func(at time.Duration) bool { return float64(w.now-at) <= float64(leaseDuration)*(1+driftMargin) }
	return (w.working(g) || recently(g.lost)) && (!g.failing || recently(g.failed))
}

func (w *world) working(s *server) bool { return !s.host.dead && !s.draining && !s.gone }

// guards returns how many other targets stand for the floor while s is ejected.
func (w *world) guards(s *server) int {
	count := 0
	for _, g := range w.servers {
		if g != s && w.counts(g) {
			count++
		}
	}
	return count
}
