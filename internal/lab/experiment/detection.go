package experiment

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"
)

// detectionPlan sets how often each part of the detection experiment is repeated.
type detectionPlan struct {
	// repetitions is the number of repetitions for each fault and each of the rates, which are in requests per second per target.
	// A repetition ends after maxRequests requests at the latest.
	repetitions int
	rates       []float64
	maxRequests int
	// healthyRequests is the number of requests in the measurement of false alarms, scenarioRepetitions the number of repetitions
	// of each pool scenario.
	healthyRequests, scenarioRepetitions int
}

var (
	allRates = []float64{goalRate, designRate, nightRate}
	fullPlan = detectionPlan{
		repetitions: 2000, rates: allRates, maxRequests: 20_000, healthyRequests: 10_000_000, scenarioRepetitions: 20,
	}
	shortPlan = detectionPlan{
		repetitions: 300, rates: []float64{goalRate}, maxRequests: 1000, healthyRequests: 300_000, scenarioRepetitions: 2,
	}
)

// faults are the fault conditions whose time to detection is measured.
var faults = []struct {
	name  string
	fault condition
}{
	{"fails 20%", condition{0.2, 1}},
	{"fails 30%", condition{0.3, 1}},
	{"fails 50%", condition{0.5, 1}},
	{"fails 80%", condition{0.8, 1}},
	{"fails 100%", condition{1, 1}},
	{"slow 2x", condition{0.001, 2}},
	{"slow 3x", condition{0.001, 3}},
	{"slow 5x", condition{0.001, 5}},
	{"slow 10x", condition{0.001, 10}},
	{"slow 20x", condition{0.001, 20}},
}

// The detection goals of the design.
const (
	goalMedianRequests = 20
	goalP99Requests    = 40
	goalSlowP99        = 2 * time.Second
)

// Detection measures the time to detection and the false ejections of the production detector and ejection reducer, and
// compares them with two common detectors as baselines. The error lists the goals that were missed.
func Detection(w io.Writer, o Options) error {
	plan := fullPlan
	if o.Short {
		plan = shortPlan
	}
	out := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintf(out, "detection, seed %d\n", o.Seed)
	var missed []error
	for _, perSecond := range plan.rates {
		missed = append(missed, detectionTimes(out, o.Seed, plan, perSecond)...)
	}
	missed = append(missed, falseEjections(out, o.Seed, plan)...)
	missed = append(missed, poolScenarios(out, o.Seed, plan)...)
	return errors.Join(append(missed, out.Flush())...)
}

// detectionTimes prints the number of requests and the seconds until each fault is detected.
func detectionTimes(w io.Writer, seed uint64, plan detectionPlan, perSecond float64) []error {
	_, _ = fmt.Fprintf(w, "\n%d runs at %v req/s per target: requests p50/p99, seconds p50/p99\n", plan.repetitions, perSecond)
	writeHeader(w, algorithms)
	var missed []error
	for _, f := range faults {
		_, _ = fmt.Fprint(w, f.name, "\t")
		for k, a := range algorithms {
			results := parallel(plan.repetitions, func(i int) detectionResult {
				return detect(newRandom(seed, i), a.newDetector(a.interval, poolP95), perSecond, f.fault, plan.maxRequests)
			})
			requests, elapsed := sortedResults(results)
			_, _ = fmt.Fprintf(w, "%d/%d %.1f/%.1f s\t", quantile(requests, 0.5), quantile(requests, 0.99),
				quantile(elapsed, 0.5).Seconds(), quantile(elapsed, 0.99).Seconds())
			if k == croatia && perSecond == goalRate {
				missed = append(missed, checkCroatia(f.fault, requests, elapsed)...)
			}
		}
		_, _ = fmt.Fprintln(w)
	}
	return missed
}

// checkCroatia returns an error for each detection goal that is missed with the setting of Croatia, for which these goals hold.
func checkCroatia(fault condition, requests []int, elapsed []time.Duration) []error {
	var missed []error
	if fault == (condition{0.5, 1}) {
		missed = append(missed,
			atMost("Croatia, requests to find a target that fails half, p50", quantile(requests, 0.5), goalMedianRequests),
			atMost("Croatia, requests to find a target that fails half, p99", quantile(requests, 0.99), goalP99Requests))
	}
	if fault == (condition{0.001, 5}) {
		missed = append(missed, atMost("Croatia, time to find a target slowed 5x, p99", quantile(elapsed, 0.99), goalSlowP99))
	}
	return missed
}

