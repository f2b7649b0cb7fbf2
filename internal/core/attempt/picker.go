package attempt

import (
	"jayfold.dev/jayfold/internal/core/fleet"
)

const (
	// crossZoneCost is how many requests per slot more the own availability zone must have before a request is forced on
	// another one. Half a request per slot is more wait than the round trip of 3 ms between zones costs.
	crossZoneCost = 0.5
	// faultyCost is how many requests per slot more a shedding target must have than a faulty one before the faulty one is
	// asked first. A queue holds four per slot.
	faultyCost = 4
	// fullUtilization is the number of requests per slot of a target without a free slot.
	fullUtilization = 1
	// maxDraws bounds the random draws for an eligible target. After that all targets are checked.
	maxDraws = 8
	// usualPoolSize is the size of a pool up to which listing its targets allocates nothing. The mean size is 56.
	usualPoolSize = 128
)

// randomSequence is a sequence of random numbers from one seed (SplitMix64).
type randomSequence uint64

func (r *randomSequence) next() uint64 {
	*r += 0x9e3779b97f4a7c15
	z := uint64(*r)
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}

// picker selects the target of one attempt.
type picker struct {
	state      State
	pool       *poolView
	ctx        Context
	request    activeRequest
	candidates []fleet.Candidate
	// ownZone holds the indices of the candidates in the own availability zone.
	ownZone []int32
	random  randomSequence
}

// pickTarget returns the placement of a request's next attempt, and false if no target may take it.
func (s State) pickTarget(ctx Context, req activeRequest) (placement, bool) {
	p := picker{
		state:      s,
		pool:       s.pool(req.template.Pool),
		ctx:        ctx,
		request:    req,
		candidates: ctx.Directory.Candidates(req.template.Pool),
		ownZone:    ctx.Directory.ZoneIndices(req.template.Pool, s.zone),
		random:     randomSequence(ctx.Random),
	}
	return p.pick()
}

// inZone returns the indices of the candidates in the own availability zone, or appends those of the other zones to
// listed.
func (p *picker) inZone(own bool, listed []int32) []int32 {
	if own {
		return p.ownZone
	}
	for i := range p.candidates {
		if p.candidates[i].AvailabilityZone != p.state.zone {
			listed = append(listed, int32(i))
		}
	}
	return listed
}

// lessLoadedOfTwo returns the less loaded of two random eligible targets with its load; -1 if there is none.
func (p *picker) lessLoadedOfTwo(among []int32) (int, float64) {
	first, load := p.randomEligible(among, -1)
	if first < 0 {
		return -1, 0
	}
	if second, other := p.randomEligible(among, first); second >= 0 && other < load {
		return second, other
	}
	return first, load
}

// randomEligible returns a random eligible target other than the one at except, with its load; -1 if there is none.
func (p *picker) randomEligible(among []int32, except int) (int, float64) {
	if len(among) == 0 {
		return -1, 0
	}
	for range maxDraws {
		i := int(among[p.random.next()%uint64(len(among))])
		if i == except {
			continue
		}
		if v := p.targetView(i); p.eligible(i, v) {
			return i, p.utilization(i, v)
		}
	}
	start := int(p.random.next() % uint64(len(among)))
	for n := range among {
		i := int(among[(start+n)%len(among)])
		if v := p.targetView(i); i != except && p.eligible(i, v) {
			return i, p.utilization(i, v)
		}
	}
	return -1, 0
}

func (p *picker) targetView(i int) *targetView { return p.pool.target(p.candidates[i].Target.ID) }

func (p *picker) untried(i int) bool {
	id := p.candidates[i].Target.ID
	return !p.request.hasTried(id) && !p.request.refusedBy(id)
}

// eligible reports whether a target should get the request. The ejection mark in a member record is a hint that only keeps
// orders away, since an ejected target needs a few idempotent requests to show that it has recovered.
func (p *picker) eligible(i int, v *targetView) bool {
	candidate := &p.candidates[i]
	if !p.untried(i) || candidate.Target.Ejected && !p.request.template.Idempotent {
		return false
	}
	if p.ctx.Now.Before(v.refusedUntil) || p.ctx.Now.Before(v.suspectUntil) {
		return false
	}
	return !p.state.unreachable.avoids(p.ctx.Now, candidate.Node, p.request.template.Idempotent)
}

// utilization returns the requests per slot that the request would find at a target.
func (p *picker) utilization(i int, v *targetView) float64 {
	target := &p.candidates[i].Target
	return v.utilization(p.ctx.Now, p.state.attempts.count(target.ID), target.Slots)
}

// homeTarget returns the home target of a request with an idempotency key: the highest hash of key and target (rendezvous
// hashing) among those that may take it.
func (p *picker) homeTarget() (int, mode) {
	if p.request.template.Key == "" {
		return -1, waiting
	}
	if i := p.highestScore(func(i int) bool { return p.eligible(i, p.targetView(i)) }); i >= 0 {
		return i, waiting
	}
	return p.highestScore(p.untried), forced
}

func (p *picker) highestScore(allowed func(int) bool) int {
	best := -1
	var highest uint64
	for i := range p.candidates {
		score := fleet.HomeScore(p.request.template.Key, p.candidates[i].Target.ID)
		if (best < 0 || score > highest) && allowed(i) {
			best, highest = i, score
		}
	}
	return best
}
