package load

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// maxInFlight bounds the requests in flight. A request that is due while the bound is reached is counted as not sent.
const maxInFlight = 4096

// Generator sends requests at a fixed rate.
type Generator struct {
	settings Settings
	seams    Seams
	// runID is the random prefix of all tokens. It makes the tokens of different load runs distinct.
	runID string
}

// New returns a generator. It is inactive until Run is called.
func New(settings Settings, seams Seams) *Generator {
	return &Generator{settings: settings, seams: seams, runID: fmt.Sprintf("%08x", uint32(seams.Random()))}
}

// Run sends requests until the duration is over or ctx ends, waits for the responses and compares the orders with the ledgers.
func (g *Generator) Run(ctx context.Context) (Report, error) {
	if err := g.settings.validate(); err != nil {
		return Report{}, err
	}
	results := make(chan result, maxInFlight)
	collected := make(chan Report, 1)
	go func() { collected <- collect(results) }()
	g.sendAll(ctx, results)
	close(results)
	report := <-collected
	report.Rate, report.Duration = g.settings.Rate, g.settings.Duration
	if len(g.settings.Ledgers) > 0 {
		report.Orders = g.compareWithLedgers(ctx, report.verdicts)
	}
	return report, nil
}

// sendAll sends each request when it is due and returns when all of them have finished.
func (g *Generator) sendAll(ctx context.Context, results chan<- result) {
	start := g.seams.Now()
	timer := time.NewTimer(0)
	defer timer.Stop()
	inFlight := make(chan struct{}, maxInFlight)
	var running sync.WaitGroup
	defer running.Wait()
	for n := 0; ; n++ {
		offset := time.Duration(float64(n) / g.settings.Rate * float64(time.Second))
		if offset >= g.settings.Duration {
			return
		}
		timer.Reset(start.Add(offset).Sub(g.seams.Now()))
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		request := g.scheduledRequest(n, start.Add(offset))
		select {
		case inFlight <- struct{}{}:
			running.Go(func() {
				results <- request.send(ctx, g.seams)
				<-inFlight
			})
		default:
			results <- result{request: request, fault: notSent}
		}
	}
}

// scheduledRequest returns the nth request, counted from 0.
func (g *Generator) scheduledRequest(n int, due time.Time) scheduledRequest {
	s := g.settings
	request := scheduledRequest{
		token:              fmt.Sprintf("%s-%d", g.runID, n),
		due:                due,
		timeout:            s.Timeout,
		url:                s.URLs[n%len(s.URLs)],
		paddingBytes:       s.PaddingBytes,
		withIdempotencyKey: s.IdempotencyKeys,
		path:               fmt.Sprintf("%s/%d", s.LookupPath, n%distinctLookups),
	}
	if float64(g.seams.Random()>>11)/(1<<53) < s.OrderShare {
		request.isOrder = true
		request.path = s.OrderPath
	}
	return request
}

// distinctLookups is the number of distinct lookup paths.
const distinctLookups = 100
