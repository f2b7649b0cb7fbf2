package main

import (
	"fmt"
	"os"

	"jayfold.dev/jayfold/internal/lab/experiment"
)

// experimentCommand runs one experiment.
type experimentCommand struct {
	Name  string `arg:"" help:"detection, overload, tables or traffic-after-fault."`
	Seed  uint64 `default:"1" help:"Seed of the random numbers."`
	Short bool   `help:"Run the short form."`
}

// Run implements the command.
func (c *experimentCommand) Run() error {
	e, ok := experiment.Find(c.Name)
	if !ok {
		return fmt.Errorf("no experiment is called %q", c.Name)
	}
	return e.Run(os.Stdout, experiment.Options{Seed: c.Seed, Short: c.Short})
}
