package replay

import "time"

// Pattern is one load.
type Pattern struct {
	Name string
	// scale is how many times as many targets and requests there are as on a small site; 0 means once.
	scale int
	// loadFactor multiplies the usual rates of the classes at a time.
	loadFactor func(class, time.Duration) float64
	// movedShare is the share of the clients that have moved to the first zone at a time.
	movedShare func(time.Duration) float64
	// conditionAt gives the condition of a target at a time.
	conditionAt func(t *target, at time.Duration) condition
	// abusiveShare is the share of the clients that repeat a request at once, up to repeats times.
	abusiveShare float64
	maxResends   int
	// ordersToCatalogue says whether the orders go to the catalogue's targets at a time; changes are when that changes.
	ordersToCatalogue func(time.Duration) bool
	routeChanges      []time.Duration
}

// condition is how a target takes requests: the shares that it breaks off and refuses, and how much longer the others take.
type condition struct {
	brokenShare, shedShare float64
	slowdown               float64
}

// The baseRates rates, a second. The targets of each pool have 24 slots: orders and calls take 13 of theirs, lookups 9.
var baseRates = [...]float64{order: 40, lookup: 20}

// errorShare is the share of requests that a healthy target breaks off.
const errorShare = 0.002

func (p Pattern) size() int { return max(p.scale, 1) }

func (p Pattern) rate(class class, at time.Duration) float64 {
	if class == child {
		return 0
	}
	rate := baseRates[class] * float64(p.size())
	if p.loadFactor == nil || at < 0 {
		return rate
	}
	return rate * p.loadFactor(class, at)
}

// zone returns the availability zone of a client, from a uniform draw in [0, 1).
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
	c.brokenShare = max(c.brokenShare, errorShare)
	return c
}

func (p Pattern) pool(class class, at time.Duration) string {
	if class == lookup || class == order && p.ordersToCatalogue != nil && p.ordersToCatalogue(at) {
		return pools[0]
	}
	return pools[1]
}

// between reports whether a time lies within a span.
func between(at, from, to time.Duration) bool { return at >= from && at < to }

// burst multiplies the load of some classes by x for ten seconds.
func burst(x float64, of ...class) func(class, time.Duration) float64 {
	return func(c class, at time.Duration) float64 {
		for _, one := range of {
			if one == c && between(at, 8*time.Second, 18*time.Second) {
				return x
			}
		}
		return 1
	}
}

// failing makes some targets of the second pool break requests off for eight seconds.
func failing(share float64, hits func(t *target) bool) func(*target, time.Duration) condition {
	return func(t *target, at time.Duration) condition {
		if t.pool == pools[1] && hits(t) && between(at, 8*time.Second, 16*time.Second) {
			return condition{brokenShare: share}
		}
		return condition{}
	}
}

// shedding makes the targets of the second pool refuse more than half of their requests for eight seconds.
func shedding(t *target, at time.Duration) condition {
	if t.pool == pools[1] && between(at, 8*time.Second, 16*time.Second) {
		return condition{shedShare: 0.55}
	}
	return condition{}
}

// intermittentFailures makes each target break most requests off for three seconds of ten, each at times of its own.
func intermittentFailures(t *target, at time.Duration) condition {
	const period, length = 10 * time.Second, 3 * time.Second
	if (at+time.Duration(t.index)*period*7/17)%period < length {
		return condition{brokenShare: 0.85}
	}
	return condition{}
}

// routeChangeTimes are the times at which the tables change while they do.
func routeChangeTimes() []time.Duration {
	var times []time.Duration
	for at := 6 * time.Second; at < 24*time.Second; at += time.Second {
		times = append(times, at)
	}
	return times
}

// Patterns are the loads that the decisions on waiting, turning away and placing answer.
var Patterns = []Pattern{
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
		if c := intermittentFailures(t, at); c.brokenShare > 0 {
			return c
		}
		return shedding(t, at)
	}},
	{Name: "overload while tables change", loadFactor: burst(2, order, lookup), routeChanges: routeChangeTimes(), ordersToCatalogue: func(at time.Duration) bool {
		return between(at, 6*time.Second, 24*time.Second) && at/time.Second%2 == 0
	}},
}
