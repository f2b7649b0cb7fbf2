package experiment

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Request durations are lognormal, with a p95 of 2.3 times the median.
const (
	medianDuration = 20 * time.Millisecond
	durationSigma  = 0.5
	// p95Deviations is the 95th percentile of the standard normal distribution.
	p95Deviations = 1.645
)

// poolP95 is the p95 of a healthy target.
var poolP95 = time.Duration(float64(medianDuration) * math.Exp(p95Deviations*durationSigma))

// condition is the behavior of a target: the share of requests that fail, and a factor on the duration of all requests.
type condition struct {
	failureRate float64
	slowdown    float64
}

// healthy is the condition of a healthy target, with a low rate of failures.
var healthy = condition{failureRate: 0.001, slowdown: 1}

// sample draws the duration and the result of one request.
func (c condition) sample(r *rand.Rand) (duration time.Duration, failed bool) {
	duration = time.Duration(float64(medianDuration) * c.slowdown * math.Exp(durationSigma*r.NormFloat64()))
	return duration, r.Float64() < c.failureRate
}

// interarrival draws the time to the next request of a Poisson process.
func interarrival(r *rand.Rand, perSecond float64) time.Duration {
	return time.Duration(r.ExpFloat64() / perSecond * float64(time.Second))
}

var simulationStart = time.Unix(1_800_000_000, 0)

// warmUpRequests is the number of requests that a target serves before its fault begins.
const warmUpRequests = 200

// response is the result of one request.
type response struct {
	finished time.Time
	duration time.Duration
	failed   bool
}

// responseStream yields the responses of one target in the order in which they finish.
type responseStream struct {
	random    *rand.Rand
	perSecond float64
	// nextArrival is the arrival time of the next request.
	nextArrival time.Time
	inFlight    []response
}

// next returns the next response that finishes. The requests that arrive until then run under the given condition.
func (s *responseStream) next(c condition) response {
	for len(s.inFlight) == 0 || s.nextArrival.Before(s.inFlight[0].finished) {
		duration, failed := c.sample(s.random)
		resp := response{finished: s.nextArrival.Add(duration), duration: duration, failed: failed}
		i, _ := slices.BinarySearchFunc(s.inFlight, resp, func(a, b response) int { return a.finished.Compare(b.finished) })
		s.inFlight = slices.Insert(s.inFlight, i, resp)
		s.nextArrival = s.nextArrival.Add(interarrival(s.random, s.perSecond))
	}
	first := s.inFlight[0]
	s.inFlight = slices.Delete(s.inFlight, 0, 1)
	return first
}

// detectionResult is the number of requests under a fault that had finished when it was detected, and the time since its start.
type detectionResult struct {
	requests int
	elapsed  time.Duration
}

// detect simulates a fault of one target until the detector reports it, or for at most maxRequests requests.
func detect(r *rand.Rand, d detector, perSecond float64, fault condition, maxRequests int) detectionResult {
	s := responseStream{random: r, perSecond: perSecond, nextArrival: simulationStart}
	for range warmUpRequests {
		resp := s.next(healthy)
		d(resp.finished, resp.duration, resp.failed)
	}
	faultBegin := s.nextArrival
	for requests := 0; ; {
		resp := s.next(fault)
		if !resp.finished.Add(-resp.duration).Before(faultBegin) {
			requests++
		}
		if d(resp.finished, resp.duration, resp.failed) || requests == maxRequests {
			return detectionResult{requests: requests, elapsed: resp.finished.Sub(faultBegin)}
		}
	}
}

// falseAlarms simulates a target without a fault for a number of requests and returns the number of alarms.
func falseAlarms(r *rand.Rand, d detector, perSecond float64, c condition, requests int) int {
	s := responseStream{random: r, perSecond: perSecond, nextArrival: simulationStart}
	alarms := 0
	for range requests {
		resp := s.next(c)
		if d(resp.finished, resp.duration, resp.failed) {
			alarms++
		}
	}
	return alarms
}
