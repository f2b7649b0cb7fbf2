package control_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/event"
	"jayfold.dev/jayfold/internal/core/fleet"
	"jayfold.dev/jayfold/internal/core/node"
	"jayfold.dev/jayfold/internal/edge/recovery"
	"jayfold.dev/jayfold/internal/process/control"
)

// runLoop runs a loop with the given reducer and dispatcher until the test ends. Log lines and counts about panics are dropped.
func runLoop(
	t *testing.T, reduce func(node.State, event.Event) (node.State, []effect.Effect), dispatch func(effect.Effect),
) *control.Loop {
	t.Helper()
	loop := control.New(node.New(fleet.Member{Node: "node-1"}, node.DefaultSettings()), control.Seams{
		Now:      time.Now,
		Random:   func() uint64 { return 0 },
		Reduce:   reduce,
		Dispatch: dispatch,
		Recovery: recovery.New(recovery.Seams{Now: time.Now, Observe: func(effect.Effect) {}}),
	})
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(func() {
		cancel()
		loop.Wait()
	})
	go loop.Run(ctx)
	return loop
}

// failOn returns a reducer that panics on the events for which fails returns true.
func failOn(fails func(event.Body) bool) func(node.State, event.Event) (node.State, []effect.Effect) {
	return func(s node.State, ev event.Event) (node.State, []effect.Effect) {
		if fails(ev.Body) {
			panic("simulated")
		}
		return s.Reduce(ev)
	}
}

// receive returns the next effect of type E, or fails the test.
func receive[E effect.Effect](t *testing.T, effects <-chan effect.Effect) E {
	t.Helper()
	limit := time.After(10 * time.Second)
	for {
		select {
		case e := <-effects:
			if found, ok := e.(E); ok {
				return found
			}
		case <-limit:
			t.Fatal("the effect did not arrive")
		}
	}
}

// TestPanicInAStepIsContained guards against one event that ends the node with all its requests, and against callers that wait in
// vain for a request on which the reducer failed.
func TestPanicInAStepIsContained(t *testing.T) {
	for name, c := range map[string]struct {
		body   event.Body
		assert func(t *testing.T, effects <-chan effect.Effect)
	}{
		"a request": {
			event.RequestArrived{Request: fleet.Request{ID: "r", Parent: "p"}},
			func(t *testing.T, effects <-chan effect.Effect) {
				refused := receive[effect.RefuseRequest](t, effects)
				is.New(t).Equal(refused.Request, fleet.RequestID("r"))
				is.New(t).Equal(refused.Problem.Verdict, fleet.NotRun)
			},
		},
		"an attempt": {
			event.AdmissionRequested{Attempt: fleet.Attempt{ID: "r.1", Target: "n1/t"}},
			func(t *testing.T, effects <-chan effect.Effect) {
				refused := receive[effect.RefuseAttempt](t, effects)
				is.New(t).Equal(refused.Attempt, fleet.AttemptID("r.1"))
				is.New(t).Equal(refused.Problem.Verdict, fleet.NotRun)
			},
		},
		"a heartbeat": {
			event.HeartbeatReceived{AckID: 7},
			func(t *testing.T, effects <-chan effect.Effect) {
				is.New(t).Equal(receive[effect.AcknowledgeTarget](t, effects), effect.AcknowledgeTarget{AckID: 7})
			},
		},
		"a message": {event.MessageReceived{}, func(*testing.T, <-chan effect.Effect) {}},
	} {
		t.Run(name, func(t *testing.T) {
			effects := make(chan effect.Effect, 100)
			first := true
			loop := runLoop(t, failOn(func(body event.Body) bool {
				_, isStatus := body.(event.StatusRequested)
				_, isTick := body.(event.Tick)
				fails := !isStatus && !isTick && first
				first = first && !fails
				return fails
			}), func(e effect.Effect) { effects <- e })
			loop.Post(c.body)
			c.assert(t, effects)
			loop.Post(event.StatusRequested{QueryID: 3})
			is.New(t).Equal(receive[effect.ReplyStatus](t, effects).Status.Node, fleet.NodeID("node-1"))
		})
	}
}

// TestPanicInAnEffectIsContained guards against an edge whose failure keeps the other effects of a step from running.
func TestPanicInAnEffectIsContained(t *testing.T) {
	effects := make(chan effect.Effect, 100)
	reduce := func(s node.State, ev event.Event) (node.State, []effect.Effect) {
		if _, isTick := ev.Body.(event.Tick); isTick {
			return s, nil
		}
		return s, []effect.Effect{effect.CancelRun{Attempt: "first"}, effect.CancelRun{Attempt: "second"}}
	}
	loop := runLoop(t, reduce, func(e effect.Effect) {
		if e == (effect.CancelRun{Attempt: "first"}) {
			panic("simulated")
		}
		effects <- e
	})
	loop.Post(event.StatusRequested{})
	is.New(t).Equal(receive[effect.CancelRun](t, effects).Attempt, fleet.AttemptID("second"))
}

// TestFailingTicks guards against a node that takes requests although it checks no deadline, and against a timer that fires without a
// pause while its step fails.
func TestFailingTicks(t *testing.T) {
	var failing atomic.Bool
	failing.Store(true)
	effects := make(chan effect.Effect, 1000)
	runLoop(t, failOn(func(event.Body) bool { return failing.Load() }), func(e effect.Effect) { effects <- e })
	is := is.New(t)
	is.Equal(receive[effect.SetReadiness](t, effects), effect.SetReadiness{})
	failing.Store(false)
	is.Equal(receive[effect.WriteLog](t, effects).Message, "ticks no longer fail")
	receive[effect.SetReadiness](t, effects)
}
