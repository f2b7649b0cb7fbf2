package node

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/event"
	"jayfold.dev/jayfold/internal/core/fleet"
)

// assertLogged checks that the effects contain exactly one log line with the message, and that it has the given field values.
func assertLogged(t *testing.T, effects []effect.Effect, message string, want map[string]any) {
	t.Helper()
	is := is.New(t)
	var lines []effect.WriteLog
	for _, e := range effects {
		if line, ok := e.(effect.WriteLog); ok && line.Message == message {
			lines = append(lines, line)
		}
	}
	is.Equal(len(lines), 1) // lines with the message
	fields := map[string]any{}
	for _, f := range lines[0].Fields {
		fields[f.Name] = f.Value
		if text, ok := f.Value.(fmt.Stringer); ok {
			fields[f.Name] = text.String()
		}
	}
	for name, value := range want {
		is.Equal(fields[name], value)
	}
}

// TestDecisionsAreLogged guards against refused requests, unreachable nodes, failed runs and changes of health without a log line
// that says why.
func TestDecisionsAreLogged(t *testing.T) {
	t.Run("a request that no route matches", func(t *testing.T) {
		r := designFleet()
		effects := r.reduce(arrival("r1", "/nowhere"))
		assertLogged(t, effects, "request refused on arrival", map[string]any{
			"Request": "r1", "Cause": "NoRoute", "Verdict": "NotRun", "Path": "/nowhere", "Revision": uint64(r.state.Revision()),
		})
	})
	t.Run("a request before the first tables", func(t *testing.T) {
		state := New(fleet.Member{Node: "n"}, DefaultSettings())
		_, effects := state.Reduce(event.Event{At: time.Unix(1, 0), Body: arrival("r1", "/a")})
		assertLogged(t, effects, "request refused on arrival", map[string]any{"Request": "r1", "Cause": "NoTables"})
	})
	t.Run("a node that cannot be reached", func(t *testing.T) {
		r := designFleet()
		lost := fleet.Outcome{Problem: fleet.Some(fleet.NewProblem(fleet.Unreachable, fleet.NotRun, "no route to host"))}
		attempt := r.reduce(arrival("r1", designPath(1)))[0].(effect.ForwardAttempt).Attempt
		effects := r.reduce(event.AttemptFinished{Attempt: attempt.ID, Outcome: lost})
		assertLogged(t, effects, "node not reached", map[string]any{
			"Peer": string(attempt.Node), "Request": "r1", "Error": "no route to host",
		})
	})
	t.Run("a target that breaks the connection", func(t *testing.T) {
		r := designFleet()
		target := r.state.admission.Targets()[0]
		attempt := fleet.Attempt{
			ID: "r2.1", Target: target.ID, Pool: target.Pool, Class: fleet.Lookup, Idempotent: true, Deadline: r.now.Add(time.Minute),
		}
		r.reduce(event.AdmissionRequested{Attempt: attempt})
		broken := fleet.Outcome{Problem: fleet.Some(fleet.NewProblem(fleet.Broken, fleet.MayHaveRun, "reset"))}
		effects := r.reduce(event.RunFinished{Attempt: attempt.ID, Outcome: broken})
		assertLogged(t, effects, "run failed", map[string]any{"Request": "r2", "Cause": "Broken", "Verdict": "MayHaveRun"})
		assertLogged(t, effects, "target suspect, takes only trials", map[string]any{"Target": string(target.ID)})
	})
}
