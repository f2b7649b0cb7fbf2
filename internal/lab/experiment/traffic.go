package experiment

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"jayfold.dev/jayfold/internal/lab/load"
	"jayfold.dev/jayfold/internal/lab/target"
	"jayfold.dev/jayfold/internal/lab/testbed"
)

const (
	// faultRate is in lookups per second: 17 per second for each target.
	faultRate        = 100.0
	faultServiceTime = 10 * time.Millisecond
	// noticedFactor is the multiple of the healthy p99 above which a caller notices that a response is late.
	noticedFactor = 3
	// noticedGoal is an upper bound: the share of lookups whose callers notice a fault must be smaller.
	noticedGoal = 0.001
)

// grayFault is a partial failure of a target: some requests fail, or responses are slow or do not come.
type grayFault struct {
	name   string
	faults target.Faults
}

var grayFaults = []grayFault{
	{"errors 0.3", target.Faults{ErrorRate: 0.3}},
	{"errors 0.5", target.Faults{ErrorRate: 0.5}},
	{"errors 1.0", target.Faults{ErrorRate: 1}},
	{"slowdown 5x", target.Faults{Slowdown: 5}},
	{"slowdown 20x", target.Faults{Slowdown: 20}},
	{"frozen", target.Faults{Frozen: true}},
}

// deploymentSettings lists the FalseEjectionInterval of the two deployments.
var deploymentSettings = []struct {
	name     string
	interval time.Duration
}{
	{"Sicily", 8760 * time.Hour},
	{"Croatia", 24 * time.Hour},
}

// faultResult is the effect of one fault on the traffic.
type faultResult struct {
	reached        int
	timeToEjection time.Duration
	lookups        int
	failed         int
	late           int
	// lateAfter is the latency above which a response is late.
	lateAfter time.Duration
}

// TrafficAfterFault measures on the testbed how many requests reach a target after it starts to fail, and how many callers
// notice.
func TrafficAfterFault(w io.Writer, o Options) error {
	duration := 20 * time.Second
	if o.Short {
		duration = 5 * time.Second
	}
	fmt.Fprintf(w, "traffic-after-fault, seed %d, %v lookups/s to 6 targets, %v per fault\n\n", o.Seed, faultRate, duration)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "setting\tfault\tejected after\treached the target\tlookups\tfailed\tlate\tlate after\tnoticed\t")
	total, noticed := 0, 0
	for _, setting := range deploymentSettings {
		for _, fault := range grayFaults {
			result, err := measureFault(setting.interval, fault, duration)
			if err != nil {
				return err
			}
			total += result.lookups
			noticed += result.failed + result.late
			fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%d\t%d\t%d\t%v\t%.2f%%\t\n", setting.name, fault.name, result.ejectedText(),
				result.reached, result.lookups, result.failed, result.late, result.lateAfter.Round(time.Millisecond),
				100*float64(result.failed+result.late)/float64(result.lookups))
		}
	}
	if err := table.Flush(); err != nil {
		return err
	}
	share := float64(noticed) / float64(total)
	fmt.Fprintf(w, "\n%d of %d lookups noticed: %.4f%%, goal below %.1f%%\n", noticed, total, 100*share, 100*noticedGoal)
	if share >= noticedGoal {
		return fmt.Errorf("traffic-after-fault: callers noticed the fault in %.4f%% of the lookups, goal below %.1f%%",
			100*share, 100*noticedGoal)
	}
	return nil
}

func (r faultResult) ejectedText() string {
	if r.timeToEjection == 0 {
		return "not ejected"
	}
	return r.timeToEjection.Round(10 * time.Millisecond).String()
}

// measureFault measures one fault on a new site, after a period of healthy traffic from which the baseline is learned.
func measureFault(interval time.Duration, fault grayFault, duration time.Duration) (faultResult, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	bed, err := newSite(interval, faultServiceTime)
	if err != nil {
		return faultResult{}, err
	}
	defer bed.Stop()
	// The targets are slower during a cold start of 10 s, and the baseline needs responses of all of them.
	if _, err := sendLoad(ctx, bed, faultRate, 0, 12*time.Second); err != nil {
		return faultResult{}, err
	}
	healthy, err := sendLoad(ctx, bed, faultRate, 0, duration)
	if err != nil {
		return faultResult{}, err
	}
	failing := bed.Targets[0]
	before := len(failing.Standin.Ledger())
	failing.Standin.SetFaults(fault.faults)
	ejected := make(chan time.Duration, 1)
	go func() { ejected <- waitEjected(ctx, bed, duration) }()
	report, err := sendLoad(ctx, bed, faultRate, 0, duration)
	if err != nil {
		return faultResult{}, err
	}
	limit := noticedFactor * lookupQuantile(healthy, 99)
	return faultResult{
		lateAfter:      limit,
		reached:        len(failing.Standin.Ledger()) - before,
		timeToEjection: <-ejected,
		lookups:        report.Sent["lookup"],
		failed:         failedLookups(report),
		late:           slowerThan(report, limit),
	}, nil
}

func failedLookups(report load.Report) int { return report.Sent["lookup"] - report.Succeeded["lookup"] }

// waitEjected returns the time until a target is ejected, or 0 if none is ejected within limit.
func waitEjected(ctx context.Context, bed *testbed.Testbed, limit time.Duration) time.Duration {
	start := time.Now()
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for time.Since(start) < limit {
		if len(bed.Ejected(ctx)) > 0 {
			return time.Since(start)
		}
		<-ticker.C
	}
	return 0
}
