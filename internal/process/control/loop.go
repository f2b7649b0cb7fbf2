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
//
// A step that panics leaves the state as it was, and whoever waits for its event is told so. An effect that panics leaves the others
// to run. A node on which ticks keep failing is no longer ready.
package control

import (
	"context"
	"time"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/event"
	"jayfold.dev/jayfold/internal/core/node"
	"jayfold.dev/jayfold/internal/edge/recovery"
)

// tickInterval is the time between two ticks. Leases, probes and the deadlines of queued attempts are checked at this resolution;
// the requests in flight at the ingress have a timer of their own.
const tickInterval = 100 * time.Millisecond

// queueLength is the capacity of the event queue. At 10 us per event a full queue is processed in 40 ms.
const queueLength = 4096

// maxFailedTicks is the number of failed ticks in a row from which the node is not ready: leases, probes and deadlines are not
// checked meanwhile.
const maxFailedTicks = 10

// Seams are the external dependencies of a loop.
type Seams struct {
	Now      func() time.Time
	Random   func() uint64
	Dispatch func(effect.Effect)
	// Reduce applies an event to the state; nil means node.State.Reduce.
	Reduce func(node.State, event.Event) (node.State, []effect.Effect)
	// Recovery contains panics of steps and effects.
	Recovery *recovery.Boundary
}

// Loop owns the state of one node and applies events to it.
type Loop struct {
	state  node.State
	seams  Seams
	events chan event.Body
	// timerAt is the time for which the timer was last set; zero if it is stopped.
	timerAt time.Time
	// failedTicks counts the ticks in a row that have failed.
	failedTicks int
	done        chan struct{}
}

// New returns a loop that starts with the given state. It processes no event before Run.
func New(state node.State, seams Seams) *Loop {
	if seams.Reduce == nil {
		seams.Reduce = node.State.Reduce
	}
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
			l.tick()
		case <-timer.C:
			if !l.step(event.RequestTimerFired{}) {
				// The same timer is still due. It must not fire again at once.
				timer.Reset(tickInterval)
				continue
			}
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

// tick applies a tick, and tells callers not to use this node while ticks keep failing.
func (l *Loop) tick() {
	if !l.step(event.Tick{}) {
		l.failedTicks++
		if l.failedTicks == maxFailedTicks {
			l.dispatch(effect.WriteLog{Level: effect.Error, Component: "control", Message: "ticks keep failing; the node is not ready"})
			l.dispatch(effect.SetReadiness{})
		}
		return
	}
	if l.failedTicks >= maxFailedTicks {
		l.dispatch(effect.WriteLog{Level: effect.Info, Component: "control", Message: "ticks no longer fail"})
		l.dispatch(l.state.Readiness())
	}
	l.failedTicks = 0
}

// step applies an event and dispatches its effects. It returns false if the reducer has panicked: the state is then that before the
// event.
func (l *Loop) step(body event.Body) bool {
	ev := event.Event{At: l.seams.Now(), Random: l.seams.Random(), Body: body}
	next, effects := l.state, []effect.Effect(nil)
	ok := l.seams.Recovery.DoOn(body, func() { next, effects = l.seams.Reduce(l.state, ev) })
	if !ok {
		next, effects = l.state, node.Unhandled(body)
	}
	l.state = next
	for _, e := range effects {
		l.dispatch(e)
	}
	return ok
}

// dispatch passes an effect to its edge. A panic there leaves the other effects of the step to run.
func (l *Loop) dispatch(e effect.Effect) {
	l.seams.Recovery.DoOn(e, func() { l.seams.Dispatch(e) })
}
