package attempt

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/fleet"
)

// step is one attempt as shown in the log.
type step struct {
	target fleet.TargetID
	mode   mode
	// budgetCharged is true if a failing target charged the attempt to its share of the retry budget.
	budgetCharged bool
	// startedAfter is the time from the request's arrival to the attempt's start, and duration the time from start to end.
	startedAfter, duration time.Duration
	// cause is empty while the attempt is in flight and if the target responded.
	cause   fleet.Cause
	verdict fleet.Verdict
	// queueWait is the expected wait that the target reported.
	queueWait time.Duration
	// expected is the time that the ingress expected of the attempt; zero unless targets are placed by cost.
	expected expectedCost
}

var modeNames = [...]string{probing: "probing", waiting: "waiting", briefly: "briefly", forced: "forced"}

// String returns the step as one phrase: target and mode, start, and how it ended.
func (s step) String() string {
	text := fmt.Sprintf("%s %s +%s", s.target, modeNames[s.mode], rounded(s.startedAfter))
	if s.budgetCharged {
		text += " borrowed"
	}
	if s.expected.run > 0 {
		text += fmt.Sprintf(" expected %s+%s", rounded(s.expected.wait), rounded(s.expected.run))
	}
	if s.cause == "" {
		return text
	}
	text += fmt.Sprintf(" %s %s %s", s.cause, s.verdict, rounded(s.duration))
	if s.queueWait > 0 {
		text += " queue " + rounded(s.queueWait).String()
	}
	return text
}

// steps are the attempts of one request. They are formatted when their log line is written, not in the reducer.
type steps []step

// String returns the steps separated by semicolons.
func (s steps) String() string {
	parts := make([]string, len(s))
	for i, step := range s {
		parts[i] = step.String()
	}
	return strings.Join(parts, "; ")
}

func rounded(d time.Duration) time.Duration { return d.Round(100 * time.Microsecond) }

// withStep returns the request with the end of an attempt added to its steps.
func (req activeRequest) withStep(now time.Time, a activeAttempt, problem fleet.Problem, wait time.Duration) activeRequest {
	after := a.started.Sub(req.received)
	req.steps = append(req.steps[:len(req.steps):len(req.steps)], step{
		target: a.target, mode: a.mode, budgetCharged: a.budgetCharged, startedAfter: after, duration: now.Sub(a.started),
		cause: problem.Cause, verdict: problem.Verdict, queueWait: wait, expected: a.expected,
	})
	return req
}

// logLine returns the log line that explains how a request ended. It lists the attempts in the order in which they ended, then
// those that are still in flight.
func (req activeRequest) logLine(now time.Time, final []effect.Effect) effect.Effect {
	steps := steps(slices.Clip(req.steps))
	for _, a := range req.inFlight {
		steps = append(steps, step{
			target: a.target, mode: a.mode, budgetCharged: a.budgetCharged, startedAfter: a.started.Sub(req.received),
			expected: a.expected,
		})
	}
	line := effect.WriteLog{
		Level: effect.Info, Component: "request", Message: "request canceled by its caller", Fields: []effect.LogField{
			{Name: "Request", Value: string(req.id)},
			{Name: "Pool", Value: string(req.template.Pool)},
			{Name: "Class", Value: req.template.Class},
			{Name: "Revision", Value: uint64(req.revision)},
			{Name: "RevisionAge", Value: rounded(req.revisionAge)},
			{Name: "Elapsed", Value: rounded(now.Sub(req.received))},
			{Name: "Left", Value: rounded(req.template.Deadline.Sub(now))},
			{Name: "Steps", Value: steps},
		},
	}
	if req.parent != "" {
		line.Fields = append(line.Fields, effect.LogField{Name: "Parent", Value: string(req.parent)})
	}
	if req.template.Account != "" {
		line.Fields = append(line.Fields, effect.LogField{Name: "Account", Value: string(req.template.Account)})
	}
	for _, e := range final {
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
