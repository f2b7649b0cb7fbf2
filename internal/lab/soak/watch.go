package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"time"

	"jayfold.dev/jayfold/internal/lab/load"
)

const (
	// lookInterval is the time between two looks at the revision of a node.
	lookInterval = 250 * time.Millisecond
	// callerTimeout is above the deadlines of the routes.
	callerTimeout = 20 * time.Second
	// ratePerNode is in requests per second; a target takes 100, so that the fleet is not full while half of it is away.
	ratePerNode = 25.0
	orderShare  = 0.5
	// recoveredShare is the part of the lookups that must be whole once all faults are over.
	recoveredShare = 0.95
)

// watch looks at the revisions of the nodes until ctx ends, and gives what they break.
func (s *site) watch(ctx context.Context) <-chan []string {
	seen := make(chan []string, 1)
	go func() {
		c := checker{plan: NewPlan(s.settings.Seed, s.settings.Length, s.settings.Nodes), highest: map[incarnation]uint64{}}
		var broken []string
		for ctx.Err() == nil {
			for len(s.changes) > 0 {
				c = c.With(<-s.changes)
			}
			for _, n := range s.nodes {
				var more []string
				if found, ok := s.look(ctx, n); ok {
					c, more = c.WithObservation(found, s.begun)
				}
				broken = append(broken, more...)
			}
			wait(ctx, lookInterval)
		}
		seen <- broken
	}()
	return seen
}

// look asks a node for its revision. A node that ends or starts meanwhile tells nothing.
func (s *site) look(ctx context.Context, n *node) (observation, bool) {
	start, running := n.process.starts()
	if !running {
		return observation{}, false
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.addresses["Operators"]+"/status", nil)
	if err != nil {
		return observation{}, false
	}
	response, err := s.http.Do(request)
	if err != nil {
		return observation{}, false
	}
	defer func() { _ = response.Body.Close() }()
	var status struct{ Revision uint64 }
	err = json.NewDecoder(response.Body).Decode(&status)
	after, _ := n.process.starts()
	at := time.Since(s.begun)
	return observation{of: incarnation{node: n.number, start: start}, revision: status.Revision, at: at}, err == nil && after == start
}

// sent is what one generator saw.
type sent struct {
	node   int
	report load.Report
	err    error
}

// traffic sends requests to each node, by a generator of its own.
func (s *site) traffic(ctx context.Context, length time.Duration) <-chan sent {
	results := make(chan sent)
	done := make(chan struct{}, len(s.nodes))
	for _, n := range s.nodes {
		go func() {
			report, err := s.generator(n, ratePerNode, length, orderShare).Run(ctx)
			results <- sent{node: n.number, report: report, err: err}
			done <- struct{}{}
		}()
	}
	go func() {
		for range s.nodes {
			<-done
		}
		close(results)
	}()
	return results
}

func (s *site) generator(n *node, rate float64, length time.Duration, orders float64) *load.Generator {
	var ledgers []string
	for _, other := range s.nodes {
		for _, t := range other.targets {
			ledgers = append(ledgers, t.ledger)
		}
	}
	return load.New(load.Settings{
		URLs: []string{"http://" + n.addresses["Callers"]}, Rate: rate, Duration: length, OrderShare: orders,
		LookupPath: "/catalogue", OrderPath: "/orders", Timeout: callerTimeout, Ledgers: ledgers,
	}, load.NewSeams())
}

// keep writes what a generator saw to the files of the run.
func (s *site) keep(seen sent) {
	file, err := os.Create(s.file(fmt.Sprintf("load%d.txt", seen.node)))
	if err != nil {
		s.report(err)
		return
	}
	seen.report.Write(file)
	s.report(file.Close())
}

// violations lists what a generator saw broken. The graceful node answers everything that it has read.
func (s sent) violations() []string {
	var broken []string
	for _, breach := range s.report.Breaches() {
		broken = append(broken, fmt.Sprintf("requests to node %d: %s", s.node, breach))
	}
	if s.node != gracefulNode {
		return broken
	}
	if cut := s.report.Orders.Unanswered; cut > 0 {
		broken = append(broken, fmt.Sprintf("node %d: %d orders were started and not answered, though it was only stopped as planned", s.node, cut))
	}
	for _, row := range s.report.Rows {
		if row.Fault == "truncated" {
			broken = append(broken, fmt.Sprintf("node %d: %d %ss were answered in part", s.node, row.Count, row.Class))
		}
	}
	return broken
}

// recovered checks that every node serves again.
func (s *site) recovered(ctx context.Context) []string {
	var broken []string
	for _, n := range s.nodes {
		report, err := s.generator(n, ratePerNode, 2*time.Second, 0).Run(ctx)
		if err != nil {
			return append(broken, err.Error())
		}
		if whole, asked := report.Succeeded["lookup"], report.Sent["lookup"]; float64(whole) < recoveredShare*float64(asked) {
			broken = append(broken, fmt.Sprintf("node %d: %d of %d lookups were served after the last fault", n.number, whole, asked))
		}
	}
	return broken
}
