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
	// loadDuration is how long the requests that count arrive, and drained how long the last of them may take.
	loadDuration  = 30 * time.Second
	drainDuration = 10 * time.Second
)

// epoch is the simulated time of the start.
var epoch = time.Unix(1_800_000_000, 0)

// Policy decides what becomes of requests.
type Policy struct {
	Name         string
	newScheduler func(*site) scheduler
}

// scheduler is a policy at work on one site.
type scheduler struct {
	// requestArrived takes in a request; the placer ends it once.
	requestArrived func(*request)
	// routesChanged says that the pools of the classes have changed.
	routesChanged func()
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
	s.scheduler = policy.newScheduler(s)
	for _, class := range classes {
		if p.rate(class, 0) > 0 {
			s.scheduleArrival(class)
		}
	}
	for _, at := range p.routeChanges {
		s.queue.after(warmUp+at, s.scheduler.routesChanged)
	}
	s.queue.runUntil(epoch.Add(warmUp + loadDuration + drainDuration))
	result := s.stats.result()
	for _, u := range s.retryUsage {
		result.OverBudget = max(result.OverBudget, u.overBudget())
	}
	return result
}

// site is the targets and the clients, and what has happened so far.
type site struct {
	queue   eventQueue
	pattern Pattern
	// arrivalRandom draws the requests, each with the draws of its runs, and policyRandom what the policy leaves to chance. No policy
	// changes the requests that another one meets.
	arrivalRandom, policyRandom *rand.Rand
	targets                     []*target
	scheduler                   scheduler
	stats                       requestStats
	// retryUsage is what each pool got.
	retryUsage   map[string]*retryUsage
	requestCount int
}

func newSite(p Pattern, seed uint64) *site {
	s := &site{
		queue:         eventQueue{now: epoch},
		pattern:       p,
		arrivalRandom: rand.New(rand.NewPCG(seed, 1)),
		policyRandom:  rand.New(rand.NewPCG(seed, 2)),
		retryUsage:    map[string]*retryUsage{},
	}
	for _, pool := range pools {
		s.retryUsage[pool] = &retryUsage{}
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
func (s *site) elapsed() time.Duration { return s.queue.now.Sub(epoch) - warmUp }

// scheduleArrival starts the next request of a class, and those after it.
func (s *site) scheduleArrival(class class) {
	rate := s.pattern.rate(class, s.elapsed())
	s.queue.after(exponential(s.arrivalRandom, rate), func() {
		if s.elapsed() >= loadDuration {
			return
		}
		zone := s.pattern.zone(s.elapsed(), s.arrivalRandom.Float64())
		abusive := s.arrivalRandom.Float64() < s.pattern.abusiveShare
		s.sendRequest(class, zone, abusive, rand.New(rand.NewPCG(s.arrivalRandom.Uint64(), 0)))
		s.scheduleArrival(class)
	})
}

// sendRequest sends a request of a client.
func (s *site) sendRequest(class class, zone int, abusive bool, draws *rand.Rand) {
	counts := s.elapsed() >= 0
	r := s.newRequest(class, zone, draws)
	var tries int
	r.onEnd = func(end requestResult) {
		if abusive && tries < s.pattern.maxResends && end.response == noResponse && s.queue.now.Before(r.deadline) {
			tries++
			again := s.newRequest(class, zone, draws)
			again.deadline, again.onEnd = r.deadline, r.onEnd
			s.scheduler.requestArrived(again)
			return
		}
		if counts {
			s.stats.add(r, s.queue.now, end)
		}
	}
	s.scheduler.requestArrived(r)
}

func (s *site) newRequest(class class, zone int, draws *rand.Rand) *request {
	s.requestCount++
	k := classSpecs[class]
	pool := s.pattern.pool(class, s.elapsed())
	s.retryUsage[pool].requests = append(s.retryUsage[pool].requests, s.queue.now)
	return &request{
		id:       fmt.Sprintf("r%06d", s.requestCount),
		class:    class,
		zone:     zone,
		pool:     pool,
		arrived:  s.queue.now,
		goal:     s.queue.now.Add(k.goal),
		deadline: s.queue.now.Add(k.deadline),
		draws:    draws,
	}
}

// runStarted counts a run.
func (s *site) runStarted(r *request, repeated bool) {
	if repeated {
		s.retryUsage[r.pool].retries = append(s.retryUsage[r.pool].retries, s.queue.now)
	}
	if counted := s.elapsed(); counted >= 0 && counted < loadDuration {
		s.stats.runStarted(repeated)
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
