// Package operator provides the status, health, metrics and log of one node to its operators.
//
// # Usage
//
//	op := operator.New(operator.Seams{
//		Post:     loop.Post,
//		Log:      json.New(os.Stderr),
//		Exporter: operator.NewPrometheus(),
//	})
//	defer op.Close()
//	op.Observe(e)     // executes the effects for the log and the metrics; never blocks
//	op.ReplyStatus(e) // executes effect.ReplyStatus; never blocks
//	http.Serve(listener, op.Handler())
//
// The handler serves /status (JSON), /metrics (Prometheus) and /healthz. PrintStatus is the client: it reads a
// node's /status and prints it on one screen.
package operator

import (
	"sync"
	"time"

	"github.com/apex/log"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/event"
	"jayfold.dev/jayfold/internal/edge/recovery"
)

// Seams are the external dependencies of an Operator.
type Seams struct {
	Post func(event.Body)
	// Log writes the log lines of all levels.
	Log log.Handler
	// Exporter exports the metrics.
	Exporter Exporter
	// Now is the clock for limiting repeated log lines; nil means time.Now.
	Now func() time.Time
	// Recovery contains panics of log writers and exporters; nil contains none.
	Recovery *recovery.Boundary
}

// Operator executes the effects for the log and the metrics, and serves operators.
type Operator struct {
	seams   Seams
	metrics *metrics
	logger  *rateLimitedLogger
	// Log and metrics have separate queues, so that a blocked log writer does not delay the metrics.
	logQueue, metricsQueue *queue

	mu          sync.Mutex
	lastQueryID uint64
	// replies holds the channel of each pending status query by its id.
	replies map[uint64]chan effect.NodeStatus
}

// New returns an Operator and starts the goroutines that write the log and record the metrics.
func New(seams Seams) *Operator {
	if seams.Now == nil {
		seams.Now = time.Now
	}
	o := &Operator{
		seams:   seams,
		metrics: newMetrics(seams.Exporter),
		logger:  newRateLimitedLogger(&log.Logger{Handler: seams.Log, Level: log.DebugLevel}),
		replies: make(map[uint64]chan effect.NodeStatus),
	}
	o.logQueue, o.metricsQueue = newQueue(o.contained(o.writeLog)), newQueue(o.contained(o.recordMetric))
	return o
}

// contained returns a function that executes an effect and contains its panics.
func (o *Operator) contained(execute func(effect.Effect)) func(effect.Effect) {
	return func(e effect.Effect) { o.seams.Recovery.DoOn(e, func() { execute(e) }) }
}

// Observe queues an effect for the log or the metrics. It never blocks: if the queue is full, the effect is dropped and counted.
// It may be called from any goroutine.
func (o *Operator) Observe(e effect.Effect) {
	if _, isLog := e.(effect.WriteLog); isLog {
		o.logQueue.put(e)
		return
	}
	o.metricsQueue.put(e)
}

// ReplyStatus sends a status to the HTTP request that waits for it. It never blocks.
func (o *Operator) ReplyStatus(e effect.ReplyStatus) {
	o.mu.Lock()
	reply, ok := o.replies[e.QueryID]
	delete(o.replies, e.QueryID)
	o.mu.Unlock()
	if ok {
		reply <- e.Status
	}
}

// Close executes the queued effects within a time limit and stops the goroutines.
func (o *Operator) Close() {
	o.logQueue.close()
	o.metricsQueue.close()
	o.metrics.close()
}

// writeLog executes effect.WriteLog. Only the goroutine of logQueue calls it, so the logger needs no lock.
func (o *Operator) writeLog(e effect.Effect) {
	if line, ok := e.(effect.WriteLog); ok {
		o.logger.write(o.seams.Now(), line)
	}
}

// recordMetric executes the effects for the metrics. Only the goroutine of metricsQueue calls it, so the caller counts need no
// lock.
func (o *Operator) recordMetric(e effect.Effect) {
	if dropped := o.logQueue.dropped.Swap(0) + o.metricsQueue.dropped.Swap(0); dropped > 0 {
		o.metrics.addToCounter(effect.AddToCounter{Name: "observations_dropped", Delta: dropped})
	}
	switch e := e.(type) {
	case effect.AddToCounter:
		o.metrics.addToCounter(e)
	case effect.RecordRequest:
		o.metrics.recordRequest(e)
	case effect.RecordAttempt:
		o.metrics.recordAttempt(e)
	case effect.RecordPlacement:
		o.metrics.recordPlacement(e)
	}
}
