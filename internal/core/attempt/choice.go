package attempt

import (
	"jayfold.dev/jayfold/internal/core/fleet"
)

const (
	// crossingCost is how many requests per slot fuller the own availability zone must be before a request is forced on
	// another one. Half a request per slot is more wait than the round trip of 3 ms between zones costs.
	crossingCost = 0.5
	// faultyCost is how many requests per slot fuller a shedding target must be than a faulty one before that is asked first. A
	// queue holds four per slot.
	faultyCost = 4
	// full is the load, in requests per slot, of a target without a free slot.
	full = 1
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
	// near holds the places of the candidates of the own availability zone.
	near   []int32
	random draws
}

// choose returns where the next attempt of a request goes, and false when there is no target that it may go to.
func (s State) choose(ctx Context, f flight) (placement, bool) {
	c := choice{
		state:      s,
		pool:       s.pool(f.template.Pool),
		ctx:        ctx,
		flight:     f,
		candidates: ctx.Directory.Candidates(f.template.Pool),
		near:       ctx.Directory.ZoneIndices(f.template.Pool, s.zone),
		random:     draws(ctx.Random),
	}
	return c.place()
}

// inZone lists the targets of the own availability zone, or those of the others.
func (c *choice) inZone(own bool, listed []int32) []int32 {
	if own {
		return c.near
	}
	for i := range c.candidates {
		if c.candidates[i].AvailabilityZone != c.state.zone {
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
	id := c.candidates[i].Target.ID
	return !c.flight.triedAt(id) && !c.flight.bouncedAt(id)
}

// eligible reports whether a target should get the request. The ejection mark in a member record is a hint that only
// keeps orders away, since an ejected target needs a few idempotent requests to show that it has recovered.
func (c *choice) eligible(i int, v *view) bool {
	candidate := &c.candidates[i]
	if !c.untried(i) || candidate.Target.Ejected && !c.flight.template.Idempotent {
		return false
	}
	if c.ctx.Now.Before(v.refusedUntil) || c.ctx.Now.Before(v.suspectUntil) {
		return false
	}
	return !c.state.reaches.avoids(c.ctx.Now, candidate.Node, c.flight.template.Idempotent)
}

// share returns the requests per slot that the request would find.
func (c *choice) share(i int, v *view) float64 {
	target := &c.candidates[i].Target
	return v.share(c.ctx.Now, c.state.own.count(target.ID), target.Slots)
}

// home returns the home target of a request with an idempotency key: the highest hash of key and target (rendezvous
// hashing) among those that may take it.
func (c *choice) home() (int, manner) {
	if c.flight.template.Key == "" {
		return -1, waiting
	}
	if i := c.highest(func(i int) bool { return c.eligible(i, c.view(i)) }); i >= 0 {
		return i, waiting
	}
	return c.highest(c.untried), forced
}

func (c *choice) highest(allowed func(int) bool) int {
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
