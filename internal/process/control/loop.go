// Package control runs the reducer of one node.
//
// # Usage
//
//	loop := control.New(node.New(record, node.DefaultSettings()), control.Seams{Now: time.Now, Random: rand.Uint64, Dispatch: dispatch})
//	go loop.Run(ctx)
//	loop.Post(event.RequestArrived{Request: request})
//
// One goroutine owns the state and blocks on a bounded channel. The goroutines that move traffic post events and wait for
// their effects; Dispatch hands each effect to the edge that carries it out and must not block.
package control

import (
	"context"
	"time"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/event"
	"jayfold.dev/jayfold/internal/core/node"
)

// tickInterval is the time between two ticks. Deadlines, leases and probes are checked at this resolution.
const tickInterval = 100 * time.Millisecond

// queueLength bounds the events that wait for the reducer. At 10 us a step a full queue takes 40 ms to empty.
const queueLength = 4096

// Seams are what the loop needs from outside.
type Seams struct {
	Now      func() time.Time
	Random   func() uint64
	Dispatch func(effect.Effect)
}

// Loop owns the state of one node.
type Loop struct {
	state  node.State
	seams  Seams
	events chan event.Body
	// timerAt is the time to which the timer is set.
	timerAt time.Time
	done    chan struct{}
}

// New returns a loop over the given state. It does nothing before Run.
func New(state node.State, seams Seams) *Loop {
	return &Loop{
		state:  state,
		seams:  seams,
		events: make(chan event.Body, queueLength),
		done:   make(chan struct{}),
	}
}

// Post queues an event. It blocks while the queue is full and drops the event once the loop has ended.
func (l *Loop) Post(body event.Body) {
	select {
	case l.events <- body:
	case <-l.done:
	}
}

// Run reduces events until ctx ends.
func (l *Loop) Run(ctx context.Context) {
	defer close(l.done)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	due := time.NewTimer(tickInterval)
	defer due.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case body := <-l.events:
			l.step(body)
		case <-ticker.C:
			l.step(event.Tick{})
		case <-due.C:
			l.step(event.RequestTimerFired{})
		}
		l.resetTimer(due)
	}
}

// resetTimer sets the timer to the time at which a request needs attention next.
func (l *Loop) resetTimer(due *time.Timer) {
	at, ok := l.state.Due()
	switch {
	case !ok:
		due.Stop()
		l.timerAt = time.Time{}
	case !at.Equal(l.timerAt):
		due.Reset(at.Sub(l.seams.Now()))
		l.timerAt = at
	}
}

func (l *Loop) step(body event.Body) {
	ev := event.Event{At: l.seams.Now(), Random: l.seams.Random(), Body: body}
	state, effects := l.state.Reduce(ev)
	l.state = state
	for _, e := range effects {
		l.seams.Dispatch(e)
	}
}
