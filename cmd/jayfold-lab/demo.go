package main

import (
	"os"

	"jayfold.dev/jayfold/internal/lab/demo"
)

// demoCommand runs a small site in one process.
type demoCommand struct{}

// Run runs the demo until SIGTERM or SIGINT.
func (*demoCommand) Run() error {
	ctx, cancel := signalContext()
	defer cancel()
	return demo.New(os.Stdout).Run(ctx)
}
