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
	// runs is the number of runs for each fault and rate (requests per second and target). A run ends after maxRequests at the
	// latest.
	runs        int
	rates       []float64
	maxRequests int
	// healthyRequests is the number of requests in the measurement of false alarms, scenarioRuns the number of runs of each
	// pool scenario.
	healthyRequests, scenarioRuns int
}

var (
	allRates  = []float64{goalRate, designRate, nightRate}
	fullPlan  = detectionPlan{runs: 2000, rates: allRates, maxRequests: 20_000, healthyRequests: 10_000_000, scenarioRuns: 20}
	shortPlan = detectionPlan{runs: 300, rates: []float64{goalRate}, maxRequests: 1000, healthyRequests: 300_000, scenarioRuns: 2}
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
// compares them with two common baselines. The error lists the goals that were missed.
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
	_, _ = fmt.Fprintf(w, "\n%d runs at %v req/s per target: requests p50/p99, seconds p50/p99\n", plan.runs, perSecond)
	writeHeader(w, algorithms)
	var missed []error
	for _, f := range faults {
		_, _ = fmt.Fprint(w, f.name, "\t")
		for k, c := range algorithms {
			results := parallel(plan.runs, func(i int) detectionResult {
				return detect(newRandom(seed, i), c.newDetector(c.interval, poolP95), perSecond, f.fault, plan.maxRequests)
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

// falseEjections prints the number of alarms for healthy targets.
func falseEjections(w io.Writer, seed uint64, plan detectionPlan) []error {
	const parts = 20
	_, _ = fmt.Fprintf(w, "\nalarms in %d healthy requests of one target\n", plan.healthyRequests)
	writeHeader(w, algorithms)
	rows := []struct {
		name      string
		perSecond float64
		condition condition
		goal      bool
	}{
		{"as fast as the pool, 10 req/s", goalRate, healthy, true},
		{"as fast as the pool, 0.05 req/s", nightRate, healthy, true},
		{"20% slower, 10 req/s", goalRate, condition{0.001, 1.2}, false},
		{"bad rate 5%, 10 req/s", goalRate, condition{0, slowFactor}, false},
	}
	var missed []error
	for _, row := range rows {
		_, _ = fmt.Fprint(w, row.name, "\t")
		for k, c := range algorithms {
			alarms := 0
			for _, a := range parallel(parts, func(i int) int {
				d := c.newDetector(c.interval, poolP95)
				return falseAlarms(newRandom(seed, i), d, row.perSecond, row.condition, plan.healthyRequests/parts)
			}) {
				alarms += a
			}
			_, _ = fmt.Fprint(w, alarms, "\t")
			if k == sicily && row.goal {
				missed = append(missed, atMost("Sicily, false ejections, "+row.name, alarms, 0))
			}
		}
		_, _ = fmt.Fprintln(w)
	}
	return missed
}

// poolScenarios prints the ejections in a pool of six targets by jayfold with each setting, and by the baselines, which
// eject without a lease from other nodes.
func poolScenarios(w io.Writer, seed uint64, plan detectionPlan) []error {
	_, _ = fmt.Fprintf(w, "\n%d runs of a pool of %d targets, floor %d: ejections of the target at fault + of others\n",
		plan.scenarioRuns, poolSize, poolFloor)
	writeHeader(w, algorithms)
	var missed []error
	for _, s := range scenarios {
		var sums [2]scenarioResult
		for k := range sums {
			for _, r := range parallel(plan.scenarioRuns, func(i int) scenarioResult { return s.run(seed, i, algorithms[k].interval) }) {
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
	for _, c := range algorithms {
		_, _ = fmt.Fprint(w, c.name, "\t")
	}
	_, _ = fmt.Fprintln(w)
}

// sortedResults returns the request counts and the times to detection, each sorted in ascending order.
func sortedResults(results []detectionResult) ([]int, []time.Duration) {
	requests := make([]int, len(results))
	elapsed := make([]time.Duration, len(results))
	for i, f := range results {
		requests[i] = f.requests
		elapsed[i] = f.elapsed
	}
	slices.Sort(requests)
	slices.Sort(elapsed)
	return requests, elapsed
}

// quantile returns the q-quantile of sorted values; q is between 0 and 1.
func quantile[T any](ordered []T, q float64) T {
	return ordered[min(int(q*float64(len(ordered))), len(ordered)-1)]
}

// atMost returns an error if a measured value exceeds its goal.
func atMost[T int | time.Duration](what string, got, goal T) error {
	if got <= goal {
		return nil
	}
	return fmt.Errorf("goal missed: %s is %v, goal %v", what, got, goal)
}
