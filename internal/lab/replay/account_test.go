package replay

import (
	"testing"
)

// minShare is the lowest share of an account's requests that may be served, relative to that over all accounts.
const minShare = 0.25

// TestSharing guards against an account that starves another, however many requests it sends or repeats.
func TestSharing(t *testing.T) {
	for _, p := range sharingPatterns {
		t.Run(p.Name, func(t *testing.T) {
			t.Parallel()
			for _, seed := range seeds {
				own := Run(p, Jayfold, seed)
				t.Logf("%s, seed %d: lowest share %.2f, others served %.3f, net payoff %.3f", p.Name, seed, own.LowestShare, own.OthersServed, own.NetPayoff)
				if own.LowestShare < minShare {
					t.Errorf("seed %d: the lowest share is %.3f", seed, own.LowestShare)
				}
			}
		})
	}
}
