// Package soak runs the real programs as separate processes on one machine, injects random faults from the outside, and checks
// the documented guarantees while they run.
//
// # Usage
//
//	report, err := soak.Run(ctx, soak.Settings{
//		Seed: 7, Duration: time.Minute, Jayfold: "jayfold", Lab: "jayfold-lab", Dir: dir, Nodes: 4, Out: os.Stdout,
//	})
//	report.Write(os.Stdout)
//	if len(report.Violations) > 0 { ... }
//
// The plan of faults depends only on the seed, the duration and the number of nodes. Faults come in series and overlap:
// processes are killed, stopped, paused and signaled; links between them are delayed, reset, cut one way or silenced; the
// platform is down, slow, or loses responses; targets fail and slow down; tables change. Callers reuse open connections until
// a process exits.
//
// The checks cover what callers and targets observe: each response is complete and belongs to its request; no order runs twice,
// runs despite the verdict NotRun, or is aborted by a node that is stopped gracefully; on nodes without a fault, tables are in
// force within their bound; the revision of a node never decreases; no process exits unexpectedly; and the fleet serves
// requests again at the end. Clock steps are not injected, because setting the clock requires privileges.
package soak

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"
)

// Settings configures a soak.
type Settings struct {
	Seed uint64
	// Duration is the duration of the phase in which faults are injected.
	Duration time.Duration
	// Jayfold and Lab are the paths of the programs jayfold and jayfold-lab.
	Jayfold, Lab string
	// Dir holds the files of the run: settings, tables, logs and ledgers. They are kept if a guarantee was violated.
	Dir string
	// Nodes is the number of nodes. Each has two targets.
	Nodes int
	// Out receives a line for each fault and for each error of the soak itself.
	Out io.Writer
}

// Report is the result of a run.
type Report struct {
	Settings Settings
	Faults   int
	// Sent and Succeeded count all requests and the successful ones.
	Sent, Succeeded int
	Violations      []string
}

// Write prints the report.
func (r Report) Write(w io.Writer) {
	fmt.Fprintf(w, "soak: seed %d, %s, %d nodes, %d faults, %d requests, %d successful\n",
		r.Settings.Seed, r.Settings.Duration, r.Settings.Nodes, r.Faults, r.Sent, r.Succeeded)
	for _, v := range r.Violations {
		fmt.Fprintln(w, "VIOLATION:", v)
	}
	if len(r.Violations) > 0 {
		fmt.Fprintln(w, "files are in", r.Settings.Dir)
	}
}

const (
	// recoveryTime is the time without faults at the end, in which the fleet must recover. Dead targets are removed after three
	// heartbeat intervals, and a node that was paused has caught up within this time.
	recoveryTime = 10 * time.Second
	// warmUp is the time before the first fault.
	warmUp = 2 * time.Second
)

// Run starts a fleet, injects the faults of a plan while load generators send requests, and reports the violated guarantees.
func Run(ctx context.Context, s Settings) (Report, error) {
	report := Report{Settings: s}
	site := newSite(s)
	defer site.stop()
	if err := site.start(ctx); err != nil {
		return report, err
	}
	plan := NewPlan(s.Seed, s.Duration, s.Nodes)
	report.Faults = len(plan)
	traffic := site.startTraffic(ctx, warmUp+s.Duration+recoveryTime)
	watchContext, cancel := context.WithCancel(ctx)
	revisionViolations := site.watch(watchContext)
	sleep(ctx, warmUp)
	site.runPlan(ctx, plan)
	sleep(ctx, recoveryTime)
	cancel()
	report.Violations = append(report.Violations, <-revisionViolations...)
	for result := range traffic {
		if result.err != nil {
			return report, result.err
		}
		report.Sent += result.report.Sent["lookup"] + result.report.Sent["order"]
		report.Succeeded += result.report.Succeeded["lookup"] + result.report.Succeeded["order"]
		report.Violations = append(report.Violations, result.violations()...)
		site.saveReport(result)
	}
	report.Violations = append(report.Violations, site.checkRecovery(ctx)...)
	report.Violations = append(report.Violations, site.unexpectedExits()...)
	if len(report.Violations) == 0 {
		return report, os.RemoveAll(filepath.Clean(s.Dir))
	}
	return report, ctx.Err()
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
