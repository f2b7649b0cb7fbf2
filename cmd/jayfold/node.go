package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

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
	app := node.New(s, node.Seams{Log: logfmt.New(os.Stderr)})
	if err := app.Err(); err != nil {
		return err
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	start, cancel := context.WithTimeout(context.Background(), app.StartTimeout())
	defer cancel()
	if err := app.Start(start); err != nil {
		return err
	}
	<-stop
	end, cancelEnd := context.WithTimeout(context.Background(), app.StopTimeout())
	defer cancelEnd()
	return app.Stop(end)
}
