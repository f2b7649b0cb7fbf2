package operator

import (
	"sync"
	"sync/atomic"
	"time"

	"jayfold.dev/jayfold/internal/core/effect"
)

const (
	// queueCapacity is the maximum number of effects in a queue. Further ones are dropped and counted.
	queueCapacity = 8192
	// closeTimeout is the time within which the queued effects are executed on shutdown. A blocked log writer must not delay the
	// exit of the process.
	closeTimeout = 300 * time.Millisecond
)

// queue executes effects on its own goroutine.
type queue struct {
	effects chan effect.Effect
	dropped atomic.Int64
	execute func(effect.Effect)
	closing chan struct{}
	closed  chan struct{}
	once    sync.Once
}

func newQueue(execute func(effect.Effect)) *queue {
	q := &queue{
		effects: make(chan effect.Effect, queueCapacity),
		execute: execute,
		closing: make(chan struct{}),
		closed:  make(chan struct{}),
	}
	go q.run()
	return q
}

// put queues an effect. It never blocks: if the queue is full, the effect is dropped and counted.
func (q *queue) put(e effect.Effect) {
	select {
	case q.effects <- e:
	default:
		q.dropped.Add(1)
	}
}

// close stops the goroutine after it has executed the queued effects. If that takes longer than closeTimeout, close returns and
// the goroutine continues.
func (q *queue) close() {
	q.once.Do(func() { close(q.closing) })
	timer := time.NewTimer(closeTimeout)
	defer timer.Stop()
	select {
	case <-q.closed:
	case <-timer.C:
	}
}

func (q *queue) run() {
	defer close(q.closed)
	for {
		select {
		case e := <-q.effects:
			q.execute(e)
		case <-q.closing:
			for range len(q.effects) {
				q.execute(<-q.effects)
			}
			return
		}
	}
}
