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

// counted returns the outcomes that were counted under a name, each with its service and class.
func counted(effects []effect.Effect, name string) []string {
	var outcomes []string
	for _, e := range effects {
		if count, ok := e.(effect.Count); ok && count.Name == name {
			outcomes = append(outcomes, count.Tags[0].Value+" "+count.Tags[1].Value+" "+count.Tags[2].Value)
		}
	}
	return outcomes
}

// lasted returns the durations recorded under a name, with the last tag of each.
func lasted(effects []effect.Effect, name string) map[string]time.Duration {
	durations := make(map[string]time.Duration)
	for _, e := range effects {
		if duration, ok := e.(effect.Duration); ok && duration.Name == name {
			durations[duration.Tags[len(duration.Tags)-1].Value] = duration.Value
		}
	}
	return durations
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
			return r.reduce(event.AttemptFinished{Attempt: a.ID, Outcome: fleet.Outcome{Status: 200, Took: 3 * time.Millisecond}})
		}, "Answered", []string{"Answered pool-001 Lookup"}},
		"canceled": {func(r *runner, a fleet.Attempt) []effect.Effect {
			return r.reduce(event.RequestCanceled{Request: a.ID.Request()})
		}, "Canceled", nil},
		"deadline": {func(r *runner, _ fleet.Attempt) []effect.Effect {
			var effects []effect.Effect
			for r.now = r.now.Add(time.Second); len(counted(effects, "requests")) == 0; r.now = r.now.Add(time.Second) {
				effects = r.reduce(event.Tick{})
			}
			return effects
		}, "DeadlinePassed", nil},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := designFleet()
			effects := r.reduce(arrival("r1", designPath(1)))
			attempt := effects[0].(effect.Forward).Attempt
			r.now = r.now.Add(5 * time.Millisecond)
			effects = c.end(r, attempt)
			is.Equal(counted(effects, "requests"), []string{c.outcome + " pool-001 Lookup"})
			is.Equal(counted(effects, "attempts"), c.attempt)
			is.True(lasted(effects, "request_duration")["acme"] >= 5*time.Millisecond)
		})
	}
}

// Guards against refusals on arrival that nobody sees, such as those of a route without a target.
func TestRefusalOnArrivalIsCounted(t *testing.T) {
	is := is.New(t)
	r := designFleet()
	is.Equal(counted(r.reduce(arrival("r1", "/nowhere")), "requests"), []string{"NoRoute none none"})
	r.state.membership = New(r.state.Self(), DefaultSettings()).membership
	effects := r.reduce(arrival("r2", designPath(1)))
	is.True(slices.Contains(counted(effects, "requests"), "NoTarget pool-001 Lookup"))
}
