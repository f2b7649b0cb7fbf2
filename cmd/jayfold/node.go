package main

import (
	"os"

	"github.com/apex/log/handlers/logfmt"

	"jayfold.dev/jayfold/internal/process/node"
	"jayfold.dev/jayfold/internal/process/settings"
)

// nodeCommand runs a node until SIGTERM or SIGINT.
type nodeCommand struct {
	Settings string `required:"" type:"path" help:"Settings file."`
}

// Run implements the command.
func (c *nodeCommand) Run() error {
	s, err := settings.Load(c.Settings)
	if err != nil {
		return err
	}
	return node.Run(node.New(s, node.NewSeams(s, logfmt.New(os.Stderr))))
}
