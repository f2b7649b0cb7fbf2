package node

import (
	"cmp"
	"time"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/event"
	"jayfold.dev/jayfold/internal/core/fleet"
	"jayfold.dev/jayfold/internal/core/message"
	"jayfold.dev/jayfold/internal/core/usage"
)

// usageContext returns the context of the usage component.
func (s State) usageContext(ev event.Event) usage.Context {
	return usage.Context{
		Now:      ev.At,
		Random:   ev.Random,
		Accounts: s.tables.Current().Accounts,
		Members:  s.membership.All(),
	}
}

// isRateLimited reports whether requests of an account need a token.
func (s State) isRateLimited(name fleet.AccountName) bool {
	if name == "" {
		return false
	}
	account, ok := s.tables.Current().Accounts.Get(name)
	return ok && account.Rate > 0
}

// withUsage returns the state after a step of the usage component: requests that have a token start, others are refused.
func (s State) withUsage(ev event.Event, next usage.State, result usage.Result) (State, []effect.Effect) {
	s.usage = &next
	effects := result.Effects
	for _, admitted := range result.Admitted {
		var started []effect.Effect
		s, started = s.resumeRequest(ev, admitted.Request, admitted.Arrived)
		effects = append(effects, started...)
	}
	for _, refused := range result.Refused {
		effects = append(effects, effect.RefuseRequest{
			Request: refused.Request.ID, Problem: refused.Problem, Parent: refused.Request.Parent,
		})
	}
	return s, effects
}

// limitRequest lets a request of a rate-limited account wait for a token if there is none.
func (s State) limitRequest(ev event.Event, accepted acceptedRequest) (State, []effect.Effect) {
	request, left := accepted.request, accepted.route.Deadline
	if request.Timeout > 0 {
		left = min(left, request.Timeout)
	}
	goal := min(cmp.Or(accepted.route.Goal, left), left)
	next, result := s.usage.RequestArrived(s.usageContext(ev), request, usage.WaitLimit(goal, left))
	return s.withUsage(ev, next, result)
}

// usageMessageReceived passes a message to the usage component.
func (s State) usageMessageReceived(ev event.Event, envelope message.Envelope) (State, []effect.Effect) {
	next, result := s.usage.MessageReceived(s.usageContext(ev), envelope)
	return s.withUsage(ev, next, result)
}

// returnTokens returns the tokens of requests that were refused without having run.
func (s State) returnTokens(ev event.Event, effects []effect.Effect) (State, []effect.Effect) {
	if !s.usage.HasSpent() {
		return s, effects
	}
	for _, e := range effects {
		if refusal, ok := e.(effect.RefuseRequest); ok && refusal.Problem.Verdict == fleet.NotRun {
			next, result := s.usage.RequestNotRun(s.usageContext(ev), refusal.Request)
			var more []effect.Effect
			s, more = s.withUsage(ev, next, result)
			effects = append(effects, more...)
		}
	}
	return s, effects
}

// tickUsage runs the periodic work of the usage component.
func (s State) tickUsage(ev event.Event) (State, []effect.Effect) {
	if !s.usage.Active() {
		return s, nil
	}
	next, result := s.usage.Tick(s.usageContext(ev))
	return s.withUsage(ev, next, result)
}

// usageTablesChanged applies the rate limits of the tables in force.
func (s State) usageTablesChanged(ev event.Event) (State, []effect.Effect) {
	if !s.usage.Active() && s.tables.Current().Accounts.Len() == 0 {
		return s, nil
	}
	next, result := s.usage.TablesChanged(s.usageContext(ev))
	return s.withUsage(ev, next, result)
}

// usageSendFailed informs the usage component of a node that cannot be reached.
func (s State) usageSendFailed(ev event.Event, to fleet.NodeID) (State, []effect.Effect) {
	if !s.usage.Active() {
		return s, nil
	}
	next, result := s.usage.MessageSendFailed(s.usageContext(ev), to)
	return s.withUsage(ev, next, result)
}

// remaining returns what is left of a limit after a wait; at least a millisecond, because 0 means no limit.
func remaining(limit, waited time.Duration) time.Duration {
	if limit == 0 {
		return 0
	}
	return max(time.Millisecond, limit-waited)
}
