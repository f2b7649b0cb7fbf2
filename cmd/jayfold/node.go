package main

import (
	"os"

	"github.com/apex/log/handlers/json"

	"jayfold.dev/jayfold/internal/process/node"
	"jayfold.dev/jayfold/internal/process/settings"
)

// nodeCommand runs a node until SIGTERM or SIGINT. The log is written to standard output, one JSON object per line.
type nodeCommand struct {
	Settings string `required:"" type:"path" help:"Settings file."`
}

// Run runs the node.
func (c *nodeCommand) Run() error {
	return node.Run(c.Settings, func(s settings.Settings) node.Seams {
		return node.NewSeams(s, json.New(os.Stdout))
	})
}
