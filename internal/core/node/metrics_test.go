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

// stepMetrics holds the metrics of a step: labels of requests and attempts, and durations of requests by caller.
type stepMetrics struct {
	requests, attempts []string
	durations          map[fleet.Caller]time.Duration
}

func recordedMetrics(effects []effect.Effect) stepMetrics {
	r := stepMetrics{durations: make(map[fleet.Caller]time.Duration)}
	text := func(e effect.MetricLabels) string { return e.Outcome + " " + e.Service + " " + e.Class }
	for _, e := range effects {
		switch e := e.(type) {
		case effect.RecordRequest:
			r.requests = append(r.requests, text(e.MetricLabels))
			if duration, ok := e.Duration.Get(); ok {
				r.durations[e.Caller] = duration
			}
		case effect.RecordAttempt:
			r.attempts = append(r.attempts, text(e.MetricLabels))
		}
	}
	return r
}

func arrival(id fleet.RequestID, path string) event.RequestArrived {
	return event.RequestArrived{Request: fleet.Request{ID: id, Method: "GET", Path: path, Caller: "acme"}}
}

// TestEveryRequestIsRecorded guards against requests that end without a metric.
func TestEveryRequestIsRecorded(t *testing.T) {
	for name, c := range map[string]struct {
		end      func(*runner, fleet.Attempt) []effect.Effect
		outcome  string
		attempts []string
	}{
		"answered": {func(r *runner, a fleet.Attempt) []effect.Effect {
			return r.reduce(event.AttemptFinished{Attempt: a.ID, Outcome: fleet.Outcome{Status: 200, Duration: 3 * time.Millisecond}})
		}, "Answered", []string{"Answered pool-001 Lookup"}},
		"canceled": {func(r *runner, a fleet.Attempt) []effect.Effect {
			return r.reduce(event.RequestCanceled{Request: a.ID.Request()})
		}, "Canceled", nil},
		"deadline passed": {func(r *runner, _ fleet.Attempt) []effect.Effect {
			var effects []effect.Effect
			for r.now = r.now.Add(time.Second); len(recordedMetrics(effects).requests) == 0; r.now = r.now.Add(time.Second) {
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
			m := recordedMetrics(effects)
			is.Equal(m.requests, []string{c.outcome + " pool-001 Lookup"})
			is.Equal(m.attempts, c.attempts)
			is.True(m.durations["acme"] >= 5*time.Millisecond)
		})
	}
}

// TestRefusalOnArrivalIsRecorded guards against refusals on arrival without a metric, such as those of a route without a target.
func TestRefusalOnArrivalIsRecorded(t *testing.T) {
	is := is.New(t)
	r := designFleet()
	m := recordedMetrics(r.reduce(arrival("r1", "/nowhere")))
	is.Equal(m.requests, []string{"NoRoute none none"})
	is.Equal(len(m.durations), 0)
	r.state.membership = New(r.state.Self(), DefaultSettings()).membership
	effects := r.reduce(arrival("r2", designPath(1)))
	is.True(slices.Contains(recordedMetrics(effects).requests, "NoTarget pool-001 Lookup"))
}

// TestPlacementIsRecorded guards against a placement by cost whose choices and errors are not measured, and against records of it while
// targets are placed by count.
func TestPlacementIsRecorded(t *testing.T) {
	settings := DefaultSettings()
	for placement, want := range map[fleet.Placement][]effect.RecordPlacement{
		fleet.PlacementByCount: nil,
		fleet.PlacementByCost: {{
			MetricLabels: effect.MetricLabels{Service: "pool-001", Class: "Lookup", Outcome: "Answered"}, Mode: "probing", Zone: "own",
			Expected: 4 * time.Millisecond, Actual: 5 * time.Millisecond,
		}},
	} {
		t.Run(string(placement), func(t *testing.T) {
			r := designFleet()
			settings.Placement = placement
			r.reduce(event.SettingsReloaded{Settings: settings})
			finish := func(id fleet.RequestID) []effect.Effect {
				a := r.reduce(arrival(id, designPath(1)))[0].(effect.ForwardAttempt).Attempt
				return r.reduce(event.AttemptFinished{
					Attempt: a.ID, Outcome: fleet.Outcome{Status: 200, Duration: 5 * time.Millisecond},
					Report: fleet.Some(fleet.TargetReport{Target: a.Target, Load: fleet.Load{Slots: 4}, MeanTime: 4 * time.Millisecond}),
				})
			}
			finish("r1")
			var got []effect.RecordPlacement
			for _, e := range finish("r2") {
				if record, ok := e.(effect.RecordPlacement); ok {
					got = append(got, record)
				}
			}
			is.New(t).Equal(got, want)
		})
	}
}
