package replay

import "testing"

// Bounds of placement by cost against placement by count.
const (
	// maxCrossingShare is the largest share of the attempts in other zones, where the pool as a whole is not overloaded.
	maxCrossingShare = 0.5
	// refusalNoise is the difference in the share of refused requests that occurs by chance.
	refusalNoise = 0.005
)

// TestPlacementByCost guards against placement by cost that gives callers a lower payoff than placement by count, refuses requests
// that it serves, or sends as many to other zones.
func TestPlacementByCost(t *testing.T) {
	for _, p := range PlacementPatterns {
		t.Run(p.Name, func(t *testing.T) {
			t.Parallel()
			byCount, byCost := Run(p, Jayfold, seeds[0]), Run(p, JayfoldByCost, seeds[0])
			assertNotWorse(t, byCost, byCount)
			if byCost.Refused > byCount.Refused+refusalNoise {
				t.Errorf("refused %.3f by cost, %.3f by count", byCost.Refused, byCount.Refused)
			}
			if byCost.Crossings > maxCrossingShare*byCount.Crossings {
				t.Errorf("attempts in other zones per request: %.3f by cost, %.3f by count", byCost.Crossings, byCount.Crossings)
			}
			assertWithinRetryBudget(t, byCost)
		})
	}
}
