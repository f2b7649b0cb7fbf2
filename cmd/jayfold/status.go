package main

import (
	"context"
	"os"
	"time"

	"jayfold.dev/jayfold/internal/edge/operator"
)

// statusTimeout bounds the wait for a node's answer.
const statusTimeout = 5 * time.Second

// statusCommand shows a node's status.
type statusCommand struct {
	Node string `default:"127.0.0.1:8084" help:"The node's address for operators."`
	JSON bool   `name:"json" help:"Print JSON for programs."`
}

// Run implements the command.
func (c *statusCommand) Run() error {
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	return operator.PrintStatus(ctx, os.Stdout, c.Node, c.JSON)
}
