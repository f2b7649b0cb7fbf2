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
//	op.Observe(e)     // carries out the observations of package effect; never blocks
//	op.ShowStatus(e)  // carries out effect.ReplyStatus; never blocks
//	http.Serve(listener, op.Handler())
//
// The handler serves /status (JSON), /metrics (Prometheus) and /healthz. PrintStatus is the client side: it reads a
// node's /status and prints it on one screen.
package operator

import (
	"sync"
	"time"

	"github.com/apex/log"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/event"
)

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
	metrics *metrics
	lines   *lines
	// logged and measured wait apart, so that a log that nobody reads does not hold up the metrics.
	logged, measured *queue

	mutex   sync.Mutex
	query   uint64
	waiting map[uint64]chan effect.NodeStatus
}

// New returns an operator edge and starts the goroutines that log and measure.
func New(seams Seams) *Operator {
	if seams.Now == nil {
		seams.Now = time.Now
	}
	o := &Operator{
		seams:   seams,
		metrics: newMetrics(seams.Exporter),
		lines:   newLines(&log.Logger{Handler: seams.Log, Level: log.DebugLevel}),
		waiting: make(map[uint64]chan effect.NodeStatus),
	}
	o.logged, o.measured = newQueue(o.write), newQueue(o.measure)
	return o
}

// Observe takes an observation from any goroutine. It never blocks: when its queue is full the observation is dropped.
func (o *Operator) Observe(e effect.Effect) {
	if _, line := e.(effect.WriteLog); line {
		o.logged.put(e)
		return
	}
	o.measured.put(e)
}

// ReplyStatus hands a status to the request that asked for it.
func (o *Operator) ReplyStatus(e effect.ReplyStatus) {
	o.mutex.Lock()
	answer, ok := o.waiting[e.QueryID]
	delete(o.waiting, e.QueryID)
	o.mutex.Unlock()
	if ok {
		answer <- e.Status
	}
}

// Close writes what is queued and ends the goroutines.
func (o *Operator) Close() {
	o.logged.close()
	o.measured.close()
	o.metrics.close()
}

// write carries out effect.WriteLog. Only the goroutine of its queue touches the limits on lines.
func (o *Operator) write(e effect.Effect) {
	if line, ok := e.(effect.WriteLog); ok {
		o.lines.write(o.seams.Now(), line)
	}
}

// measure carries out the other observations. Only the goroutine of its queue touches the busiest callers.
func (o *Operator) measure(e effect.Effect) {
	if dropped := o.logged.dropped.Swap(0) + o.measured.dropped.Swap(0); dropped > 0 {
		o.metrics.count(effect.AddToCounter{Name: "observations_dropped", Delta: dropped})
	}
	switch e := e.(type) {
	case effect.AddToCounter:
		o.metrics.count(e)
	case effect.RecordRequest:
		o.metrics.request(e)
	case effect.RecordAttempt:
		o.metrics.attempt(e)
	}
}
