// Package replay plays a load pattern on the targets of a small site under one policy that decides where requests wait, which
// are turned away and where they run. The policies are jayfold's own reducers, one node for each target, and two baselines.
//
// # Usage
//
//	for _, policy := range replay.Policies {
//		result := replay.Run(replay.Patterns[0], policy, seed)
//	}
//
// Time, arrivals, service times and failures are simulated and depend on the seed alone, so that every policy meets the same
// requests. There is no network but its latency, and no partition: for those there are the fuzz tests and the soak.
package replay

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

const (
	// warmUp is the time before the requests that count: nodes settle and the retry budget grows over its window.
	warmUp = 12 * time.Second
	// played is how long the requests that count arrive, and drained how long the last of them may take.
	played  = 30 * time.Second
	drained = 10 * time.Second
)

// epoch is the simulated time of the start.
var epoch = time.Unix(1_800_000_000, 0)

// Policy decides what becomes of requests.
type Policy struct {
	Name  string
	start func(*site) placer
}

// placer is a policy at work on one site.
type placer struct {
	// arrived takes in a request; the placer ends it once.
	arrived func(*request)
	// moved says that the pools of the classes have changed.
	moved func()
}

// Result is what a policy made of a pattern.
type Result struct {
	// Payoff is the part of the payoff that was earned: all of it for an answer within the goal, late for a later one.
	Payoff float64
	// NetPayoff is what remains of it after the worth of the time that requests were held which no target answered or broke off.
	NetPayoff float64
	// WithinGoal, Late, Refused and Failed are parts of the requests: answered within the goal, answered after it, told that they
	// did not run, and all others.
	WithinGoal, Late, Refused, Failed float64
	// Orders and Lookups are the parts of each that were answered.
	Orders, Lookups float64
	// TimeToRefusal is the mean time until a refusal.
	TimeToRefusal time.Duration
	// CrossZone is the part of the answers that came from another availability zone.
	CrossZone float64
	// Retries is the part of the runs that were not the first of their request.
	Retries float64
	// OverBudget is how many repeated attempts a pool got beyond the retry budget, in the worst window.
	OverBudget int
}

// noise is the part of the payoff by which policies differ that are equally good: another 30 s of the same load differ by as much.
const noise = 0.005

// WorseThan reports whether a result is worse than that of another policy by more than chance.
func (r Result) WorseThan(other Result) bool { return r.NetPayoff < other.NetPayoff-noise }

// Mean returns what a policy makes of a pattern on average over some seeds, and the worst overdraft.
func Mean(p Pattern, policy Policy, seeds []uint64) Result {
	var m Result
	for _, seed := range seeds {
		m = m.plus(Run(p, policy, seed), 1/float64(len(seeds)))
	}
	return m
}

func (r Result) plus(o Result, part float64) Result {
	r.Payoff += part * o.Payoff
	r.NetPayoff += part * o.NetPayoff
	r.WithinGoal += part * o.WithinGoal
	r.Late += part * o.Late
	r.Refused += part * o.Refused
	r.Failed += part * o.Failed
	r.Orders += part * o.Orders
	r.Lookups += part * o.Lookups
	r.TimeToRefusal += time.Duration(part * float64(o.TimeToRefusal))
	r.CrossZone += part * o.CrossZone
	r.Retries += part * o.Retries
	r.OverBudget = max(r.OverBudget, o.OverBudget)
	return r
}

// Run plays a pattern under a policy.
func Run(p Pattern, policy Policy, seed uint64) Result {
	s := newSite(p, seed)
	s.placer = policy.start(s)
	for _, class := range classes {
		if p.rate(class, 0) > 0 {
			s.arrive(class)
		}
	}
	for _, at := range p.changes {
		s.agenda.after(warmUp+at, s.placer.moved)
	}
	s.agenda.runUntil(epoch.Add(warmUp + played + drained))
	result := s.tally.result()
	for _, u := range s.usage {
		result.OverBudget = max(result.OverBudget, u.overdrawn())
	}
	return result
}

