// Package operator shows one node to its operators: status, metrics, health and the log.
//
// # Usage
//
//	op := operator.New(operator.Seams{
//		Post:     loop.Post,
//		Log:      json.New(os.Stderr),
//		Exporter: operator.NewPrometheus(),
//	})
//	defer op.Close()
//	op.Observe(e)     // carries out effect.Log, effect.Count and effect.Duration; never blocks
//	op.ShowStatus(e)  // carries out effect.ShowStatus; never blocks
//	http.Serve(listener, op.Handler())
//
// The handler serves /status (JSON), /metrics (Prometheus) and /healthz. PrintStatus is the client side: it reads a
// node's /status and prints it on one screen.
package operator

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/event"
)

// observationQueue bounds the observations that wait to be logged or measured. More are dropped and counted.
const observationQueue = 8192

// Seams are what an Operator needs from outside.
type Seams struct {
	Post func(event.Body)
	// Log writes the lines of the log, of every level.
	Log log.Handler
	// Exporter shows the metrics.
	Exporter Exporter
	// Now is used to limit repeated lines; nil means time.Now.
	Now func() time.Time
}

// Operator carries out the observations of the core and answers operators.
type Operator struct {
	seams   Seams
	queue   chan effect.Effect
	dropped atomic.Int64
	metrics *metrics
	lines   *lines
	closing chan struct{}
	closed  chan struct{}
	once    sync.Once

	mutex   sync.Mutex
	query   uint64
	waiting map[uint64]chan effect.Status
}

// New returns an operator edge and starts the goroutine that logs and measures.
func New(seams Seams) *Operator {
	if seams.Now == nil {
		seams.Now = time.Now
	}
	o := &Operator{
		seams:   seams,
		queue:   make(chan effect.Effect, observationQueue),
		metrics: newMetrics(seams.Exporter),
		lines:   newLines(&log.Logger{Handler: seams.Log, Level: log.DebugLevel}),
		closing: make(chan struct{}),
		closed:  make(chan struct{}),
		waiting: make(map[uint64]chan effect.Status),
	}
	go o.run()
	return o
}

// Observe takes an observation from any goroutine. It never blocks: when the queue is full the observation is dropped.
func (o *Operator) Observe(e effect.Effect) {
	select {
	case o.queue <- e:
	default:
		o.dropped.Add(1)
	}
}

// ShowStatus hands a status to the request that asked for it.
func (o *Operator) ShowStatus(e effect.ShowStatus) {
	o.mutex.Lock()
	answer, ok := o.waiting[e.Query]
	delete(o.waiting, e.Query)
	o.mutex.Unlock()
	if ok {
		answer <- e.Status
	}
}

// Close writes what is queued and ends the goroutine.
func (o *Operator) Close() {
	o.once.Do(func() { close(o.closing) })
	<-o.closed
}

// run carries out observations until Close. Only this goroutine touches the limits on lines and the busiest callers.
func (o *Operator) run() {
	defer close(o.closed)
	defer o.metrics.close()
	for {
		select {
		case e := <-o.queue:
			o.carryOut(e)
		case <-o.closing:
			o.drain()
			return
		}
	}
}

func (o *Operator) drain() {
	for range len(o.queue) {
		o.carryOut(<-o.queue)
	}
}

func (o *Operator) carryOut(e effect.Effect) {
	if dropped := o.dropped.Swap(0); dropped > 0 {
		o.metrics.count(effect.Count{Name: "observations_dropped", Delta: dropped})
	}
	switch e := e.(type) {
	case effect.Log:
		o.lines.write(o.seams.Now(), e)
	case effect.Count:
		o.metrics.count(e)
	case effect.Duration:
		o.metrics.duration(e)
	}
}
