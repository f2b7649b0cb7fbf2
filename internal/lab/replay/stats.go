package replay

import (
	"slices"
	"time"
)

// requestStats counts the results of the requests of clients, and all runs.
type requestStats struct {
	maxPayoff, payoff                float64
	ended, withinGoal, late, refused int
	succeededByClass, endedByClass   [len(classes)]int
	crossZone                        int
	timeToRefusal                    time.Duration
	// waitCost is the cost, in units of payoff, of the time that callers waited for failed requests, except those that a target
	// aborted.
	waitCost      float64
	runs, retries int
	// crossings counts the attempts sent to another availability zone, crossingsRefused those that were refused.
	crossings, crossingsRefused int
	// latencies holds the times to successful responses, waits the parts of them beyond the run without waits.
	latencies, waits []time.Duration
}

func (s *requestStats) runStarted(isRetry bool) {
	s.runs++
	if isRetry {
		s.retries++
	}
}

// add counts the result of a request.
func (s *requestStats) add(r *request, now time.Time, result requestResult) {
	spec := classSpecs[r.class]
	s.ended++
	s.maxPayoff += spec.payoff
	s.endedByClass[r.class]++
	if result.response != successResponse {
		if !result.aborted {
			s.waitCost += spec.payoff * waitCostShare(r, now)
		}
		if result.refused {
			s.refused++
			s.timeToRefusal += now.Sub(r.arrived)
		}
		return
	}
	s.succeededByClass[r.class]++
	latency := now.Sub(r.arrived)
	s.latencies, s.waits = append(s.latencies, latency), append(s.waits, latency-r.work)
	if result.zone != r.zone {
		s.crossZone++
	}
	if now.After(r.goal) {
		s.late++
		s.payoff += spec.latePayoffShare * spec.payoff
		return
	}
	s.withinGoal++
	s.payoff += spec.payoff
}

// Waiting for a request that fails costs nothing up to freeWaitShare of the time until the goal. It costs the full payoff of the
// request from fullCostWaitShare of the time until the deadline on. The shares are those by which users price a wait.
const (
	freeWaitShare     = 1.0 / 8
	fullCostWaitShare = 3.0 / 4
)

// waitCostShare returns the cost of the wait for a failed request, as a share of its payoff.
func waitCostShare(r *request, now time.Time) float64 {
	freeWait := freeWaitShare * r.goal.Sub(r.arrived).Seconds()
	fullCostWait := fullCostWaitShare * r.deadline.Sub(r.arrived).Seconds()
	return min(max((now.Sub(r.arrived).Seconds()-freeWait)/(fullCostWait-freeWait), 0), 1)
}

func (s *requestStats) result() Result {
	share := func(count, of int) float64 { return float64(count) / float64(max(of, 1)) }
	return Result{
		Payoff:        s.payoff / max(s.maxPayoff, 1),
		NetPayoff:     (s.payoff - s.waitCost) / max(s.maxPayoff, 1),
		WithinGoal:    share(s.withinGoal, s.ended),
		Late:          share(s.late, s.ended),
		Refused:       share(s.refused, s.ended),
		Failed:        share(s.ended-s.withinGoal-s.late-s.refused, s.ended),
		Orders:        share(s.succeededByClass[order], s.endedByClass[order]),
		Lookups:       share(s.succeededByClass[lookup], s.endedByClass[lookup]),
		TimeToRefusal: s.timeToRefusal / time.Duration(max(s.refused, 1)),
		CrossZone:     share(s.crossZone, s.withinGoal+s.late),
		Retries:       share(s.retries, s.runs),
		MeanLatency:   mean(s.latencies),
		P99:           p99(s.latencies),
		P99Wait:       p99(s.waits),
		Crossings:     share(s.crossings, s.ended),

		CrossingsRefused: share(s.crossingsRefused, s.ended),
	}
}

func mean(durations []time.Duration) time.Duration {
	var total time.Duration
	for _, d := range durations {
		total += d
	}
	return total / time.Duration(max(len(durations), 1))
}

func p99(durations []time.Duration) time.Duration {
	if len(durations) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(durations))
	return sorted[len(sorted)*99/100]
}
