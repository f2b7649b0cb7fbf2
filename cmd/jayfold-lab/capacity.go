package main

import (
	"os"

	"jayfold.dev/jayfold/internal/lab/capacity"
)

// capacityCommand takes the measurements of docs/CAPACITY.md.
type capacityCommand struct {
	Whole   bool   `help:"Measure a node process in a fleet of the design size, instead of the costs by fleet size."`
	Rate    int    `default:"111" help:"Requests per second in each of the two roles of the node, for --whole."`
	Cores   int    `help:"Cores that the process may use, for --whole; all by default."`
	Jayfold string `help:"Path of the program jayfold, for --whole; built by default."`
}

// Run takes the measurements and prints them.
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
