// Package control runs the reducer of one node.
//
// # Usage
//
//	loop := control.New(node.New(record, node.DefaultSettings()), control.Seams{
//		Now: time.Now, Random: rand.Uint64, Dispatch: dispatch,
//	})
//	go loop.Run(ctx)
//	loop.Post(event.RequestArrived{Request: request})
//
// One goroutine owns the state and reads events from a bounded channel. The goroutines that handle traffic post events and
// wait for the effects; Dispatch passes each effect to the edge that executes it and must not block.
package control

import (
	"context"
	"time"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/event"
	"jayfold.dev/jayfold/internal/core/node"
)

// tickInterval is the time between two ticks. Leases, probes and the deadlines of queued attempts are checked at this resolution;
// the requests in flight at the ingress have a timer of their own.
const tickInterval = 100 * time.Millisecond

// queueLength is the capacity of the event queue. At 10 us per event a full queue is processed in 40 ms.
const queueLength = 4096

// Seams are the external dependencies of a loop.
type Seams struct {
	Now      func() time.Time
	Random   func() uint64
	Dispatch func(effect.Effect)
}

// Loop owns the state of one node and applies events to it.
type Loop struct {
	state  node.State
	seams  Seams
	events chan event.Body
	// timerAt is the time for which the timer was last set; zero if it is stopped.
	timerAt time.Time
	done    chan struct{}
}

// New returns a loop that starts with the given state. It processes no event before Run.
func New(state node.State, seams Seams) *Loop {
	return &Loop{
		state:  state,
		seams:  seams,
		events: make(chan event.Body, queueLength),
		done:   make(chan struct{}),
	}
}

// Post queues an event. It blocks while the queue is full and drops the event after the loop has ended.
func (l *Loop) Post(body event.Body) {
	select {
	case l.events <- body:
	case <-l.done:
	}
}

// Wait blocks until Run has returned. No effect is dispatched afterwards.
func (l *Loop) Wait() { <-l.done }

// Run processes events until ctx is done.
func (l *Loop) Run(ctx context.Context) {
	defer close(l.done)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	timer := time.NewTimer(tickInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case body := <-l.events:
			l.step(body)
		case <-ticker.C:
			l.step(event.Tick{})
		case <-timer.C:
			l.step(event.RequestTimerFired{})
		}
		l.resetTimer(timer)
	}
}

// resetTimer sets the timer to the time at which event.RequestTimerFired is due, or stops it if there is none.
func (l *Loop) resetTimer(timer *time.Timer) {
	at, ok := l.state.Due()
	switch {
	case !ok:
		timer.Stop()
		l.timerAt = time.Time{}
	case !at.Equal(l.timerAt):
		timer.Reset(at.Sub(l.seams.Now()))
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
