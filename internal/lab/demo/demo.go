// Package demo runs the Sicilian site in one process, sends requests to it and prints their results.
//
// # Usage
//
//	err := demo.New(os.Stdout).Run(ctx)
//
// It starts a stand-in for the platform, three nodes and the targets of four services on loopback, and sends a light load. Every
// two seconds it prints the numbers of served and failed requests and the ejected targets.
package demo

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/apex/log/handlers/text"

	"jayfold.dev/jayfold/examples"
	"jayfold.dev/jayfold/internal/core/fleet"
	"jayfold.dev/jayfold/internal/edge/tablesfile"
	"jayfold.dev/jayfold/internal/lab/testbed"
)

// printInterval is the time between two lines of the output.
const printInterval = 2 * time.Second

// The size of the Sicilian site: each service has six targets, each with four slots and 300 connections.
const (
	targetsPerPool = 6
	slots          = 4
	connections    = 300
	serviceTime    = 10 * time.Millisecond
)

// Demo runs the demo and prints to a writer.
type Demo struct {
	out io.Writer
}

// New returns a demo that prints to out.
func New(out io.Writer) *Demo { return &Demo{out: out} }

// Run runs the demo until ctx ends.
func (d *Demo) Run(ctx context.Context) error {
	tables, err := loadTables()
	if err != nil {
		return err
	}
	bed, err := testbed.New(testbed.Settings{
		Nodes:             3,
		AvailabilityZones: []fleet.AvailabilityZone{"palermo", "catania", "siracusa"},
		Pools:             poolSettings(tables),
		Tables:            tables,
		Log:               text.New(d.out),
	})
	if err != nil {
		return err
	}
	defer bed.Stop()
	d.printInstructions(bed)
	d.sendAndPrint(ctx, bed)
	return nil
}

// loadTables returns the tables of the Sicilian example.
func loadTables() (fleet.Tables, error) {
	var files [2]tablesfile.File
	for i, name := range []string{"sicily/routes.jsonc", "sicily/pools.jsonc"} {
		content, err := examples.Files.ReadFile(name)
		if err != nil {
			return fleet.Tables{}, err
		}
		files[i] = tablesfile.File{Name: name, Content: content}
	}
	return tablesfile.Parse(files[0], files[1])
}

func poolSettings(tables fleet.Tables) []testbed.Pool {
	var pools []testbed.Pool
	for name := range tables.Pools.All() {
		pools = append(pools, testbed.Pool{
			Name:        name,
			Targets:     targetsPerPool,
			Slots:       slots,
			Connections: connections,
			ServiceTime: serviceTime,
		})
	}
	return pools
}

// printInstructions prints commands to try.
func (d *Demo) printInstructions(bed *testbed.Testbed) {
	node := bed.Nodes[0]
	failing := bed.Targets[0]
	url := "http://" + failing.Standin.Address() + "/admin/faults"
	fmt.Fprintf(d.out, `
Three nodes and %d targets are running. Try:

  curl -i %s/catalogue/nets
  curl -i -X POST -H 'Idempotency-Key: 1' -d '2 nets' %s/orders
  go run ./cmd/jayfold status --node %s

Make %s fail its requests while its health checks succeed, and repair it:

  curl -X PUT -d '{"ErrorRate": 0.5}' %s
  curl -X PUT -d '{}' %s

Make it slow instead: '{"Slowdown": 20}'. Stop with Ctrl-C.

`, len(bed.Targets), node.CallersURL(), node.CallersURL(), node.OperatorsAddress(), failing.ID, url, url)
}

// sendAndPrint sends the load and prints the counters until ctx ends.
func (d *Demo) sendAndPrint(ctx context.Context, bed *testbed.Testbed) {
	traffic := newTraffic(bed)
	stopped := traffic.start(ctx)
	ticker := time.NewTicker(printInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			<-stopped
			return
		case <-ticker.C:
			fmt.Fprintf(d.out, "%s; ejected: %s\n", traffic.summary(), ejectedTargets(ctx, bed))
		}
	}
}

func ejectedTargets(ctx context.Context, bed *testbed.Testbed) string {
	var names []string
	for _, id := range bed.Ejected(ctx) {
		names = append(names, string(id))
	}
	if len(names) == 0 {
		return "none"
	}
	return strings.Join(names, ", ")
}
