// Package replay simulates a load pattern on the targets of a small site under a policy that decides where requests wait, which
// ones are refused and where they run. The policies are jayfold, as the production reducers of one node per target, and two
// baselines.
//
// # Usage
//
//	for _, policy := range replay.Policies {
//		result := replay.Run(replay.Patterns[0], policy, seed)
//	}
//
// Time, arrivals, service times and failures are simulated and depend only on the seed, so that every policy gets the same
// requests. The network is simulated only as latency; the fuzz tests and the soak test cover partitions and other network faults.
package replay

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

const (
	// warmUp is the time before requests are counted. In it the nodes reach a steady state, and requests fill the window of the
	// retry budget.
	warmUp = 12 * time.Second
	// loadDuration is the time during which counted requests arrive, drainDuration the time in which the last of them finish.
	loadDuration  = 30 * time.Second
	drainDuration = 10 * time.Second
)

// epoch is the simulated time at the start.
var epoch = time.Unix(1_800_000_000, 0)

// Policy is a way of scheduling requests.
type Policy struct {
	Name         string
	newScheduler func(*site) scheduler
}

// scheduler applies a policy to one site.
type scheduler struct {
	// requestArrived takes a new request, which the scheduler ends exactly once.
	requestArrived func(*request)
	// routesChanged is called when the pools of the classes have changed.
	routesChanged func()
}

// Result summarizes a pattern under a policy. Shares are between 0 and 1.
type Result struct {
	// Payoff is the achieved share of the largest possible payoff: a response within the goal counts fully, a late one in part.
	Payoff float64
	// NetPayoff is Payoff less the cost of the time that callers waited for failed requests, except those that a target aborted.
	NetPayoff float64
	// WithinGoal, Late, Refused and Failed are the shares of the requests with a response within the goal, with a later one, with
	// a refusal that states that the request did not run, and of all others.
	WithinGoal, Late, Refused, Failed float64
	// Orders and Lookups are the shares of each class that received a successful response.
	Orders, Lookups float64
	// TimeToRefusal is the mean time from the arrival of a request to its refusal.
	TimeToRefusal time.Duration
	// CrossZone is the share of the successful responses that came from another availability zone.
	CrossZone float64
	// Retries is the share of the runs that were retries or belonged to a child request of a retry.
	Retries float64
	// OverBudget is the largest number of retries of a pool beyond the retry budget in any window.
	OverBudget int
	// MeanLatency and P99 describe the time to a successful response, P99Wait the part of it beyond the run without waits.
	MeanLatency, P99, P99Wait time.Duration
	// Crossings is the number of attempts sent to another availability zone per request of a client.
	// CrossingsRefused is the number of those that were refused.
	Crossings, CrossingsRefused float64
	// LowestShare is the lowest share of an account's requests that were served, relative to that over all accounts, and OthersServed the
	// share that was served of the accounts but the first.
	LowestShare, OthersServed float64
}

// noise is the difference in net payoff that occurs by chance: two runs of 30 s of the same load differ by that much.
const noise = 0.005

// WorseThan reports whether the net payoff is lower than that of another result by more than noise.
func (r Result) WorseThan(other Result) bool { return r.NetPayoff < other.NetPayoff-noise }

// Mean returns the mean result over the seeds, with the largest OverBudget of them.
func Mean(p Pattern, policy Policy, seeds []uint64) Result {
	var m Result
	for _, seed := range seeds {
		m = m.plus(Run(p, policy, seed), 1/float64(len(seeds)))
	}
	return m
}

func (r Result) plus(o Result, weight float64) Result {
	r.Payoff += weight * o.Payoff
	r.NetPayoff += weight * o.NetPayoff
	r.WithinGoal += weight * o.WithinGoal
	r.Late += weight * o.Late
	r.Refused += weight * o.Refused
	r.Failed += weight * o.Failed
	r.Orders += weight * o.Orders
	r.Lookups += weight * o.Lookups
	r.TimeToRefusal += time.Duration(weight * float64(o.TimeToRefusal))
	r.CrossZone += weight * o.CrossZone
	r.Retries += weight * o.Retries
	r.LowestShare += weight * o.LowestShare
	r.OthersServed += weight * o.OthersServed
	r.OverBudget = max(r.OverBudget, o.OverBudget)
	r.MeanLatency += time.Duration(weight * float64(o.MeanLatency))
	r.P99 += time.Duration(weight * float64(o.P99))
	r.P99Wait += time.Duration(weight * float64(o.P99Wait))
	r.Crossings += weight * o.Crossings
	r.CrossingsRefused += weight * o.CrossingsRefused
	return r
}

// Run simulates a pattern under a policy.
func Run(p Pattern, policy Policy, seed uint64) Result {
	s := newSite(p, seed)
	s.scheduler = policy.newScheduler(s)
	for _, class := range classes {
		if p.rate(class, 0) > 0 {
			s.scheduleArrival(class)
		}
	}
	for _, at := range p.routeChanges {
		s.clock.after(warmUp+at, s.scheduler.routesChanged)
	}
	s.clock.runUntil(epoch.Add(warmUp + loadDuration + drainDuration))
	result := s.stats.result()
	result.LowestShare, result.OthersServed = s.accounts.lowestShare(), s.accounts.othersServed()
	for _, u := range s.retryUsage {
		result.OverBudget = max(result.OverBudget, u.overBudget())
	}
	return result
}

// site is the state of a simulation.
type site struct {
	clock   clock
	pattern Pattern
	// arrivalRandom generates the requests and seeds the generator of their runs; policyRandom is for the choices of the policy.
	// They are separate so that every policy gets the same requests.
	arrivalRandom, policyRandom *rand.Rand
	targets                     []*target
	scheduler                   scheduler
	stats                       requestStats
	accounts                    accountStats
	// retryUsage holds the requests and retries of each pool.
	retryUsage   map[string]*retryUsage
	requestCount int
}

