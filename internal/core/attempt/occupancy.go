package attempt

import "jayfold.dev/jayfold/internal/core/fleet"

// occupancy counts this ingress's attempts in flight by target.
type occupancy struct {
	counts fleet.HashMap[fleet.TargetID, int]
}

func (o occupancy) count(id fleet.TargetID) int {
	count, _ := o.counts.Get(id)
	return count
}

// occupied returns the counts with one more attempt on a target.
func (o occupancy) occupied(id fleet.TargetID) occupancy {
	return occupancy{counts: o.counts.With(id, o.count(id)+1)}
}

// released returns the counts with one attempt less on a target.
func (o occupancy) released(id fleet.TargetID) occupancy {
	if count := o.count(id); count > 1 {
		return occupancy{counts: o.counts.With(id, count-1)}
	}
	return occupancy{counts: o.counts.Without(id)}
}
