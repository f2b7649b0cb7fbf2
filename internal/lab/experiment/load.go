package experiment

import (
	"errors"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"jayfold.dev/jayfold/internal/lab/replay"
)

// The number of seeds with which each load is simulated.
const (
	loadSeeds      = 10
	loadSeedsShort = 3
)

// Load simulates worst-case loads under jayfold and under the baseline policies.
func Load(w io.Writer, o Options) error {
	seeds := make([]uint64, loadSeeds)
	if o.Short {
		seeds = seeds[:loadSeedsShort]
	}
	for i := range seeds {
		seeds[i] = o.Seed + uint64(i)
	}
	fmt.Fprintf(w, "load, seeds %d to %d\n\n", seeds[0], seeds[len(seeds)-1])
	policies := len(replay.Policies)
	results := parallel(len(replay.Patterns)*policies, func(i int) replay.Result {
		return replay.Mean(replay.Patterns[i/policies], replay.Policies[i%policies], seeds)
	})
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table,
		"load\tpolicy\tpayoff\tnet payoff\torders\tlookups\tlate\trefused\tfailed\ttime to refusal\tcross-zone\tretries\t")
	for i, r := range results {
		fmt.Fprintf(table, "%s\t%s\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%v\t%.2f\t%.3f\t\n",
			replay.Patterns[i/policies].Name, replay.Policies[i%policies].Name, r.Payoff, r.NetPayoff, r.Orders, r.Lookups, r.Late,
			r.Refused, r.Failed, r.TimeToRefusal.Round(time.Millisecond), r.CrossZone, r.Retries)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	var missed []error
	for i := 0; i < len(results); i += policies {
		missed = append(missed, checkLoad(replay.Patterns[i/policies].Name, results[i], results[i+1:i+policies]))
	}
	return errors.Join(missed...)
}

// checkLoad returns an error if jayfold is worse than a baseline or exceeds the retry budget.
func checkLoad(pattern string, own replay.Result, baselines []replay.Result) error {
	for i, baseline := range baselines {
		if own.WorseThan(baseline) {
			return fmt.Errorf("load %q: net payoff is %.3f, below that of policy %s, %.3f",
				pattern, own.NetPayoff, replay.Policies[i+1].Name, baseline.NetPayoff)
		}
	}
	if own.OverBudget > 0 {
		return fmt.Errorf("load %q: %d retries beyond the retry budget", pattern, own.OverBudget)
	}
	return nil
}
