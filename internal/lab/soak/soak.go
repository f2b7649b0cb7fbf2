// Package soak runs the real programs as separate processes on one machine, injects random faults from outside of them, and
// checks the promises of the pages while it runs.
//
// # Usage
//
//	report, err := soak.Run(ctx, soak.Settings{Seed: 7, Length: time.Minute, Jayfold: "jayfold", Lab: "jayfold-lab"})
//	report.Write(os.Stdout)
//	if len(report.Violations) > 0 { ... }
//
// The plan of faults is drawn from the seed alone. Faults come in series and overlap: processes are killed, stopped, paused
// and get signals, links between them are delayed, reset, cut one way or silenced, the platform is down, slow, or loses
// answers, targets fail and slow down, tables change. Callers keep using open connections until a process is gone.
//
// What callers and targets see is checked: each answer belongs to its request and is whole, no order runs twice, none that
// its caller was told did not run, none is cut off by a node that is stopped gracefully; tables are in force within their
// bound on nodes that no fault touches, and never go back; no process ends by itself; and the fleet serves again at the end.
// Steps of the clock are not injected: they need the rights to set it.
package soak

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"
)

// Settings say what is run.
type Settings struct {
	Seed   uint64
	Length time.Duration
	// Jayfold and Lab are the programs.
	Jayfold, Lab string
	// Dir holds the files of the run: settings, tables, logs and ledgers. They are kept when a promise was broken.
	Dir string
	// Nodes is the number of nodes; each has two targets.
	Nodes int
	// Out gets a line for each fault.
	Out io.Writer
}

// Report is what a run showed.
type Report struct {
	Settings Settings
	Faults   int
	// Sent and Succeeded count the requests and the whole answers.
	Sent, Succeeded int
	Violations      []string
}

// Write prints the report.
func (r Report) Write(w io.Writer) {
	fmt.Fprintf(w, "soak: seed %d, %s, %d nodes, %d faults, %d requests, %d whole answers\n",
		r.Settings.Seed, r.Settings.Length, r.Settings.Nodes, r.Faults, r.Sent, r.Succeeded)
	for _, v := range r.Violations {
		fmt.Fprintln(w, "VIOLATION:", v)
	}
	if len(r.Violations) > 0 {
		fmt.Fprintln(w, "files are in", r.Settings.Dir)
	}
}

const (
	// calm is the time without faults at the end, in which the fleet has to serve again: dead targets are gone after
	// three heartbeats, and a node that was paused has caught up by then.
	calm = 10 * time.Second
	// settle is the time before the first fault.
	settle = 2 * time.Second
)

// Run runs one soak.
func Run(ctx context.Context, s Settings) (Report, error) {
	report := Report{Settings: s}
	site := newSite(s)
	defer site.stop()
	if err := site.start(ctx); err != nil {
		return report, err
	}
	plan := NewPlan(s.Seed, s.Length, s.Nodes)
	report.Faults = len(plan)
	traffic := site.traffic(ctx, settle+s.Length+calm)
	watching, cancel := context.WithCancel(ctx)
	seen := site.watch(watching)
	wait(ctx, settle)
	site.carryOut(ctx, plan)
	wait(ctx, calm)
	cancel()
	report.Violations = append(report.Violations, <-seen...)
	for load := range traffic {
		if load.err != nil {
			return report, load.err
		}
		report.Sent += load.report.Sent["lookup"] + load.report.Sent["order"]
		report.Succeeded += load.report.Succeeded["lookup"] + load.report.Succeeded["order"]
		report.Violations = append(report.Violations, load.violations()...)
		site.keep(load)
	}
	report.Violations = append(report.Violations, site.recovered(ctx)...)
	report.Violations = append(report.Violations, site.unexpectedEnds()...)
	if len(report.Violations) == 0 {
		return report, os.RemoveAll(filepath.Clean(s.Dir))
	}
	return report, ctx.Err()
}

func wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
