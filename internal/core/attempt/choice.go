package attempt

import (
	"slices"

	"jayfold.dev/jayfold/internal/core/fleet"
)

const (
	// crossingCost is how many requests per slot fuller the own availability zone must be before a request goes to
	// another one. Half a request per slot is more wait than the round trip of 3 ms between zones costs.
	crossingCost = 0.5
	// maxDraws bounds the random draws for an eligible target; after that all are looked at.
	maxDraws = 8
	// usualPool is the size of a pool up to which listing its targets allocates nothing; the mean is 56.
	usualPool = 128
)

// draws is a sequence of random numbers from one seed (SplitMix64).
type draws uint64

func (d *draws) next() uint64 {
	*d += 0x9e3779b97f4a7c15
	z := uint64(*d)
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}

// choice looks for the target of one attempt.
type choice struct {
	state      State
	pool       *pool
	ctx        Context
	flight     flight
	candidates []fleet.Candidate
	random     draws
}

// choose returns the target for the next attempt of a request, and false when there is none that it has not tried.
func (s State) choose(ctx Context, f flight) (fleet.Candidate, bool) {
	c := choice{
		state:      s,
		pool:       s.pool(f.template.Pool),
		ctx:        ctx,
		flight:     f,
		candidates: ctx.Directory.Pool(f.template.Pool),
		random:     draws(ctx.Random),
	}
	i := c.pick()
	if i < 0 {
		return fleet.Candidate{}, false
	}
	return c.candidates[i], true
}

// pick returns the index of the target, -1 when there is none.
func (c *choice) pick() int {
	if c.flight.template.Key != "" {
		if i := c.home(func(i int) bool { return c.eligible(i, c.view(i)) }); i >= 0 {
			return i
		}
		return c.home(c.untried)
	}
	if i := c.balanced(); i >= 0 {
		return i
	}
	return c.lastResort()
}

// balanced returns the better of two random targets of the own availability zone, or of the others when that is fuller
// by more than the cost of crossing; -1 when no target is eligible.
func (c *choice) balanced() int {
	var buffer [usualPool]int32
	own, share := c.better(c.inZone(true, buffer[:0]))
	if own >= 0 && share <= crossingCost {
		return own
	}
	other, otherShare := c.better(c.inZone(false, buffer[:0]))
	if own >= 0 && (other < 0 || share <= otherShare+crossingCost) {
		return own
	}
	return other
}

// inZone lists the targets of the own availability zone, or those of the others.
func (c *choice) inZone(own bool, listed []int32) []int32 {
	for i := range c.candidates {
		if (c.candidates[i].AvailabilityZone == c.state.zone) == own {
			listed = append(listed, int32(i))
		}
	}
	return listed
}

// better returns the less loaded of two random eligible targets with its load, -1 when there is none.
func (c *choice) better(among []int32) (int, float64) {
	first, share := c.draw(among, -1)
	if first < 0 {
		return -1, 0
	}
	if second, other := c.draw(among, first); second >= 0 && other < share {
		return second, other
	}
	return first, share
}

// draw returns a random eligible target other than the one at except, with its load; -1 when there is none.
func (c *choice) draw(among []int32, except int) (int, float64) {
	if len(among) == 0 {
		return -1, 0
	}
	for range maxDraws {
		i := int(among[c.random.next()%uint64(len(among))])
		if i == except {
			continue
		}
		if v := c.view(i); c.eligible(i, v) {
			return i, c.share(i, v)
		}
	}
	start := int(c.random.next() % uint64(len(among)))
	for n := range among {
		i := int(among[(start+n)%len(among)])
		if v := c.view(i); i != except && c.eligible(i, v) {
			return i, c.share(i, v)
		}
	}
	return -1, 0
}

func (c *choice) view(i int) *view { return c.pool.view(c.candidates[i].Target.ID) }

func (c *choice) untried(i int) bool {
	return !slices.Contains(c.flight.tried, c.candidates[i].Target.ID)
}

// eligible reports whether a target should get the request. The ejection mark in a member record is a hint that only
// keeps orders away, since an ejected target needs a few idempotent requests to show that it has recovered.
func (c *choice) eligible(i int, v *view) bool {
	candidate := &c.candidates[i]
	if !c.untried(i) || candidate.Target.Ejected && !c.flight.template.Idempotent {
		return false
	}
	if c.ctx.Now.Before(v.refusedUntil) {
		return false
	}
	return !c.state.reaches.avoids(c.ctx.Now, candidate.Node, c.flight.template.Idempotent)
}

// share returns the requests per slot that the request would find.
func (c *choice) share(i int, v *view) float64 {
	target := &c.candidates[i].Target
	return v.share(c.ctx.Now, c.state.own.count(target.ID), target.Slots)
}

// lastResort returns the least loaded target that the request has not tried, -1 when there is none. What the ingress
// remembers of refusals may be out of date.
func (c *choice) lastResort() int {
	best := -1
	var lowest float64
	for i := range c.candidates {
		if !c.untried(i) {
			continue
		}
		if share := c.share(i, c.view(i)); best < 0 || share < lowest {
			best, lowest = i, share
		}
	}
	return best
}

// home returns the home target of the request's idempotency key: the highest hash of key and target (rendezvous
// hashing) among those allowed.
func (c *choice) home(allowed func(int) bool) int {
	best := -1
	var highest uint64
	for i := range c.candidates {
		score := fleet.HomeScore(c.flight.template.Key, c.candidates[i].Target.ID)
		if (best < 0 || score > highest) && allowed(i) {
			best, highest = i, score
		}
	}
	return best
}
