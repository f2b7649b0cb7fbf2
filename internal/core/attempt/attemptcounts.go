package attempt

import "jayfold.dev/jayfold/internal/core/fleet"

// attemptCounts counts this ingress's attempts in flight by target.
type attemptCounts struct {
	counts fleet.HashMap[fleet.TargetID, int]
}

func (c attemptCounts) count(id fleet.TargetID) int {
	count, _ := c.counts.Get(id)
	return count
}

// incremented returns the counts with one more attempt on a target.
func (c attemptCounts) incremented(id fleet.TargetID) attemptCounts {
	return attemptCounts{counts: c.counts.With(id, c.count(id)+1)}
}

// decremented returns the counts with one attempt fewer on a target.
func (c attemptCounts) decremented(id fleet.TargetID) attemptCounts {
	if count := c.count(id); count > 1 {
		return attemptCounts{counts: c.counts.With(id, count-1)}
	}
	return attemptCounts{counts: c.counts.Without(id)}
}
