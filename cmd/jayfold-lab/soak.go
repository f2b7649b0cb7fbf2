package main

import (
	"fmt"
	"io"
	"os"
	"time"

	"jayfold.dev/jayfold/internal/lab/soak"
)

// soakCommand runs the soak test for one seed after another.
type soakCommand struct {
	Seed    uint64  `default:"1" help:"Seed of the first run."`
	Seeds   int     `default:"1" help:"Number of runs, each with the next seed."`
	Minutes float64 `default:"1" help:"Duration of the fault phase of a run, in minutes."`
	Nodes   int     `default:"4" help:"Number of nodes, each with two targets."`
	Jayfold string  `help:"Path of the program jayfold; built by default."`
	Quiet   bool    `help:"Do not print the faults."`
}

// Run runs the soak test and prints a report for each seed. It returns an error if a guarantee was violated.
func (c *soakCommand) Run() error {
	lab, err := os.Executable()
	if err != nil {
		return err
	}
	program, err := jayfoldProgram(c.Jayfold)
	if err != nil {
		return err
	}
	ctx, cancel := signalContext()
	defer cancel()
	failed := 0
	for i := range c.Seeds {
		dir, err := os.MkdirTemp("", "jayfold-soak")
		if err != nil {
			return err
		}
		s := soak.Settings{
			Seed: c.Seed + uint64(i), Duration: time.Duration(c.Minutes * float64(time.Minute)),
			Jayfold: program, Lab: lab, Dir: dir, Nodes: c.Nodes, Out: os.Stdout,
		}
		if c.Quiet {
			s.Out = io.Discard
		}
		report, err := soak.Run(ctx, s)
		if err != nil {
			return err
		}
		report.Write(os.Stdout)
		if len(report.Violations) > 0 {
			failed++
		}
	}
	if failed > 0 {
		return fmt.Errorf("guarantees were violated with %d of %d seeds", failed, c.Seeds)
	}
	return nil
}