func newSite(p Pattern, seed uint64) *site {
	s := &site{
		clock:         clock{now: epoch},
		pattern:       p,
		arrivalRandom: rand.New(rand.NewPCG(seed, 1)),
		policyRandom:  rand.New(rand.NewPCG(seed, 2)),
		retryUsage:    map[string]*retryUsage{},
		accounts:      accountStats{},
	}
	for _, pool := range pools {
		s.retryUsage[pool] = &retryUsage{}
	}
	for _, pool := range pools {
		s.addTargets(pool, p.targetsByZone())
	}
	return s
}

// addTargets adds the targets of a pool, one zone after the other in turn.
func (s *site) addTargets(pool string, left [zones]int) {
	for zone := 0; left != ([zones]int{}); zone = (zone + 1) % zones {
		if left[zone] == 0 {
			continue
		}
		left[zone]--
		t := &target{
			site: s, index: len(s.targets), zone: zone, pool: pool, running: map[*run]bool{}, startedAt: epoch.Add(-time.Hour),
		}
		s.targets = append(s.targets, t)
		if s.pattern.restartAt != nil {
			at := s.pattern.restartAt(t)
			s.clock.after(warmUp+at, func() { t.startedAt = s.clock.now })
		}
	}
}

// elapsed returns the time since the end of the warm-up; it is negative during the warm-up.
func (s *site) elapsed() time.Duration { return s.clock.now.Sub(epoch) - warmUp }

// scheduleArrival schedules the next request of a class, and then the one after it.
func (s *site) scheduleArrival(class class) {
	rate := s.pattern.rate(class, s.elapsed())
	s.clock.after(exponential(s.arrivalRandom, rate), func() {
		if s.elapsed() >= loadDuration {
			return
		}
		zone := s.pattern.zone(s.elapsed(), s.arrivalRandom.Float64())
		abusive := s.arrivalRandom.Float64() < s.pattern.abusiveShare
		account := noAccount
		if s.pattern.accounts.count > 0 {
			account = s.pattern.accounts.draw(s.elapsed(), s.arrivalRandom)
		}
		s.sendRequest(class, zone, account, abusive, rand.New(rand.NewPCG(s.arrivalRandom.Uint64(), 0)))
		s.scheduleArrival(class)
	})
}

// sendRequest sends a request of a client, which an abusive client sends again when it fails.
func (s *site) sendRequest(class class, zone, account int, abusive bool, random *rand.Rand) {
	isCounted := s.elapsed() >= 0
	r := s.newRequest(class, zone, random)
	r.account = account
	maxResends := s.pattern.maxResends
	if account == heavy && inBurst(s.elapsed()) && s.pattern.accounts.resends > 0 {
		abusive, maxResends = true, s.pattern.accounts.resends
	}
	var resends int
	sent := s.elapsed()
	r.onEnd = func(result requestResult) {
		if account != noAccount && inBurst(sent) {
			s.accounts.add(account, result.response == successResponse)
		}
		if abusive && resends < maxResends && result.response == noResponse && s.clock.now.Before(r.deadline) {
			resends++
			resent := s.newRequest(class, zone, random)
			resent.account, resent.deadline, resent.onEnd = account, r.deadline, r.onEnd
			s.scheduler.requestArrived(resent)
			return
		}
		if isCounted {
			s.stats.add(r, s.clock.now, result)
		}
	}
	s.scheduler.requestArrived(r)
}

func (s *site) newRequest(class class, zone int, random *rand.Rand) *request {
	s.requestCount++
	spec := classSpecs[class]
	pool := s.pattern.pool(class, s.elapsed())
	s.retryUsage[pool].requests = append(s.retryUsage[pool].requests, s.clock.now)
	costFactor := 1.0
	if s.pattern.costFactor != nil {
		costFactor = s.pattern.costFactor(random)
	}
	return &request{
		costFactor: costFactor,

		account:  noAccount,
		id:       fmt.Sprintf("r%06d", s.requestCount),
		class:    class,
		zone:     zone,
		pool:     pool,
		arrived:  s.clock.now,
		goal:     s.clock.now.Add(spec.goal),
		deadline: s.clock.now.Add(spec.deadline),
		random:   random,
	}
}

// runStarted counts a run and, if it is a retry, charges it to its pool.
func (s *site) runStarted(r *request, isRetry bool) {
	if isRetry {
		s.retryUsage[r.pool].retries = append(s.retryUsage[r.pool].retries, s.clock.now)
	}
	if at := s.elapsed(); at >= 0 && at < loadDuration {
		s.stats.runStarted(isRetry)
	}
}

// crossed counts an attempt that is sent to another availability zone.
func (s *site) crossed() {
	if at := s.elapsed(); at >= 0 && at < loadDuration {
		s.stats.crossings++
	}
}

// crossingRefused counts an attempt that a target in another availability zone refused.
func (s *site) crossingRefused() {
	if at := s.elapsed(); at >= 0 && at < loadDuration {
		s.stats.crossingsRefused++
	}
}

func exponential(r *rand.Rand, perSecond float64) time.Duration {
	return time.Duration(r.ExpFloat64() / perSecond * float64(time.Second))
}

// lognormal draws a duration with the given mean.
func lognormal(r *rand.Rand, mean time.Duration, sigma float64) time.Duration {
	return time.Duration(float64(mean) * math.Exp(sigma*r.NormFloat64()-sigma*sigma/2))
}

// Policies lists jayfold, followed by the baselines that it is compared with.
var Policies = []Policy{Jayfold, FirstComeFirstServed, RandomChoice}