// falseEjections prints the number of alarms for targets without a fault. A row with hasGoal must have none with the setting of
// Sicily.
func falseEjections(w io.Writer, seed uint64, plan detectionPlan) []error {
	const parts = 20
	_, _ = fmt.Fprintf(w, "\nalarms in %d healthy requests of one target\n", plan.healthyRequests)
	writeHeader(w, algorithms)
	rows := []struct {
		name      string
		perSecond float64
		condition condition
		hasGoal   bool
	}{
		{"as fast as the pool, 10 req/s", goalRate, healthy, true},
		{"as fast as the pool, 0.05 req/s", nightRate, healthy, true},
		{"20% slower, 10 req/s", goalRate, condition{0.001, 1.2}, false},
		{"bad rate 5%, 10 req/s", goalRate, condition{0, slowFactor}, false},
	}
	var missed []error
	for _, row := range rows {
		_, _ = fmt.Fprint(w, row.name, "\t")
		for k, a := range algorithms {
			alarms := 0
			for _, n := range parallel(parts, func(i int) int {
				d := a.newDetector(a.interval, poolP95)
				return falseAlarms(newRandom(seed, i), d, row.perSecond, row.condition, plan.healthyRequests/parts)
			}) {
				alarms += n
			}
			_, _ = fmt.Fprint(w, alarms, "\t")
			if k == sicily && row.hasGoal {
				missed = append(missed, atMost("Sicily, false ejections, "+row.name, alarms, 0))
			}
		}
		_, _ = fmt.Fprintln(w)
	}
	return missed
}

// poolScenarios prints the ejections in a pool of six targets by jayfold with each setting, and the alarms of the baseline
// detectors, which would eject without a lease from other nodes.
func poolScenarios(w io.Writer, seed uint64, plan detectionPlan) []error {
	_, _ = fmt.Fprintf(w, "\n%d runs of a pool of %d targets, floor %d: ejections of the target at fault + of others\n",
		plan.scenarioRepetitions, poolSize, poolFloor)
	writeHeader(w, algorithms)
	var missed []error
	for _, s := range scenarios {
		var sums [2]scenarioResult
		for k := range sums {
			for _, r := range parallel(plan.scenarioRepetitions, func(i int) scenarioResult {
				return s.run(seed, i, algorithms[k].interval)
			}) {
				sums[k] = sums[k].plus(r)
			}
		}
		_, _ = fmt.Fprintf(w, "%s\t%d+%d\t%d+%d\t%d+%d\t%d+%d\t\n", s.name,
			sums[sicily].faulty[0], sums[sicily].others[0], sums[croatia].faulty[0], sums[croatia].others[0],
			sums[sicily].faulty[1], sums[sicily].others[1], sums[sicily].faulty[2], sums[sicily].others[2])
		missed = append(missed, atMost("Sicily, false ejections, "+s.name, sums[sicily].others[0], 0))
	}
	return missed
}

func writeHeader(w io.Writer, algorithms []algorithm) {
	_, _ = fmt.Fprint(w, "\t")
	for _, a := range algorithms {
		_, _ = fmt.Fprint(w, a.name, "\t")
	}
	_, _ = fmt.Fprintln(w)
}

// sortedResults returns the request counts and the times to detection, each sorted in ascending order.
func sortedResults(results []detectionResult) ([]int, []time.Duration) {
	requests := make([]int, len(results))
	elapsed := make([]time.Duration, len(results))
	for i, r := range results {
		requests[i] = r.requests
		elapsed[i] = r.elapsed
	}
	slices.Sort(requests)
	slices.Sort(elapsed)
	return requests, elapsed
}

// quantile returns the q-quantile of sorted values; q is between 0 and 1.
func quantile[T any](sorted []T, q float64) T {
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

// atMost returns an error if a measured value exceeds its goal.
func atMost[T int | time.Duration](what string, got, goal T) error {
	if got <= goal {
		return nil
	}
	return fmt.Errorf("goal missed: %s is %v, goal %v", what, got, goal)
}
