package ejection

import (
	"fmt"
	"time"

	"jayfold.dev/jayfold/internal/core/admission"
	"jayfold.dev/jayfold/internal/core/detection"
	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/fleet"
	"jayfold.dev/jayfold/internal/core/message"
)

// maxDrift is the maximum difference of a clock's rate from true time, just under half of driftMargin.
const maxDrift = driftMargin / 2.1

const poolName fleet.PoolName = "catalogue"

// packet is a message in transit.
type packet struct {
	from, to fleet.NodeID
	message  message.Message
}

// host is one node with its own clock.
type host struct {
	id           fleet.NodeID
	state        State
	clockRate    float64
	dead, paused bool
	// floor is the floor in the tables at the host's last event.
	floor int
}

// target is the true state of one target.
type target struct {
	id                      fleet.TargetID
	host                    *host
	failing, draining, gone bool
	// recentlyFailed is true if its last request failed.
	recentlyFailed bool
}

// cluster runs the ejection states of several nodes over a network whose packets wait until they are delivered or dropped.
type cluster struct {
	now     time.Duration
	hosts   []*host
	targets []*target
	network []packet
	// cut links drop their packets, slow ones delay them.
	cut, slow map[[2]fleet.NodeID]bool
	// grants holds the time of the last grant from one target to another, by the grantor's clock.
	grants     map[[2]fleet.TargetID]time.Time
	violations []string
	floor      int
	// badRequests is the number of bad requests, out of 20, in the evidence on a failing target.
	badRequests int
	random      uint64
	ejections   int
	logs        []string
}

func newCluster(hosts, perHost, floor int) *cluster {
	c := &cluster{
		cut:    map[[2]fleet.NodeID]bool{},
		slow:   map[[2]fleet.NodeID]bool{},
		grants: map[[2]fleet.TargetID]time.Time{},
		floor:  floor,
		now:    time.Hour,

		badRequests: 10,
	}
	for i := range hosts {
		h := &host{id: fleet.NodeID(fmt.Sprintf("n%d", i)), clockRate: 1 + maxDrift*float64(i%3-1)}
		h.state = New(h.id)
		c.hosts = append(c.hosts, h)
		for j := range perHost {
			id := fleet.NewTargetID(h.id, fmt.Sprint(j))
			c.targets = append(c.targets, &target{id: id, host: h})
		}
	}
	c.tick()
	c.advance(2 * leaseDuration)
	return c
}

func (c *cluster) clock(h *host) time.Time {
	return time.Unix(0, 0).Add(time.Duration(float64(c.now) * h.clockRate))
}

func (c *cluster) context(h *host) Context {
	c.random = c.random*6364136223846793005 + 1442695040888963407
	ctx := Context{
		Now:    c.clock(h),
		Random: c.random >> 8,
		Tables: fleet.Tables{Pools: fleet.Map[fleet.PoolName, fleet.Pool]{}.With(poolName,
			fleet.Pool{Name: poolName, Floor: c.floor})},
		PeerAddress: func(id fleet.NodeID) (string, bool) { return string(id), true },
		Evidence:    c.evidence,
	}
	var candidates []fleet.Candidate
	for _, target := range c.targets {
		t := fleet.Target{ID: target.id, Pool: poolName}
		candidates = append(candidates, fleet.Candidate{Target: t, Node: target.host.id})
		if target.draining {
			t.State = fleet.TargetDraining
		}
		if target.host == h && !target.gone {
			ctx.LocalTargets = append(ctx.LocalTargets, t)
		}
	}
	ctx.Directory = fleet.Directory{}.WithPool(poolName, candidates)
	return ctx
}

func (c *cluster) evidence(id fleet.TargetID) detection.Evidence {
	for _, target := range c.targets {
		if target.id == id && target.failing {
			return detection.Evidence{Samples: 20, BadSamples: c.badRequests, Score: 6, Threshold: 12}
		}
		if target.id == id && target.recentlyFailed {
			return detection.Evidence{Samples: 1, BadSamples: 1, Score: 1.8, Threshold: 12}
		}
	}
	return detection.Evidence{Threshold: 12}
}

// step runs one event on a host unless the host is dead or paused.
func (c *cluster) step(h *host, event func(State, Context) (State, []effect.Effect)) {
	if h.dead || h.paused {
		return
	}
	h.floor = c.floor
	state, effects := event(h.state, c.context(h))
	h.state = state
	for _, e := range effects {
		switch e := e.(type) {
		case effect.SendMessage:
			c.network = append(c.network, packet{from: h.id, to: e.To, message: e.Message})
			if grant, ok := e.Message.(message.LeaseGrant); ok {
				c.recordGrant(grant)
			}
		case effect.WriteLog:
			c.logs = append(c.logs, e.Message)
			if e.Message == "target set out of service" {
				c.ejections++
			}
		}
	}
}

