package main

import (
	"os"

	"jayfold.dev/jayfold/internal/lab/capacity"
)

// capacityCommand measures the slopes behind docs/CAPACITY.md.
type capacityCommand struct{}

// Run implements the command.
func (*capacityCommand) Run() error {
	ctx, cancel := untilStopped()
	defer cancel()
	return capacity.Run(ctx, os.Stdout, capacity.DefaultOptions())
}
