package admission

import (
	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/fleet"
)

// chargesRefusal reports whether a failing target that refuses a retry charges it to its own share of the retry budget, so that
// another target can run it without a further charge. If most targets of a pool fail, the retries go to the few healthy ones,
// whose shares are soon spent while those of the failing targets remain unused. Charging refusals keeps the total within the
// pool's budget and needs no messages.
func (s State) chargesRefusal(ctx Context, l localTarget, attempt fleet.Attempt, cause fleet.Cause) bool {
	return cause == fleet.Failing && countsAsRetry(attempt) && !attempt.BudgetCharged &&
		l.retryBudget.allows(ctx.Now, s.budgetParamsFor(ctx, attempt))
}

// refuseCharged refuses an attempt and charges it to the target's share of the retry budget.
func (s State) refuseCharged(ctx Context, l localTarget, attempt fleet.Attempt, cause fleet.Cause) (State, []effect.Effect) {
	l.retryBudget = l.retryBudget.withChargedRefusal(ctx.Now, s.budgetParamsFor(ctx, attempt))
	s.targets = s.targets.With(attempt.Target, l)
	effects := s.refuse(ctx.Now, attempt, cause)
	for i, e := range effects {
		if refusal, ok := e.(effect.RefuseAttempt); ok {
			refusal.Report.BudgetCharged = true
			effects[i] = refusal
		}
	}
	return s, effects
}
