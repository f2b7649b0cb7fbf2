package experiment

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// The times that requests take are lognormal, with a p95 of 2.3 times the median.
const (
	medianTook = 20 * time.Millisecond
	spread     = 0.5
	// p95Deviations is the 95th percentile of the normal distribution.
	p95Deviations = 1.645
)

// poolP95 is the p95 of a healthy target.
var poolP95 = time.Duration(float64(medianTook) * math.Exp(p95Deviations*spread))

// condition is how a target answers: the share of requests that fail, and how much longer the others take.
type condition struct {
	failures float64
	slowdown float64
}

// healthy is a target with the few failures that every system has.
var healthy = condition{failures: 0.001, slowdown: 1}

// answer draws the result of one request.
func (c condition) answer(r *rand.Rand) (took time.Duration, failed bool) {
	took = time.Duration(float64(medianTook) * c.slowdown * math.Exp(spread*r.NormFloat64()))
	return took, r.Float64() < c.failures
}

// arrival draws the time to the next request of a Poisson process.
func arrival(r *rand.Rand, perSecond float64) time.Duration {
	return time.Duration(r.ExpFloat64() / perSecond * float64(time.Second))
}

var start = time.Unix(1_800_000_000, 0)

// warmUp is the number of healthy requests before a fault.
const warmUp = 200

// answer is the end of one request.
type answer struct {
	at     time.Time
	took   time.Duration
	failed bool
}

// stream yields the answers of one target in the order in which they end.
type stream struct {
	random    *rand.Rand
	perSecond float64
	// arrives is the time of the next request.
	arrives  time.Time
	inFlight []answer
}

// next returns the next answer; requests that arrive before it meet the given condition.
func (s *stream) next(c condition) answer {
	for len(s.inFlight) == 0 || s.arrives.Before(s.inFlight[0].at) {
		took, failed := c.answer(s.random)
		a := answer{at: s.arrives.Add(took), took: took, failed: failed}
		i, _ := slices.BinarySearchFunc(s.inFlight, a, func(b, a answer) int { return b.at.Compare(a.at) })
		s.inFlight = slices.Insert(s.inFlight, i, a)
		s.arrives = s.arrives.Add(arrival(s.random, s.perSecond))
	}
	first := s.inFlight[0]
	s.inFlight = slices.Delete(s.inFlight, 0, 1)
	return first
}

// found is when a detector found a fault: how many requests that met the fault had ended, and how long it had lasted.
type found struct {
	requests int
	after    time.Duration
}

// detect runs one target into a fault and returns when the detector finds it. It gives up after limit requests.
func detect(r *rand.Rand, d detector, perSecond float64, fault condition, limit int) found {
	s := stream{random: r, perSecond: perSecond, arrives: start}
	for range warmUp {
		a := s.next(healthy)
		d(a.at, a.took, a.failed)
	}
	began := s.arrives
	for requests := 0; ; {
		a := s.next(fault)
		if !a.at.Add(-a.took).Before(began) {
			requests++
		}
		if d(a.at, a.took, a.failed) || requests == limit {
			return found{requests: requests, after: a.at.Sub(began)}
		}
	}
}

// falseAlarms runs one target that is not at fault for a number of requests and returns the number of alarms.
func falseAlarms(r *rand.Rand, d detector, perSecond float64, c condition, requests int) int {
	s := stream{random: r, perSecond: perSecond, arrives: start}
	alarms := 0
	for range requests {
		a := s.next(c)
		if d(a.at, a.took, a.failed) {
			alarms++
		}
	}
	return alarms
}
