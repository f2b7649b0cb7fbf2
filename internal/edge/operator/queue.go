package operator

import (
	"sync"
	"sync/atomic"
	"time"

	"jayfold.dev/jayfold/internal/core/effect"
)

const (
	// observationQueue bounds the observations that wait to be logged, and those that wait to be measured. More are dropped
	// and counted.
	observationQueue = 8192
	// closeWait bounds the time in which a node that stops writes what is queued. A log that nobody reads must not hold it.
	closeWait = 300 * time.Millisecond
)

// queue carries out observations on a goroutine of its own.
type queue struct {
	waiting  chan effect.Effect
	dropped  atomic.Int64
	carryOut func(effect.Effect)
	closing  chan struct{}
	closed   chan struct{}
	once     sync.Once
}

func newQueue(carryOut func(effect.Effect)) *queue {
	q := &queue{
		waiting:  make(chan effect.Effect, observationQueue),
		carryOut: carryOut,
		closing:  make(chan struct{}),
		closed:   make(chan struct{}),
	}
	go q.run()
	return q
}

// put takes an observation and never blocks: when the queue is full the observation is dropped.
func (q *queue) put(e effect.Effect) {
	select {
	case q.waiting <- e:
	default:
		q.dropped.Add(1)
	}
}

// close ends the goroutine once what is queued is carried out, or leaves it behind after the wait.
func (q *queue) close() {
	q.once.Do(func() { close(q.closing) })
	timer := time.NewTimer(closeWait)
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
		case e := <-q.waiting:
			q.carryOut(e)
		case <-q.closing:
			for range len(q.waiting) {
				q.carryOut(<-q.waiting)
			}
			return
		}
	}
}
