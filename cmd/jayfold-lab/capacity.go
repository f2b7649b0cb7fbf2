package main

import (
	"os"

	"jayfold.dev/jayfold/internal/lab/capacity"
)

// capacityCommand measures what docs/CAPACITY.md is made with.
type capacityCommand struct {
	Whole   bool   `help:"Measure a whole process in a fleet of the design size instead of the slopes."`
	Rate    int    `default:"111" help:"Requests per second of each role for --whole."`
	Cores   int    `help:"Cores that the process may use for --whole; left out, all."`
	Jayfold string `help:"The program jayfold for --whole; left out, it is built."`
}

// Run implements the command.
func (c *capacityCommand) Run() error {
	ctx, cancel := signalContext()
	defer cancel()
	if c.Whole {
		program, err := jayfoldProgram(c.Jayfold)
		if err != nil {
			return err
		}
		options := capacity.DefaultProcessOptions(program)
		options.Rate, options.Cores = c.Rate, c.Cores
		return capacity.RunProcess(ctx, os.Stdout, options)
	}
	return capacity.Run(ctx, os.Stdout, capacity.DefaultOptions())
}
