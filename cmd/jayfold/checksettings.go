package main

import (
	"errors"
	"fmt"
	"os"

	"jayfold.dev/jayfold/internal/process/settings"
)

// checkSettingsCommand checks settings files as a node does when it starts.
type checkSettingsCommand struct {
	Files []string `arg:"" type:"path" help:"Settings files."`
}

// Run checks every file and returns the problems of all of them.
func (c *checkSettingsCommand) Run() error {
	var problems []error
	for _, file := range c.Files {
		if _, err := settings.Load(file); err != nil {
			problems = append(problems, err)
			continue
		}
		fmt.Fprintln(os.Stdout, file+": no problems")
	}
	return errors.Join(problems...)
}
