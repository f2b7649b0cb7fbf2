package experiment

import (
	"math"
	"time"
)

// scenario is a sequence of faults in a pool of six targets.
type scenario struct {
	name      string
	perSecond float64
	duration  time.Duration
	fault     faultSchedule
	// faulty is true if target 0 is at fault. An ejection of any other target is a false ejection.
	faulty bool
}

const (
	poolSize   = 6
	poolFloor  = 3
	faultStart = 30 * time.Second
)

// Request rates, per second per target. The detection goals hold at goalRate.
const (
	designRate = 7.7
	goalRate   = 10.0
	nightRate  = 0.05
)

// faultDuring returns a schedule that puts the affected targets into condition c for the given time from faultStart.
func faultDuring(length time.Duration, c condition, affected func(target int) bool) faultSchedule {
	return func(target int, at time.Duration) condition {
		if affected(target) && at >= faultStart && at < faultStart+length {
			return c
		}
		return healthy
	}
}

func allTargets(int) bool         { return true }
func evenTarget(target int) bool  { return target%2 == 0 }
func firstTarget(target int) bool { return target == 0 }

var scenarios = []scenario{
	{name: "errors 100%, all targets, 2 s", perSecond: goalRate, duration: 2 * time.Minute,
		fault: faultDuring(2*time.Second, condition{failureRate: 1, slowdown: 1}, allTargets)},
	{name: "errors 100%, all targets, 30 s", perSecond: goalRate, duration: 2 * time.Minute,
		fault: faultDuring(30*time.Second, condition{failureRate: 1, slowdown: 1}, allTargets)},
	{name: "errors 30%, all targets, 60 s", perSecond: goalRate, duration: 3 * time.Minute,
		fault: faultDuring(time.Minute, condition{failureRate: 0.3, slowdown: 1}, allTargets)},
	{name: "errors 50%, half the targets, 10 s", perSecond: goalRate, duration: 2 * time.Minute,
		fault: faultDuring(10*time.Second, condition{failureRate: 0.5, slowdown: 1}, evenTarget)},
	{name: "errors 50%, all, 20 min at night", perSecond: nightRate, duration: 40 * time.Minute,
		fault: faultDuring(20*time.Minute, condition{failureRate: 0.5, slowdown: 1}, allTargets)},
	{name: "slowdown 5x, all targets, 60 s", perSecond: goalRate, duration: 3 * time.Minute,
		fault: faultDuring(time.Minute, condition{failureRate: 0.001, slowdown: 5}, allTargets)},
	{name: "slowdown 20x, all targets, for good", perSecond: designRate, duration: 3 * time.Minute,
		fault: faultDuring(time.Hour, condition{failureRate: 0.001, slowdown: 20}, allTargets)},
	{name: "drift, 3x slower within 10 min", perSecond: goalRate, duration: 10 * time.Minute,
		fault: func(_ int, at time.Duration) condition {
			return condition{failureRate: 0.001, slowdown: math.Pow(3, at.Minutes()/10)}
		}},
	{name: "healthy, targets differ by 20%", perSecond: goalRate, duration: 10 * time.Minute,
		fault: func(target int, _ time.Duration) condition {
			return condition{failureRate: 0.001, slowdown: 0.9 + 0.04*float64(target)}
		}},
	{name: "errors 100%, one target, 0.2 s at 50 req/s", perSecond: 50, duration: time.Minute,
		fault: faultDuring(200*time.Millisecond, condition{failureRate: 1, slowdown: 1}, firstTarget)},
	{name: "one target fails 50%", perSecond: goalRate, duration: 2 * time.Minute, faulty: true,
		fault: faultDuring(time.Hour, condition{failureRate: 0.5, slowdown: 1}, firstTarget)},
	{name: "one target flaps, 10 s of 20 s", perSecond: goalRate, duration: 10 * time.Minute, faulty: true,
		fault: func(target int, at time.Duration) condition {
			if target == 0 && at >= faultStart && at%(20*time.Second) < 10*time.Second {
				return condition{failureRate: 0.8, slowdown: 1}
			}
			return healthy
		}},
}

// scenarioResult sums the results of one or more repetitions of a scenario.
type scenarioResult struct {
	// faulty counts for the target at fault, others for all other targets. Each holds the number of ejections by jayfold, followed
	// by the number of alarms of each baseline detector.
	faulty, others [3]int
}

func (s scenario) run(seed uint64, repetition int, interval time.Duration) scenarioResult {
	p := newPool(newRandom(seed, repetition), poolSize, poolFloor, interval, s.fault)
	p.run(s.duration, s.perSecond)
	var result scenarioResult
	for i, n := range p.nodes {
		for k, alarms := range n.alarms {
			if s.faulty && i == 0 {
				result.faulty[k] += alarms
			} else {
				result.others[k] += alarms
			}
		}
	}
	return result
}

func (r scenarioResult) plus(other scenarioResult) scenarioResult {
	for k := range r.faulty {
		r.faulty[k] += other.faulty[k]
		r.others[k] += other.others[k]
	}
	return r
}
