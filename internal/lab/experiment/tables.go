package experiment

import (
	"context"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/apex/log/handlers/discard"

	"jayfold.dev/jayfold/internal/core/fleet"
	"jayfold.dev/jayfold/internal/lab/platform"
	"jayfold.dev/jayfold/internal/lab/testbed"
)

const (
	tablesNodes = 24
	// inForceGoal is the longest time until an accepted revision is in force on every node.
	inForceGoal        = 6 * time.Second
	tablesPollInterval = 20 * time.Millisecond
)

// tablesCase is a set of faults that the platform has while the tables change.
type tablesCase struct {
	name   string
	faults platform.Faults
}

var tablesCases = []tablesCase{
	{"well", platform.Faults{}},
	{"slow by 500 ms", platform.Faults{Delay: 500 * time.Millisecond}},
	{"a response lost per change", platform.Faults{LoseResponses: 1}},
}

// Tables measures the time until an accepted revision is in force on every node, and the rate of calls that idle nodes make to
// the platform.
func Tables(w io.Writer, o Options) error {
	changes := 15
	if o.Short {
		changes = 3
	}
	bed, err := testbed.New(testbed.Settings{
		Nodes:             tablesNodes,
		AvailabilityZones: []fleet.AvailabilityZone{"a", "b", "c"},
		Tables:            singlePoolTables(time.Hour, 1),
		Log:               discard.New(),
	})
	if err != nil {
		return err
	}
	defer bed.Stop()
	fmt.Fprintf(w, "tables, seed %d, %d nodes, %d changes per case\n\n", o.Seed, tablesNodes, changes)
	revision := fleet.Revision(1)
	worst := time.Duration(0)
	for _, c := range tablesCases {
		durations, err := applyRevisions(bed, c, changes, &revision)
		if err != nil {
			return err
		}
		slices.Sort(durations)
		worst = max(worst, durations[len(durations)-1])
		fmt.Fprintf(w, "platform %s: in force everywhere after p50 %v, max %v\n", c.name,
			durations[len(durations)/2].Round(time.Millisecond), durations[len(durations)-1].Round(time.Millisecond))
	}
	before := bed.Platform.Counters()
	time.Sleep(10 * time.Second)
	after := bed.Platform.Counters()
	fmt.Fprintf(w, "\nidle: %.2f reads and %.2f writes per node and minute, watches included\n",
		perNodeMinute(after.Reads-before.Reads), perNodeMinute(after.Writes-before.Writes))
	if worst > inForceGoal {
		return fmt.Errorf("tables: a change took %v until it was in force everywhere, goal at most %v", worst, inForceGoal)
	}
	return nil
}

// perNodeMinute converts the number of calls by all nodes in 10 s to calls per node and minute.
func perNodeMinute(calls int) float64 { return float64(calls) * 6 / tablesNodes }

// applyRevisions applies revisions one after the other and returns the time until each was in force on every node. revision is
// the last applied revision, which it advances.
func applyRevisions(
	bed *testbed.Testbed, c tablesCase, changes int, revision *fleet.Revision,
) ([]time.Duration, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	defer bed.Platform.SetFaults(platform.Faults{})
	durations := make([]time.Duration, 0, changes)
	for range changes {
		bed.Platform.SetFaults(c.faults)
		if err := bed.Apply(ctx, singlePoolTables(time.Hour, 1+int(*revision)%5), *revision); err != nil {
			return nil, err
		}
		accepted := time.Now()
		*revision++
		if err := waitRevision(ctx, bed, *revision); err != nil {
			return nil, err
		}
		durations = append(durations, time.Since(accepted))
	}
	return durations, nil
}

// waitRevision waits until a revision is in force on every node.
func waitRevision(ctx context.Context, bed *testbed.Testbed, want fleet.Revision) error {
	ticker := time.NewTicker(tablesPollInterval)
	defer ticker.Stop()
	timeout := time.After(10 * inForceGoal)
	for {
		if slices.Min(bed.Revisions(ctx)) >= want {
			return nil
		}
		select {
		case <-ticker.C:
		case <-timeout:
			return fmt.Errorf("tables: revision %d is not in force everywhere after %v", want, 10*inForceGoal)
		}
	}
}
