package replay

import (
	"math/rand/v2"
	"time"
)

// Pattern describes the load and the faults of one simulation.
type Pattern struct {
	Name string
	// scale multiplies the number of targets and the base rates; 0 means 1.
	scale int
	// accounts are the client accounts that send the requests.
	accounts accountLoad
	// loadFactor returns the factor for the base rate of a class at a time.
	loadFactor func(class, time.Duration) float64
	// movedShare returns the share of the clients that have moved to the first zone at a time.
	movedShare func(time.Duration) float64
	// conditionAt returns the condition of a target at a time.
	conditionAt func(t *target, at time.Duration) condition
	// abusiveShare is the share of the clients that send a failed request again immediately, up to maxResends times.
	abusiveShare float64
	maxResends   int
	// ordersToCatalogue reports whether orders are routed to the catalogue pool at a time; routeChanges lists the times at which
	// new tables come into force.
	ordersToCatalogue func(time.Duration) bool
	routeChanges      []time.Duration
	// costFactor draws the factor by which the work of a request differs from the mean of its class; nil means 1.
	costFactor func(r *rand.Rand) float64
	// shortWork is true if all work is shorter by workScale and the rates are higher by the same factor, so that requests which
	// cost several times the mean can meet their deadlines.
	shortWork bool
	// slowdownAt returns the factor for the duration of the runs that start on a target at a time, including the warm-up.
	slowdownAt func(t *target, at time.Duration) float64
	// zoneTargets is the number of targets of each pool by zone; zero means targetsPerZone in each zone.
	zoneTargets [zones]int
	// restartAt returns the time at which the process of a target restarts; nil if none does.
	restartAt func(t *target) time.Duration
}

// work draws the duration of a run of a request on a target of normal speed.
func (p Pattern) work(r *request, mean time.Duration) time.Duration {
	work := lognormal(r.random, mean, workSigma)
	if p.shortWork {
		work = time.Duration(float64(work) * workScale)
	}
	if r.costFactor > 0 {
		return time.Duration(float64(work) * r.costFactor)
	}
	return work
}

// targetsByZone returns the number of targets of each pool in each zone.
func (p Pattern) targetsByZone() [zones]int {
	if p.zoneTargets != ([zones]int{}) {
		return p.zoneTargets
	}
	var counts [zones]int
	for i := range counts {
		counts[i] = targetsPerZone * p.size()
	}
	return counts
}

// condition is the behavior of a target: the shares of the requests that it aborts and sheds, and a factor for the duration of
// the others.
type condition struct {
	abortShare, shedShare float64
	slowdown              float64
}

// baseRates is the number of requests per second of each class. The targets of each pool have 24 slots. At these rates orders and
// child requests use 13 slots of the ordering pool, and lookups 9 slots of the catalogue pool.
var baseRates = [...]float64{order: 40, lookup: 20}

// workScale multiplies the work of all requests in patterns with short work.
const workScale = 0.4

// healthyAbortShare is the share of requests that a healthy target aborts.
const healthyAbortShare = 0.002

func (p Pattern) size() int { return max(p.scale, 1) }

func (p Pattern) rate(class class, at time.Duration) float64 {
	if class == child {
		return 0
	}
	rate := baseRates[class] * float64(p.size())
	if p.shortWork {
		rate /= workScale
	}
	if at < 0 {
		return rate
	}
	rate *= p.accounts.loadFactor(at)
	if p.loadFactor == nil {
		return rate
	}
	return rate * p.loadFactor(class, at)
}

// zone returns the availability zone of a client for a uniform random number in [0, 1).
func (p Pattern) zone(at time.Duration, draw float64) int {
	moved := 0.0
	if p.movedShare != nil && at >= 0 {
		moved = p.movedShare(at)
	}
	if draw < moved {
		return 0
	}
	return int((draw - moved) / (1 - moved) * zones)
}

