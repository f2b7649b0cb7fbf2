package replay

import "time"

// Pattern is one load.
type Pattern struct {
	Name string
	// scale is how many times as many targets and requests there are as on a small site; 0 means once.
	scale int
	// load multiplies the usual rates of the classes at a time.
	load func(class, time.Duration) float64
	// shifted is the share of the clients that have moved to the first zone at a time.
	shifted func(time.Duration) float64
	// conditions gives the condition of a target at a time.
	conditions func(t *target, at time.Duration) condition
	// abusive is the share of the clients that repeat a request at once, up to repeats times.
	abusive float64
	repeats int
	// ordersMoved says whether the orders go to the catalogue's targets at a time; changes are when that changes.
	ordersMoved func(time.Duration) bool
	changes     []time.Duration
}

// condition is how a target takes requests: the shares that it breaks off and refuses, and how much longer the others take.
type condition struct {
	breaks, sheds float64
	slowdown      float64
}

// The usual rates, a second. The targets of each pool have 24 slots: orders and calls take 13 of theirs, lookups 9.
var usual = [...]float64{order: 40, lookup: 20}

// errorShare is the share of requests that a healthy target breaks off.
const errorShare = 0.002

func (p Pattern) size() int { return max(p.scale, 1) }

func (p Pattern) rate(class class, at time.Duration) float64 {
	if class == call {
		return 0
	}
	rate := usual[class] * float64(p.size())
	if p.load == nil || at < 0 {
		return rate
	}
	return rate * p.load(class, at)
}

// zone returns the availability zone of a client, from a uniform draw in [0, 1).
func (p Pattern) zone(at time.Duration, draw float64) int {
	moved := 0.0
	if p.shifted != nil && at >= 0 {
		moved = p.shifted(at)
	}
	if draw < moved {
		return 0
	}
	return int((draw - moved) / (1 - moved) * zones)
}

func (p Pattern) condition(t *target, at time.Duration) condition {
	c := condition{}
	if p.conditions != nil && at >= 0 {
		c = p.conditions(t, at)
	}
	c.breaks = max(c.breaks, errorShare)
	return c
}

func (p Pattern) pool(class class, at time.Duration) string {
	if class == lookup || class == order && p.ordersMoved != nil && p.ordersMoved(at) {
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
			return condition{breaks: share}
		}
		return condition{}
	}
}

// shedding makes the targets of the second pool refuse more than half of their requests for eight seconds.
func shedding(t *target, at time.Duration) condition {
	if t.pool == pools[1] && between(at, 8*time.Second, 16*time.Second) {
		return condition{sheds: 0.55}
	}
	return condition{}
}

// flicker makes each target break most requests off for three seconds of ten, each at times of its own.
func flicker(t *target, at time.Duration) condition {
	const period, length = 10 * time.Second, 3 * time.Second
	if (at+time.Duration(t.index)*period*7/17)%period < length {
		return condition{breaks: 0.85}
	}
	return condition{}
}

// everySecond are the times at which the tables change while they do.
func everySecond() []time.Duration {
	var times []time.Duration
	for at := 6 * time.Second; at < 24*time.Second; at += time.Second {
		times = append(times, at)
	}
	return times
}

// Patterns are the loads that the decisions on waiting, turning away and placing answer.
var Patterns = []Pattern{
	{Name: "calm, targets fail now and then", conditions: flicker},
	{Name: "burst of all, 3x", load: burst(3, order, lookup)},
	{Name: "burst of lookups, 5x", load: burst(5, lookup)},
	{Name: "burst of all, targets fail now and then", load: burst(2, order, lookup), conditions: flicker},
	{Name: "retry abuse, 40% of the clients, 4 more", load: burst(2, order, lookup), abusive: 0.4, repeats: 4},
	{Name: "clients of a zone moved", load: burst(1.5, order, lookup), shifted: func(at time.Duration) float64 {
		if between(at, 6*time.Second, 20*time.Second) {
			return 0.9
		}
		return 0
	}},
	{Name: "half the targets fail", conditions: failing(0.85, func(t *target) bool { return t.index%2 == 0 })},
	{Name: "all targets shed half", conditions: shedding},
	{Name: "all targets of a large pool shed half", scale: 4, conditions: shedding},
	{Name: "targets of a large pool shed half or fail", scale: 4, conditions: func(t *target, at time.Duration) condition {
		if c := flicker(t, at); c.breaks > 0 {
			return c
		}
		return shedding(t, at)
	}},
	{Name: "overload while tables change", load: burst(2, order, lookup), changes: everySecond(), ordersMoved: func(at time.Duration) bool {
		return between(at, 6*time.Second, 24*time.Second) && at/time.Second%2 == 0
	}},
}
