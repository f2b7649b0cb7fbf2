package experiment

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"jayfold.dev/jayfold/internal/lab/replay"
)

// Placement simulates loads with uneven costs, targets and zones under both ways of choosing targets and under the baselines.
func Placement(w io.Writer, o Options) error {
	seeds := make([]uint64, loadSeeds)
	if o.Short {
		seeds = seeds[:loadSeedsShort]
	}
	for i := range seeds {
		seeds[i] = o.Seed + uint64(i)
	}
	fmt.Fprintf(w, "placement, seeds %d to %d\n\n", seeds[0], seeds[len(seeds)-1])
	patterns, policies := replay.PlacementPatterns, replay.PlacementPolicies
	results := parallel(len(patterns)*len(policies), func(i int) replay.Result {
		return replay.Mean(patterns[i/len(policies)], policies[i%len(policies)], seeds)
	})
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "load\tpolicy\tnet payoff\tmean\tp99\tp99 wait\tin goal\tlate\trefused\tfailed\tcrossings\tthereof refused\tretries\t")
	for i, r := range results {
		fmt.Fprintf(table, "%s\t%s\t%.3f\t%v\t%v\t%v\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t\n",
			patterns[i/len(policies)].Name, policies[i%len(policies)].Name, r.NetPayoff, r.MeanLatency.Round(time.Millisecond),
			r.P99.Round(time.Millisecond), r.P99Wait.Round(time.Millisecond), r.WithinGoal, r.Late, r.Refused, r.Failed,
			r.Crossings, r.CrossingsRefused, r.Retries)
	}
	return table.Flush()
}
