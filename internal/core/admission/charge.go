package admission

import (
	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/fleet"
)

// chargesRefusal reports whether a target that refuses an attempt gives up one of its repeated attempts for it. It answers a pool of
// which most targets fail: what is repeated goes to the few healthy ones, whose parts of the retry budget are soon used up,
// while those of the failing ones are left over. The sum of what the targets count stays the same, and no message is needed.
func (s State) chargesRefusal(ctx Context, l localTarget, attempt fleet.Attempt, cause fleet.Cause) bool {
	return cause == fleet.Failing && countsAsRetry(attempt) && !attempt.BudgetCharged &&
		l.retryBudget.allows(ctx.Now, s.budgetParamsFor(ctx, attempt))
}

// refuseCharged refuses an attempt and counts it.
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
