package attempt

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/fleet"
)

// step is one attempt as the log shows it.
type step struct {
	target fleet.TargetID
	manner manner
	// borrowed means that a failing target had lent the attempt a part of its retry budget.
	borrowed bool
	// after is the time from the request's arrival to the attempt's start, and took that from there to its end.
	after, took time.Duration
	// cause is empty while the attempt is in flight and when it was answered.
	cause   fleet.Cause
	verdict fleet.Verdict
	// wait is the queue that the target named.
	wait time.Duration
}

var mannerNames = [...]string{probing: "probing", waiting: "waiting", forced: "forced"}

// String returns the step in one phrase: where and how, when, and how it ended.
func (s step) String() string {
	text := fmt.Sprintf("%s %s +%s", s.target, mannerNames[s.manner], rounded(s.after))
	if s.borrowed {
		text += " borrowed"
	}
	if s.cause == "" {
		return text
	}
	text += fmt.Sprintf(" %s %s %s", s.cause, s.verdict, rounded(s.took))
	if s.wait > 0 {
		text += " queue " + rounded(s.wait).String()
	}
	return text
}

// steps are the attempts of one request. They are put into words only when their line is written, not in the reducer.
type steps []step

// String returns the steps one after the other.
func (s steps) String() string {
	words := make([]string, len(s))
	for i, one := range s {
		words[i] = one.String()
	}
	return strings.Join(words, "; ")
}

func rounded(d time.Duration) time.Duration { return d.Round(100 * time.Microsecond) }

// withStep returns the flight with the end of an attempt in its trail.
func (f flight) withStep(now time.Time, t try, problem fleet.Problem, wait time.Duration) flight {
	after := t.started.Sub(f.received)
	f.trail = append(f.trail[:len(f.trail):len(f.trail)], step{
		target: t.target, manner: t.manner, borrowed: t.borrowed, after: after, took: now.Sub(t.started),
		cause: problem.Cause, verdict: problem.Verdict, wait: wait,
	})
	return f
}

// endLine returns the log line that explains how a request ended. The steps are in the order in which they ended; attempts
// that were still in flight come last.
func (f flight) endLine(now time.Time, last []effect.Effect) effect.Effect {
	steps := steps(slices.Clip(f.trail))
	for _, t := range f.live {
		steps = append(steps, step{
			target: t.target, manner: t.manner, borrowed: t.borrowed, after: t.started.Sub(f.received),
		})
	}
	line := effect.WriteLog{Level: effect.Info, Component: "request", Message: "request canceled by its caller", Fields: []effect.LogField{
		{Name: "Request", Value: string(f.id)},
		{Name: "Pool", Value: string(f.template.Pool)},
		{Name: "Class", Value: f.template.Class},
		{Name: "Revision", Value: uint64(f.revision)},
		{Name: "RevisionAge", Value: rounded(f.age)},
		{Name: "Elapsed", Value: rounded(now.Sub(f.received))},
		{Name: "Left", Value: rounded(f.template.Deadline.Sub(now))},
		{Name: "Steps", Value: steps},
	}}
	if f.parent != "" {
		line.Fields = append(line.Fields, effect.LogField{Name: "Parent", Value: string(f.parent)})
	}
	for _, e := range last {
		switch e := e.(type) {
		case effect.RelayResponse:
			line.Message = "request answered"
			if e.ServerError {
				line.Level, line.Message = effect.Warn, "request answered with the target's error"
			}
		case effect.RefuseRequest:
			line.Level, line.Message = effect.Warn, "request refused"
			line.Fields = append(line.Fields,
				effect.LogField{Name: "Cause", Value: string(e.Problem.Cause)},
				effect.LogField{Name: "Verdict", Value: e.Problem.Verdict},
				effect.LogField{Name: "Detail", Value: e.Problem.Detail})
		}
	}
	return line
}
