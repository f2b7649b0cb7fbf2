package experiment

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"jayfold.dev/jayfold/internal/lab/load"
	"jayfold.dev/jayfold/internal/lab/testbed"
)

const (
	// overloadServiceTime is the duration of a request. Six targets with four slots each thus serve 480 requests per second.
	overloadServiceTime = 50 * time.Millisecond
	overloadOrderShare  = 0.2
	// goodputGoal is the least allowed goodput at twice the capacity, as a share of the goodput at capacity.
	goodputGoal = 0.9
	// retryGoal is the largest allowed number of retries per request.
	retryGoal = 0.1
)

// overloadResult is the result at one request rate.
type overloadResult struct {
	// rate is in requests per second, goodput in successful responses per second.
	rate    float64
	goodput float64
	// servedOrderShare is the share of the orders that succeeded, p99 the latency of lookups.
	servedOrderShare  float64
	p99               time.Duration
	retriesPerRequest float64
}

// Overload measures the goodput on the testbed at loads from half the capacity to four times the capacity.
func Overload(w io.Writer, o Options) error {
	duration := 15 * time.Second
	if o.Short {
		duration = 4 * time.Second
	}
	capacity := float64(sicilyTargets*sicilySlots) / overloadServiceTime.Seconds()
	fmt.Fprintf(w, "overload, seed %d, capacity %.0f/s, %.0f%% orders, %v per rate\n\n",
		o.Seed, capacity, 100*overloadOrderShare, duration)
	bed, err := newSite(deploymentSettings[0].interval, overloadServiceTime)
	if err != nil {
		return err
	}
	defer bed.Stop()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	// The targets are slower during a cold start of 10 s.
	if _, err := sendLoad(ctx, bed, capacity/2, overloadOrderShare, 12*time.Second); err != nil {
		return err
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "load\trate/s\tgoodput/s\tof capacity\torders served\tlookup p99\tretries\t")
	results := map[float64]overloadResult{}
	for _, factor := range []float64{0.5, 1, 2, 4} {
		result, err := measureOverload(ctx, bed, factor*capacity, duration)
		if err != nil {
			return err
		}
		results[factor] = result
		fmt.Fprintf(table, "%.1fx\t%.0f\t%.0f\t%.0f%%\t%.1f%%\t%v\t%.1f%%\t\n", factor, result.rate, result.goodput,
			100*result.goodput/capacity, 100*result.servedOrderShare, result.p99.Round(time.Millisecond), 100*result.retriesPerRequest)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	return checkOverload(w, results)
}

func checkOverload(w io.Writer, results map[float64]overloadResult) error {
	ratio := results[2].goodput / results[1].goodput
	fmt.Fprintf(w, "\ngoodput at 2x is %.0f%% of that at 1x, goal at least %.0f%%\n", 100*ratio, 100*goodputGoal)
	if ratio < goodputGoal {
		return fmt.Errorf("overload: goodput at 2x is %.0f%% of that at 1x, goal at least %.0f%%", 100*ratio, 100*goodputGoal)
	}
	for factor, result := range results {
		if result.retriesPerRequest > retryGoal {
			return fmt.Errorf("overload: %.1f%% retries at %.1fx, goal at most %.0f%%",
				100*result.retriesPerRequest, factor, 100*retryGoal)
		}
	}
	return nil
}

// measureOverload sends requests at one rate and measures the goodput and the retries.
func measureOverload(ctx context.Context, bed *testbed.Testbed, rate float64, duration time.Duration) (overloadResult, error) {
	before, err := readTraffic(ctx, bed)
	if err != nil {
		return overloadResult{}, err
	}
	report, err := sendLoad(ctx, bed, rate, overloadOrderShare, duration)
	if err != nil {
		return overloadResult{}, err
	}
	// Nodes publish their metrics every 2 s.
	time.Sleep(3 * time.Second)
	after, err := readTraffic(ctx, bed)
	if err != nil {
		return overloadResult{}, err
	}
	sent := after.requests - before.requests
	return overloadResult{
		rate:              rate,
		goodput:           float64(report.Succeeded["lookup"]+report.Succeeded["order"]) / duration.Seconds(),
		servedOrderShare:  servedShare(report, "order"),
		p99:               lookupQuantile(report, 99),
		retriesPerRequest: max(0, (after.attempts-before.attempts-sent)/sent),
	}, nil
}

func servedShare(report load.Report, class string) float64 {
	return float64(report.Succeeded[class]) / float64(report.Sent[class])
}

// trafficCounts holds the numbers of requests and attempts of all nodes since their start.
type trafficCounts struct {
	requests float64
	attempts float64
}

func readTraffic(ctx context.Context, bed *testbed.Testbed) (trafficCounts, error) {
	requests, err := sumCounter(ctx, bed, "jayfold_requests")
	if err != nil {
		return trafficCounts{}, err
	}
	attempts, err := sumCounter(ctx, bed, "jayfold_attempts")
	return trafficCounts{requests: requests, attempts: attempts}, err
}
