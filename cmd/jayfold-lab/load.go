package main

import (
	"fmt"
	"os"
	"strings"
	"time"

	"jayfold.dev/jayfold/internal/lab/load"
)

// loadCommand sends requests at a fixed rate and checks the responses. It fails if a guarantee is violated.
type loadCommand struct {
	URLs       []string      `arg:"" name:"url" help:"Caller addresses of nodes, such as http://127.0.0.1:8080."`
	Rate       float64       `default:"100" help:"Requests per second."`
	Duration   time.Duration `default:"10s" help:"Time during which requests are sent."`
	Orders     float64       `default:"0.1" help:"Share of orders among the requests."`
	LookupPath string        `default:"/catalogue" help:"Path below which lookups are sent."`
	OrderPath  string        `default:"/orders" help:"Path of orders."`
	Timeout    time.Duration `default:"30s" help:"Time that a caller waits for a response."`
	Size       int           `default:"0" help:"Bytes of padding in each response."`
	Keys       bool          `help:"Give each order an idempotency key."`
	Ledger     []string      `help:"Ledgers of the targets: URLs of targets or files."`
}

// Run sends the requests and prints the report.
func (c *loadCommand) Run() error {
	ctx, cancel := signalContext()
	defer cancel()
	report, err := load.New(load.Settings{
		URLs:            c.URLs,
		Rate:            c.Rate,
		Duration:        c.Duration,
		OrderShare:      c.Orders,
		LookupPath:      c.LookupPath,
		OrderPath:       c.OrderPath,
		Timeout:         c.Timeout,
		PaddingBytes:    c.Size,
		IdempotencyKeys: c.Keys,
		Ledgers:         c.Ledger,
	}, load.NewSeams()).Run(ctx)
	if err != nil {
		return err
	}
	report.Write(os.Stdout)
	if violations := report.Violations(); len(violations) > 0 {
		return fmt.Errorf("guarantees violated: %s", strings.Join(violations, "; "))
	}
	return nil
}
