package main

import (
	"net"
	"time"

	"jayfold.dev/jayfold/internal/lab/target"
)

// targetCommand runs a stand-in target.
type targetCommand struct {
	Listen      string        `default:"127.0.0.1:0" help:"Address to listen on."`
	Node        string        `required:"" help:"Address for announcements of the node on this host."`
	Name        string        `required:"" help:"Name of the target on its host."`
	Pool        string        `required:"" help:"Pool that the target joins."`
	Slots       int           `default:"4" help:"Requests that run at once."`
	Connections int           `default:"300" help:"Connections that the target takes."`
	ServiceTime time.Duration `default:"5ms" help:"Time that a request runs."`
	ColdStart   time.Duration `default:"0s" help:"Time after the start in which requests run slower."`
}

// Run implements the command.
func (c *targetCommand) Run() error {
	ctx, cancel := untilStopped()
	defer cancel()
	listener, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return err
	}
	settings := target.Settings{
		Name:        c.Name,
		Pool:        c.Pool,
		Node:        c.Node,
		Slots:       c.Slots,
		Connections: c.Connections,
		ServiceTime: c.ServiceTime,
		ColdStart:   c.ColdStart,
	}
	return target.New(settings, listener, target.NewSeams()).Run(ctx)
}
