package node

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/event"
	"jayfold.dev/jayfold/internal/core/fleet"
)

// measured holds what a step measured: outcomes with their service and class, and the durations of requests by caller.
type measured struct {
	requests, attempts []string
	took               map[fleet.Caller]time.Duration
}

func measure(effects []effect.Effect) measured {
	m := measured{took: make(map[fleet.Caller]time.Duration)}
	text := func(e effect.MetricLabels) string { return e.Outcome + " " + e.Service + " " + e.Class }
	for _, e := range effects {
		switch e := e.(type) {
		case effect.RecordRequest:
			m.requests = append(m.requests, text(e.MetricLabels))
			if took, ok := e.Duration.Get(); ok {
				m.took[e.Caller] = took
			}
		case effect.RecordAttempt:
			m.attempts = append(m.attempts, text(e.MetricLabels))
		}
	}
	return m
}

func arrival(id fleet.RequestID, path string) event.RequestArrived {
	return event.RequestArrived{Request: fleet.Request{ID: id, Method: "GET", Path: path, Caller: "acme"}}
}

// Guards against requests that end without being measured, whatever ends them.
func TestEveryEndOfARequestIsMeasured(t *testing.T) {
	for name, c := range map[string]struct {
		end     func(*runner, fleet.Attempt) []effect.Effect
		outcome string
		attempt []string
	}{
		"answered": {func(r *runner, a fleet.Attempt) []effect.Effect {
			return r.reduce(event.AttemptFinished{Attempt: a.ID, Outcome: fleet.Outcome{Status: 200, Duration: 3 * time.Millisecond}})
		}, "Answered", []string{"Answered pool-001 Lookup"}},
		"canceled": {func(r *runner, a fleet.Attempt) []effect.Effect {
			return r.reduce(event.RequestCanceled{Request: a.ID.Request()})
		}, "Canceled", nil},
		"deadline": {func(r *runner, _ fleet.Attempt) []effect.Effect {
			var effects []effect.Effect
			for r.now = r.now.Add(time.Second); len(measure(effects).requests) == 0; r.now = r.now.Add(time.Second) {
				effects = r.reduce(event.Tick{})
			}
			return effects
		}, "DeadlinePassed", nil},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := designFleet()
			effects := r.reduce(arrival("r1", designPath(1)))
			attempt := effects[0].(effect.ForwardAttempt).Attempt
			r.now = r.now.Add(5 * time.Millisecond)
			effects = c.end(r, attempt)
			m := measure(effects)
			is.Equal(m.requests, []string{c.outcome + " pool-001 Lookup"})
			is.Equal(m.attempts, c.attempt)
			is.True(m.took["acme"] >= 5*time.Millisecond)
		})
	}
}

// Guards against refusals on arrival that nobody sees, such as those of a route without a target.
func TestRefusalOnArrivalIsCounted(t *testing.T) {
	is := is.New(t)
	r := designFleet()
	m := measure(r.reduce(arrival("r1", "/nowhere")))
	is.Equal(m.requests, []string{"NoRoute none none"})
	is.Equal(len(m.took), 0)
	r.state.membership = New(r.state.Self(), DefaultSettings()).membership
	effects := r.reduce(arrival("r2", designPath(1)))
	is.True(slices.Contains(measure(effects).requests, "NoTarget pool-001 Lookup"))
}
