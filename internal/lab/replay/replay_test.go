package replay

import (
	"testing"

	"github.com/matryer/is"
)

var seeds = []uint64{1, 2, 3}

// TestPatterns guards against queueing, admission and load balancing that give callers a lower payoff than the baselines, and
// against retries beyond the retry budget that the nodes share.
func TestPatterns(t *testing.T) {
	for _, p := range Patterns {
		t.Run(p.Name, func(t *testing.T) {
			t.Parallel()
			own := Mean(p, Jayfold, seeds)
			for _, baseline := range Policies[1:] {
				assertNotWorse(t, own, Mean(p, baseline, seeds))
			}
			assertWithinRetryBudget(t, own)
		})
	}
}

func assertNotWorse(t *testing.T, own, baseline Result) {
	t.Helper()
	if own.WorseThan(baseline) {
		t.Errorf("net payoff %.3f, of the baseline %.3f\n%+v\n%+v", own.NetPayoff, baseline.NetPayoff, own, baseline)
	}
}

func assertWithinRetryBudget(t *testing.T, own Result) {
	t.Helper()
	is.New(t).Equal(own.OverBudget, 0)
}

// TestSeed guards against results that cannot be reproduced from their seed.
func TestSeed(t *testing.T) {
	for _, policy := range Policies {
		t.Run(policy.Name, func(t *testing.T) {
			t.Parallel()
			is.New(t).Equal(Run(Patterns[0], policy, 7), Run(Patterns[0], policy, 7))
		})
	}
}
