package load

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// maxOutstanding bounds the requests in flight. A request that is due beyond it is counted as not sent.
const maxOutstanding = 4096

// Generator sends requests at a fixed rate.
type Generator struct {
	settings Settings
	seams    Seams
	// run tells the tokens of different runs apart.
	run string
}

// New returns a generator. It does nothing before Run.
func New(settings Settings, seams Seams) *Generator {
	return &Generator{settings: settings, seams: seams, run: fmt.Sprintf("%08x", uint32(seams.Random()))}
}

// Run sends requests until the duration is over or ctx ends, waits for the answers and reads the ledgers.
func (g *Generator) Run(ctx context.Context) (Report, error) {
	if err := g.settings.check(); err != nil {
		return Report{}, err
	}
	results := make(chan result, maxOutstanding)
	collected := make(chan Report, 1)
	go func() { collected <- collect(results) }()
	g.sendAll(ctx, results)
	close(results)
	report := <-collected
	report.Rate, report.Duration = g.settings.Rate, g.settings.Duration
	if len(g.settings.Ledgers) > 0 {
		report.Orders = g.compare(ctx, report.orders)
	}
	return report, nil
}

// sendAll starts each request when it is due and returns when all have ended.
func (g *Generator) sendAll(ctx context.Context, results chan<- result) {
	start := g.seams.Now()
	due := time.NewTimer(0)
	defer due.Stop()
	places := make(chan struct{}, maxOutstanding)
	var wait sync.WaitGroup
	defer wait.Wait()
	for n := 0; ; n++ {
		at := time.Duration(float64(n) / g.settings.Rate * float64(time.Second))
		if at >= g.settings.Duration {
			return
		}
		due.Reset(start.Add(at).Sub(g.seams.Now()))
		select {
		case <-ctx.Done():
			return
		case <-due.C:
		}
		call := g.call(n, start.Add(at))
		select {
		case places <- struct{}{}:
			wait.Go(func() {
				results <- call.send(ctx, g.seams)
				<-places
			})
		default:
			results <- result{call: call, fault: notSent}
		}
	}
}

// call returns the nth request.
func (g *Generator) call(n int, due time.Time) call {
	s := g.settings
	c := call{
		token:   fmt.Sprintf("%s-%d", g.run, n),
		due:     due,
		timeout: s.Timeout,
		url:     s.URLs[n%len(s.URLs)],
		size:    s.PaddingBytes,
		key:     s.IdempotencyKeys,
		path:    fmt.Sprintf("%s/%d", s.LookupPath, n%lookupPaths),
	}
	if float64(g.seams.Random()>>11)/(1<<53) < s.OrderShare {
		c.order = true
		c.path = s.OrderPath
	}
	return c
}

// lookupPaths is the number of different lookups.
const lookupPaths = 100
