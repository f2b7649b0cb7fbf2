package attempt

import (
	"jayfold.dev/jayfold/internal/core/fleet"
)

const (
	// crossZoneCost is added to the load of a target in another availability zone, in requests per slot, when the target of a
	// forced attempt is selected. Waiting behind half a request per slot takes longer than the 3 ms round trip between zones.
	crossZoneCost = 0.5
	// fullUtilization is the number of requests per slot of a target without a free slot.
	fullUtilization = 1
	// maxDraws bounds the random draws for an eligible target. After that all targets are checked.
	maxDraws = 8
	// indexBufferSize is the length of the stack buffers for indices of candidates. Larger pools need a heap allocation; the
	// mean pool size is 56.
	indexBufferSize = 128
)

// suspectCosts are added to the load of a suspect target, in requests per slot, when the target of a forced attempt is selected, so that
// shedding targets are preferred to silent ones and these to faulty ones. A queue holds four requests per slot. A target that counts
// as healthy here is one whose last refusal is out of date.
var suspectCosts = map[fleet.Health]float64{fleet.Healthy: 4, fleet.Shedding: 0, fleet.Silent: 2, fleet.Faulty: 4}

// randomSequence is a SplitMix64 random number generator. Its value is the state of the generator.
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
	// lastResort is true if the own zone has no target for the request, so that it crosses zones or is refused.
	lastResort bool
	// ownChoice is the choice among the targets of the own zone by cost, if ownZoneChosen is true.
	ownChoice     costChoice
	ownZoneChosen bool
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

// candidateIndices returns the indices of the candidates in the own availability zone, or those in the other zones appended to
// buffer.
func (p *picker) candidateIndices(ownZone bool, buffer []int32) []int32 {
	if ownZone {
		return p.ownZone
	}
	if !p.mayCrossZones() {
		return buffer
	}
	for i := range p.candidates {
		if p.candidates[i].AvailabilityZone != p.state.zone {
			buffer = append(buffer, int32(i))
		}
	}
	return buffer
}

// lessLoadedOfTwo returns the less loaded of two random eligible targets (power of two choices) with its load; -1 if no target
// is eligible.
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

// randomEligible returns the index of a random eligible target other than except, with its load; -1 if there is none.
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

// untried reports whether no attempt of the request was sent to the target.
func (p *picker) untried(i int) bool {
	id := p.candidates[i].Target.ID
	return !p.request.hasTried(id) && !p.request.refusedBy(id)
}

// eligible reports whether a target should get the request. The field Ejected of a member record is only a hint. It excludes the
// target only for requests that are not idempotent, since an ejected target needs a few idempotent ones to show that it has
// recovered.
func (p *picker) eligible(i int, v *targetView) bool {
	candidate := &p.candidates[i]
	if !p.untried(i) || candidate.Target.Ejected && !p.request.template.Idempotent {
		return false
	}
	if p.ctx.Now.Before(v.refusedUntil) || p.avoids(v) {
		return false
	}
	return !p.state.unreachable.avoids(p.ctx.Now, candidate.Node, p.request.template.Idempotent)
}

// avoids reports whether the request should not go to a target because of its health. A silent target may only be slow, and an idempotent
// request can still run elsewhere.
func (p *picker) avoids(v *targetView) bool {
	if v.health == fleet.Silent && p.request.template.Idempotent {
		return false
	}
	return p.ctx.Now.Before(v.suspectUntil)
}

// utilization returns the requests per slot on a target before the request is sent to it.
func (p *picker) utilization(i int, v *targetView) float64 {
	target := &p.candidates[i].Target
	return v.utilization(p.ctx.Now, p.state.attempts.count(target.ID), target.Slots)
}

// homeTarget returns the home target of a request with an idempotency key: the one with the highest hash of key and target
// (rendezvous hashing) among the eligible targets. If none is eligible, the attempt is forced on the untried target with the
// highest hash.
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
