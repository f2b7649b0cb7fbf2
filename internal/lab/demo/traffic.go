package demo

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"jayfold.dev/jayfold/internal/lab/testbed"
)

// requestStream is one kind of request, sent at a fixed rate.
type requestStream struct {
	name     string
	method   string
	path     string
	interval time.Duration
	served   atomic.Int64
	failed   atomic.Int64
}

// traffic is the load of the demo.
type traffic struct {
	urls    []string
	client  *http.Client
	streams []*requestStream
}

func newTraffic(bed *testbed.Testbed) *traffic {
	t := &traffic{
		client: &http.Client{Timeout: 30 * time.Second},
		streams: []*requestStream{
			{name: "catalogue", method: http.MethodGet, path: "/catalogue/nets", interval: 10 * time.Millisecond},
			{name: "tracking", method: http.MethodGet, path: "/tracking/4711", interval: 20 * time.Millisecond},
			{name: "delivery", method: http.MethodGet, path: "/delivery/slots", interval: 50 * time.Millisecond},
			{name: "ordering", method: http.MethodPost, path: "/orders", interval: 100 * time.Millisecond},
		},
	}
	for _, n := range bed.Nodes {
		t.urls = append(t.urls, n.CallersURL())
	}
	return t
}

// start sends requests until ctx ends. The returned channel is closed after every request has finished.
func (t *traffic) start(ctx context.Context) <-chan struct{} {
	var running sync.WaitGroup
	for _, s := range t.streams {
		running.Go(func() { t.sendStream(ctx, s) })
	}
	stopped := make(chan struct{})
	go func() {
		running.Wait()
		close(stopped)
	}()
	return stopped
}

// sendStream starts one request per interval, whether or not earlier ones have finished.
func (t *traffic) sendStream(ctx context.Context, s *requestStream) {
	ticker := time.NewTicker(s.interval)
	defer ticker.Stop()
	var running sync.WaitGroup
	defer running.Wait()
	for number := 0; ; number++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			url := t.urls[number%len(t.urls)]
			running.Go(func() { t.sendRequest(s, url) })
		}
	}
}

func (t *traffic) sendRequest(s *requestStream, url string) {
	request, err := http.NewRequest(s.method, url+s.path, nil)
	if err != nil {
		s.failed.Add(1)
		return
	}
	response, err := t.client.Do(request)
	if err != nil {
		s.failed.Add(1)
		return
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	if err != nil || response.StatusCode != http.StatusOK {
		s.failed.Add(1)
		return
	}
	s.served.Add(1)
}

// summary returns the counters since the last call and resets them.
func (t *traffic) summary() string {
	parts := make([]string, 0, len(t.streams))
	for _, s := range t.streams {
		parts = append(parts, fmt.Sprintf("%s %d served %d failed", s.name, s.served.Swap(0), s.failed.Swap(0)))
	}
	return strings.Join(parts, ", ")
}
