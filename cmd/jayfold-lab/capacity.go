package main

import (
	"os"

	"jayfold.dev/jayfold/internal/lab/capacity"
)

// capacityCommand measures what docs/CAPACITY.md is made with.
type capacityCommand struct {
	Whole   bool   `help:"Measure a whole process in a fleet of the design size instead of the slopes."`
	Jayfold string `help:"The program jayfold for --whole; left out, it is built."`
}

// Run implements the command.
func (c *capacityCommand) Run() error {
	ctx, cancel := untilStopped()
	defer cancel()
	if c.Whole {
		program, err := jayfold(c.Jayfold)
		if err != nil {
			return err
		}
		return capacity.RunWhole(ctx, os.Stdout, capacity.DefaultWholeOptions(program))
	}
	return capacity.Run(ctx, os.Stdout, capacity.DefaultOptions())
}
