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
	// inForceGoal is the time within which an accepted revision is in force on every node.
	inForceGoal = 6 * time.Second
	tablesPoll  = 20 * time.Millisecond
)

// tablesCase is one state of the platform during changes.
type tablesCase struct {
	name   string
	faults platform.Faults
}

var tablesCases = []tablesCase{
	{"well", platform.Faults{}},
	{"slow by 500 ms", platform.Faults{Delay: 500 * time.Millisecond}},
	{"a response lost per change", platform.Faults{LoseResponses: 1}},
}

// Tables measures how long an accepted revision takes to be in force on every node, and what that costs the platform.
func Tables(w io.Writer, o Options) error {
	changes := 15
	if o.Short {
		changes = 3
	}
	bed, err := testbed.New(testbed.Settings{
		Nodes:             tablesNodes,
		AvailabilityZones: []fleet.AvailabilityZone{"a", "b", "c"},
		Tables:            oneService(time.Hour, 1),
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
		taken, err := applyRevisions(bed, c, changes, &revision)
		if err != nil {
			return err
		}
		slices.Sort(taken)
		worst = max(worst, taken[len(taken)-1])
		fmt.Fprintf(w, "platform %s: in force everywhere after p50 %v, max %v\n", c.name,
			taken[len(taken)/2].Round(time.Millisecond), taken[len(taken)-1].Round(time.Millisecond))
	}
	before := bed.Platform.Counters()
	time.Sleep(10 * time.Second)
	after := bed.Platform.Counters()
	fmt.Fprintf(w, "\nidle: %.2f reads and %.2f writes per node and minute, watches included\n",
		perNodeMinute(after.Reads-before.Reads), perNodeMinute(after.Writes-before.Writes))
	if worst > inForceGoal {
		return fmt.Errorf("tables: a change took %v, goal at most %v", worst, inForceGoal)
	}
	return nil
}

// perNodeMinute converts the calls of all nodes in 10 s.
func perNodeMinute(calls int) float64 { return float64(calls) * 6 / tablesNodes }

// applyRevisions applies revisions one after the other and returns how long each took to be in force everywhere.
func applyRevisions(
	bed *testbed.Testbed, c tablesCase, changes int, revision *fleet.Revision,
) ([]time.Duration, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	defer bed.Platform.SetFaults(platform.Faults{})
	taken := make([]time.Duration, 0, changes)
	for range changes {
		bed.Platform.SetFaults(c.faults)
		if err := bed.Apply(ctx, oneService(time.Hour, 1+int(*revision)%5), *revision); err != nil {
			return nil, err
		}
		accepted := time.Now()
		*revision++
		if err := waitRevision(ctx, bed, *revision); err != nil {
			return nil, err
		}
		taken = append(taken, time.Since(accepted))
	}
	return taken, nil
}

// waitRevision waits until a revision is in force on every node.
func waitRevision(ctx context.Context, bed *testbed.Testbed, want fleet.Revision) error {
	ticker := time.NewTicker(tablesPoll)
	defer ticker.Stop()
	limit := time.After(10 * inForceGoal)
	for {
		if slices.Min(bed.Revisions(ctx)) >= want {
			return nil
		}
		select {
		case <-ticker.C:
		case <-limit:
			return fmt.Errorf("tables: revision %d is not in force everywhere after %v", want, 10*inForceGoal)
		}
	}
}
