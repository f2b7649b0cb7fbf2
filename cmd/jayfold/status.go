package main

import (
	"context"
	"os"
	"time"

	"jayfold.dev/jayfold/internal/edge/operator"
)

// statusTimeout limits the wait for a node's response.
const statusTimeout = 5 * time.Second

// statusCommand prints the status of a node.
type statusCommand struct {
	Node string `default:"127.0.0.1:8084" help:"Operators address of the node."`
	JSON bool   `name:"json" help:"Print JSON."`
}

// Run prints the status.
func (c *statusCommand) Run() error {
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	return operator.PrintStatus(ctx, os.Stdout, c.Node, c.JSON)
}