func (c *cluster) tick() {
	for _, h := range c.hosts {
		c.step(h, State.Tick)
	}
}

// advance moves time forward and ticks every host once.
func (c *cluster) advance(d time.Duration) {
	c.now += d
	c.tick()
}

// run moves time forward in small steps and delivers all packets except those on cut or slow links.
func (c *cluster) run(d, step time.Duration) {
	for end := c.now + d; c.now < end; {
		c.exchange()
		c.advance(step)
	}
	c.exchange()
}

// recordGrant records a grant, and a violation if the grantor was failing, leaving or ejected.
func (c *cluster) recordGrant(m message.LeaseGrant) {
	for _, target := range c.targets {
		if target.id != m.Grantor {
			continue
		}
		c.grants[[2]fleet.TargetID{m.Grantor, m.Requester}] = c.clock(target.host)
		if target.failing || !c.isUp(target) || c.ejected(target) {
			c.violations = append(c.violations, fmt.Sprintf("%s granted a lease while failing, leaving or ejected", target.id))
		}
	}
}

// deliver delivers the packet at index. The packet stays in the network while the host is paused or the link is slow.
func (c *cluster) deliver(index int) {
	p := c.network[index]
	if c.isHeldBack(p) {
		return
	}
	c.drop(index)
	if c.cut[[2]fleet.NodeID{p.from, p.to}] {
		return
	}
	for _, h := range c.hosts {
		if h.id == p.to {
			c.step(h, func(s State, ctx Context) (State, []effect.Effect) { return s.MessageReceived(ctx, p.from, p.message) })
		}
	}
}

func (c *cluster) drop(index int) {
	c.network = append(c.network[:index:index], c.network[index+1:]...)
}

// exchange delivers all packets in order, then the replies to them, and then the replies to those.
func (c *cluster) exchange() {
	for range 3 {
		c.deliverAll()
	}
}

// deliverAll delivers the packets that are in the network now, but not the replies to them.
func (c *cluster) deliverAll() {
	i := 0
	for range len(c.network) {
		if c.isHeldBack(c.network[i]) {
			i++
			continue
		}
		c.deliver(i)
	}
}

func (c *cluster) isHeldBack(p packet) bool {
	for _, h := range c.hosts {
		if h.id == p.to && h.paused {
			return true
		}
	}
	return c.slow[[2]fleet.NodeID{p.from, p.to}]
}

// fail makes the detector find a target failing.
func (c *cluster) fail(target *target) {
	target.failing = true
	c.step(target.host, func(s State, ctx Context) (State, []effect.Effect) { return s.TargetFailing(ctx, target.id) })
}

// recover makes a target healthy. If it is ejected and a trial is due, it is judged recovered.
func (c *cluster) recover(target *target) {
	target.failing = false
	if target.host.state.ServiceState(c.clock(target.host), target.id) == admission.TrialDue {
		c.step(target.host, func(s State, ctx Context) (State, []effect.Effect) { return s.TargetRecovered(ctx, target.id) })
	}
}

func (c *cluster) ejected(target *target) bool {
	return !target.host.dead && target.host.state.Ejected(c.clock(target.host), target.id)
}

// restart replaces the state of a host by that of a new process.
func (c *cluster) restart(h *host) {
	h.state = New(h.id)
	h.dead, h.paused = false, false
	c.step(h, State.Tick)
}

func (c *cluster) isUp(target *target) bool {
	return !target.host.dead && !target.draining && !target.gone
}

// isCommitted reports whether grantor is not ejected and has granted requester a lease that has not expired by the clock of
// grantor.
func (c *cluster) isCommitted(grantor, requester *target) bool {
	if grantor == requester || c.ejected(grantor) {
		return false
	}
	if grantor.host == requester.host {
		byRequester, _ := grantor.host.state.grants.Get(grantor.id)
		granted, ok := byRequester.Get(requester.id)
		return ok && c.clock(grantor.host).Before(granted.expires)
	}
	grantedAt, ok := c.grants[[2]fleet.TargetID{grantor.id, requester.id}]
	return ok && c.clock(grantor.host).Sub(grantedAt) < leaseDuration
}

// servesOrCommitted reports whether other is healthy and in service according to its own sidecar, or was when it granted
// requester a lease that has not expired: requester cannot know yet that a grantor has crashed, drained or started to fail since.
func (c *cluster) servesOrCommitted(other, requester *target) bool {
	inService := other != requester && !c.ejected(other) && c.isUp(other) && !other.failing
	return inService || c.isCommitted(other, requester)
}

// countTargets returns the number of targets that are in the given relation to requester.
func (c *cluster) countTargets(requester *target, relation func(other, requester *target) bool) int {
	count := 0
	for _, other := range c.targets {
		if relation(other, requester) {
			count++
		}
	}
	return count
}