func (p Pattern) condition(t *target, at time.Duration) condition {
	c := condition{}
	if p.conditionAt != nil && at >= 0 {
		c = p.conditionAt(t, at)
	}
	c.abortShare = max(c.abortShare, healthyAbortShare)
	return c
}

func (p Pattern) pool(class class, at time.Duration) string {
	if class == lookup || class == order && p.ordersToCatalogue != nil && p.ordersToCatalogue(at) {
		return pools[0]
	}
	return pools[1]
}

// between reports whether a time lies in [from, to).
func between(at, from, to time.Duration) bool { return at >= from && at < to }

// burst multiplies the load of some classes by a factor for ten seconds.
func burst(factor float64, affected ...class) func(class, time.Duration) float64 {
	return func(c class, at time.Duration) float64 {
		for _, a := range affected {
			if a == c && between(at, 8*time.Second, 18*time.Second) {
				return factor
			}
		}
		return 1
	}
}

// failing makes the affected targets of the ordering pool abort a share of their requests for eight seconds.
func failing(share float64, affected func(t *target) bool) func(*target, time.Duration) condition {
	return func(t *target, at time.Duration) condition {
		if t.pool == pools[1] && affected(t) && between(at, 8*time.Second, 16*time.Second) {
			return condition{abortShare: share}
		}
		return condition{}
	}
}

// shedding makes the targets of the ordering pool shed more than half of their requests for eight seconds.
func shedding(t *target, at time.Duration) condition {
	if t.pool == pools[1] && between(at, 8*time.Second, 16*time.Second) {
		return condition{shedShare: 0.55}
	}
	return condition{}
}

// intermittentFailures makes each target abort most requests for three seconds out of ten, with a different phase per target.
func intermittentFailures(t *target, at time.Duration) condition {
	const period, length = 10 * time.Second, 3 * time.Second
	if (at+time.Duration(t.index)*period*7/17)%period < length {
		return condition{abortShare: 0.85}
	}
	return condition{}
}

// routeChangeTimes returns the times at which the tables change: every second from 6 s to 23 s.
func routeChangeTimes() []time.Duration {
	var times []time.Duration
	for at := 6 * time.Second; at < 24*time.Second; at += time.Second {
		times = append(times, at)
	}
	return times
}

// Patterns lists worst-case loads for queueing, admission and load balancing.
var Patterns = append(sharingPatterns, []Pattern{
	{Name: "calm, targets fail now and then", conditionAt: intermittentFailures},
	{Name: "burst of all, 3x", loadFactor: burst(3, order, lookup)},
	{Name: "burst of lookups, 5x", loadFactor: burst(5, lookup)},
	{Name: "burst of all, targets fail now and then", loadFactor: burst(2, order, lookup), conditionAt: intermittentFailures},
	{Name: "retry abuse, 40% of the clients, 4 more", loadFactor: burst(2, order, lookup), abusiveShare: 0.4, maxResends: 4},
	{Name: "clients of a zone moved", loadFactor: burst(1.5, order, lookup), movedShare: func(at time.Duration) float64 {
		if between(at, 6*time.Second, 20*time.Second) {
			return 0.9
		}
		return 0
	}},
	{Name: "half the targets fail", conditionAt: failing(0.85, func(t *target) bool { return t.index%2 == 0 })},
	{Name: "all targets shed half", conditionAt: shedding},
	{Name: "all targets of a large pool shed half", scale: 4, conditionAt: shedding},
	{Name: "targets of a large pool shed half or fail", scale: 4, conditionAt: func(t *target, at time.Duration) condition {
		if c := intermittentFailures(t, at); c.abortShare > 0 {
			return c
		}
		return shedding(t, at)
	}},
	{Name: "overload while tables change", loadFactor: burst(2, order, lookup), routeChanges: routeChangeTimes(),
		ordersToCatalogue: func(at time.Duration) bool {
			return between(at, 6*time.Second, 24*time.Second) && at/time.Second%2 == 0
		}},
}...)
