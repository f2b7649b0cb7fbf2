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
	// observeInterval is the interval at which the revisions of the nodes are read.
	observeInterval = 250 * time.Millisecond
	// callerTimeout exceeds the deadlines of the routes.
	callerTimeout = 20 * time.Second
	// ratePerNode is in requests per second. A target serves 100 per second, so that half of the fleet can carry the load.
	ratePerNode = 25.0
	orderShare  = 0.5
	// minRecoveredShare is the share of lookups that must succeed after the last fault.
	minRecoveredShare = 0.95
)

// watch reads the revisions of the nodes until ctx ends, and then sends the violated guarantees.
func (s *site) watch(ctx context.Context) <-chan []string {
	result := make(chan []string, 1)
	go func() {
		c := checker{plan: NewPlan(s.settings.Seed, s.settings.Duration, s.settings.Nodes), highest: map[incarnation]uint64{}}
		var violations []string
		for ctx.Err() == nil {
			for len(s.acceptedRevisions) > 0 {
				c = c.WithAcceptedRevision(<-s.acceptedRevisions)
			}
			for _, n := range s.nodes {
				var more []string
				if observed, ok := s.observe(ctx, n); ok {
					c, more = c.WithObservation(observed, s.planStart)
				}
				violations = append(violations, more...)
			}
			sleep(ctx, observeInterval)
		}
		result <- violations
	}()
	return result
}

// observe reads the revision of a node. It returns false if the node is not running, does not respond or restarts meanwhile.
func (s *site) observe(ctx context.Context, n *node) (observation, bool) {
	start, running := n.process.runState()
	if !running {
		return observation{}, false
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.addresses["Operators"]+"/status", nil)
	if err != nil {
		return observation{}, false
	}
	response, err := s.client.Do(request)
	if err != nil {
		return observation{}, false
	}
	defer func() { _ = response.Body.Close() }()
	var status struct{ Revision uint64 }
	err = json.NewDecoder(response.Body).Decode(&status)
	after, _ := n.process.runState()
	at := time.Since(s.planStart)
	observed := incarnation{node: n.number, start: start}
	return observation{incarnation: observed, revision: status.Revision, at: at}, err == nil && after == start
}

// loadResult is the result of the load generator of one node.
type loadResult struct {
	node   int
	report load.Report
	err    error
}

// startTraffic starts a load generator for each node and returns the channel of their results.
func (s *site) startTraffic(ctx context.Context, duration time.Duration) <-chan loadResult {
	results := make(chan loadResult)
	done := make(chan struct{}, len(s.nodes))
	for _, n := range s.nodes {
		go func() {
			report, err := s.newGenerator(n, ratePerNode, duration, orderShare).Run(ctx)
			results <- loadResult{node: n.number, report: report, err: err}
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

func (s *site) newGenerator(n *node, rate float64, duration time.Duration, orderShare float64) *load.Generator {
	var ledgers []string
	for _, other := range s.nodes {
		for _, t := range other.targets {
			ledgers = append(ledgers, t.ledger)
		}
	}
	return load.New(load.Settings{
		URLs: []string{"http://" + n.addresses["Callers"]}, Rate: rate, Duration: duration, OrderShare: orderShare,
		LookupPath: "/catalogue", OrderPath: "/orders", Timeout: callerTimeout, Ledgers: ledgers,
	}, load.NewSeams())
}

// saveReport writes the report of a load generator to the directory of the run.
func (s *site) saveReport(result loadResult) {
	file, err := os.Create(s.file(fmt.Sprintf("load%d.txt", result.node)))
	if err != nil {
		s.logError(err)
		return
	}
	result.report.Write(file)
	s.logError(file.Close())
}

// violations describes the violated guarantees. The graceful node must respond completely to every request that it has read.
func (r loadResult) violations() []string {
	var violations []string
	for _, violation := range r.report.Violations() {
		violations = append(violations, fmt.Sprintf("requests to node %d: %s", r.node, violation))
	}
	if r.node != gracefulNode {
		return violations
	}
	if unanswered := r.report.Orders.Unanswered; unanswered > 0 {
		violations = append(violations, fmt.Sprintf(
			"node %d: %d orders were started without a response, although the node was only stopped gracefully", r.node, unanswered))
	}
	for _, row := range r.report.Rows {
		if row.Fault == "truncated" {
			violations = append(violations, fmt.Sprintf("node %d: %d %ss had a truncated response", r.node, row.Count, row.Class))
		}
	}
	return violations
}

// checkRecovery checks that every node serves requests again after the last fault.
func (s *site) checkRecovery(ctx context.Context) []string {
	var violations []string
	for _, n := range s.nodes {
		report, err := s.newGenerator(n, ratePerNode, 2*time.Second, 0).Run(ctx)
		if err != nil {
			return append(violations, err.Error())
		}
		succeeded, sent := report.Succeeded["lookup"], report.Sent["lookup"]
		if float64(succeeded) < minRecoveredShare*float64(sent) {
			violations = append(violations, fmt.Sprintf(
				"node %d: only %d of %d lookups succeeded after the last fault", n.number, succeeded, sent))
		}
	}
	return violations
}
