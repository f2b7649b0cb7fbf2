package main

import (
	"fmt"
	"os"
	"strings"

	"jayfold.dev/jayfold/internal/lab/experiment"
)

// experimentCommand runs one experiment.
type experimentCommand struct {
	Name  string `arg:"" help:"Name of the experiment; an unknown name lists them."`
	Seed  uint64 `default:"1" help:"Seed of the random numbers."`
	Short bool   `help:"Run the short form."`
}

// Run runs the experiment. If there is none with the name, the error lists the experiments.
func (c *experimentCommand) Run() error {
	e, ok := experiment.Find(c.Name)
	if !ok {
		return fmt.Errorf("no experiment is called %q; want %s", c.Name, experimentNames())
	}
	return e.Run(os.Stdout, experiment.Options{Seed: c.Seed, Short: c.Short})
}

// experimentNames returns a list of the experiments with their descriptions.
func experimentNames() string {
	names := make([]string, 0, len(experiment.All))
	for _, e := range experiment.All {
		names = append(names, e.Name+" ("+e.Description+")")
	}
	return strings.Join(names, ", ")
}
