package main

import (
	"net"
	"time"

	"jayfold.dev/jayfold/internal/lab/platform"
)

// platformCommand runs a stand-in for the platform.
type platformCommand struct {
	Listen string `default:"127.0.0.1:7000" help:"Address to listen on."`
	Reads  int    `default:"2000" help:"Limit of reads per second; 0 means no limit."`
	Writes int    `default:"400" help:"Limit of writes per second; 0 means no limit."`
}

// Run serves the object API until SIGTERM or SIGINT.
func (c *platformCommand) Run() error {
	ctx, cancel := signalContext()
	defer cancel()
	listener, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return err
	}
	limits := platform.Limits{ReadsPerSecond: c.Reads, WritesPerSecond: c.Writes}
	return platform.New(limits, time.Now).Serve(ctx, listener)
}