// site is the targets and the clients, and what has happened so far.
type site struct {
	agenda  agenda
	pattern Pattern
	// arrivals draws the requests, each with the draws of its runs, and choices what the policy leaves to chance. No policy
	// changes the requests that another one meets.
	arrivals, choices *rand.Rand
	targets           []*target
	placer            placer
	tally             tally
	// usage is what each pool got.
	usage map[string]*usage
	count int
}

func newSite(p Pattern, seed uint64) *site {
	s := &site{
		agenda:   agenda{now: epoch},
		pattern:  p,
		arrivals: rand.New(rand.NewPCG(seed, 1)),
		choices:  rand.New(rand.NewPCG(seed, 2)),
		usage:    map[string]*usage{},
	}
	for _, pool := range pools {
		s.usage[pool] = &usage{}
	}
	perPool := zones * targetsPerZone * p.size()
	for i := range perPool * len(pools) {
		s.targets = append(s.targets, &target{
			site: s, index: i, zone: i % zones, pool: pools[i/perPool], running: map[*run]bool{},
		})
	}
	return s
}

// elapsed is the time since requests count.
func (s *site) elapsed() time.Duration { return s.agenda.now.Sub(epoch) - warmUp }

// arrive starts the next request of a class, and those after it.
func (s *site) arrive(class class) {
	rate := s.pattern.rate(class, s.elapsed())
	s.agenda.after(exponential(s.arrivals, rate), func() {
		if s.elapsed() >= played {
			return
		}
		zone := s.pattern.zone(s.elapsed(), s.arrivals.Float64())
		abusive := s.arrivals.Float64() < s.pattern.abusive
		s.begin(class, zone, abusive, rand.New(rand.NewPCG(s.arrivals.Uint64(), 0)))
		s.arrive(class)
	})
}

// begin sends a request of a client.
func (s *site) begin(class class, zone int, abusive bool, draws *rand.Rand) {
	counts := s.elapsed() >= 0
	r := s.request(class, zone, draws)
	var tries int
	r.ended = func(end ending) {
		if abusive && tries < s.pattern.repeats && end.answer == none && s.agenda.now.Before(r.deadline) {
			tries++
			again := s.request(class, zone, draws)
			again.deadline, again.ended = r.deadline, r.ended
			s.placer.arrived(again)
			return
		}
		if counts {
			s.tally.add(r, s.agenda.now, end)
		}
	}
	s.placer.arrived(r)
}

func (s *site) request(class class, zone int, draws *rand.Rand) *request {
	s.count++
	k := kinds[class]
	pool := s.pattern.pool(class, s.elapsed())
	s.usage[pool].requests = append(s.usage[pool].requests, s.agenda.now)
	return &request{
		id:       fmt.Sprintf("r%06d", s.count),
		class:    class,
		zone:     zone,
		pool:     pool,
		arrived:  s.agenda.now,
		goal:     s.agenda.now.Add(k.goal),
		deadline: s.agenda.now.Add(k.deadline),
		draws:    draws,
	}
}

// started counts a run.
func (s *site) started(r *request, repeated bool) {
	if repeated {
		s.usage[r.pool].repeats = append(s.usage[r.pool].repeats, s.agenda.now)
	}
	if counted := s.elapsed(); counted >= 0 && counted < played {
		s.tally.started(repeated)
	}
}

func exponential(r *rand.Rand, perSecond float64) time.Duration {
	return time.Duration(r.ExpFloat64() / perSecond * float64(time.Second))
}

// lognormal draws a time with the given mean.
func lognormal(r *rand.Rand, mean time.Duration, sigma float64) time.Duration {
	return time.Duration(float64(mean) * math.Exp(sigma*r.NormFloat64()-sigma*sigma/2))
}

// Policies are jayfold's decisions and the baselines that they are compared with.
var Policies = []Policy{Jayfold, FirstComeFirstServed, RandomChoice}
