package main

import (
	"net"
	"os"
	"time"

	"jayfold.dev/jayfold/internal/lab/target"
)

// targetCommand runs a stand-in target.
type targetCommand struct {
	Listen      string        `default:"127.0.0.1:0" help:"Address to listen on."`
	Node        string        `required:"" help:"Address on which the node on this host receives heartbeats."`
	Name        string        `required:"" help:"Name of the target on its host."`
	Pool        string        `required:"" help:"Pool that the target joins."`
	Slots       int           `default:"4" help:"Number of requests that run concurrently."`
	Connections int           `default:"300" help:"Number of connections that the target accepts."`
	ServiceTime time.Duration `default:"5ms" help:"Duration of a request."`
	ColdStart   time.Duration `default:"0s" help:"Time after the start during which requests are slower."`
	Ledger      string        `type:"path" help:"File to which the token of each started request is appended."`
}

// Run serves requests until SIGTERM or SIGINT and then drains the target.
func (c *targetCommand) Run() error {
	ctx, cancel := signalContext()
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
	seams, err := c.seams()
	if err != nil {
		return err
	}
	return target.New(settings, listener, seams).Run(ctx)
}

// seams returns the seams of a stand-in that runs as a process, with the ledger file if one is set.
func (c *targetCommand) seams() (target.Seams, error) {
	seams := target.NewSeams()
	if c.Ledger == "" {
		return seams, nil
	}
	file, err := os.OpenFile(c.Ledger, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return seams, err
	}
	return seams.WithLedger(file), nil
}
