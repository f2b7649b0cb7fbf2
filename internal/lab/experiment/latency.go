package experiment

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"jayfold.dev/jayfold/internal/lab/load"
)

// The load of the latency experiment, and the goals for the latency that ingress and sidecar add to a lookup on loopback.
const (
	latencyRate        = 500.0
	latencyServiceTime = 2 * time.Millisecond
	addedGoalP50       = 500 * time.Microsecond
	addedGoalP99       = 2 * time.Millisecond
)

// Latency measures the latency that ingress and sidecar add, compared with direct requests to the targets in the same run.
func Latency(w io.Writer, o Options) error {
	duration := 20 * time.Second
	if o.Short {
		duration = 5 * time.Second
	}
	bed, err := newSite(deploymentSettings[0].interval, latencyServiceTime)
	if err != nil {
		return err
	}
	defer bed.Stop()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	// The targets are slower during a cold start of 10 s.
	if _, err := sendLoad(ctx, bed, latencyRate, 0, 12*time.Second); err != nil {
		return err
	}
	direct := load.Settings{Rate: latencyRate, Duration: duration, LookupPath: "/catalogue", Timeout: 30 * time.Second}
	for _, t := range bed.Targets {
		direct.URLs = append(direct.URLs, "http://"+t.Standin.Address())
	}
	directReport, err := load.New(direct, load.NewSeams()).Run(ctx)
	if err != nil {
		return err
	}
	proxyReport, err := sendLoad(ctx, bed, latencyRate, 0, duration)
	if err != nil {
		return err
	}
	return printLatency(w, o, directReport, proxyReport)
}

func printLatency(w io.Writer, o Options, directReport, proxyReport load.Report) error {
	fmt.Fprintf(w, "latency, seed %d, %.0f lookups/s to 6 targets, 3 nodes in this process\n\n", o.Seed, latencyRate)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "\tp50\tp90\tp99\tp99.9\t")
	for _, row := range []struct {
		name   string
		report load.Report
	}{{"direct", directReport}, {"through jayfold", proxyReport}} {
		fmt.Fprintf(table, "%s\t%v\t%v\t%v\t%v\t\n", row.name, lookupQuantile(row.report, 50),
			lookupQuantile(row.report, 90), lookupQuantile(row.report, 99), lookupQuantile(row.report, 99.9))
	}
	if err := table.Flush(); err != nil {
		return err
	}
	p50 := lookupQuantile(proxyReport, 50) - lookupQuantile(directReport, 50)
	p99 := lookupQuantile(proxyReport, 99) - lookupQuantile(directReport, 99)
	fmt.Fprintf(w, "\nadded: %v at p50 (goal at most %v), %v at p99 (goal at most %v)\n", p50, addedGoalP50, p99, addedGoalP99)
	if p50 > addedGoalP50 || p99 > addedGoalP99 {
		return fmt.Errorf("latency: added %v at p50 and %v at p99, goals at most %v and %v", p50, p99, addedGoalP50, addedGoalP99)
	}
	return nil
}
