package attempt

import (
	"fmt"
	"testing"
	"time"

	"jayfold.dev/jayfold/internal/core/fleet"
)

// poolOf returns an ingress in zone z0 with a pool of the given size in three zones, all targets of which have reported.
func poolOf(size int, wait time.Duration) *harness {
	h := newCostHarness()
	var directory fleet.Directory
	candidates := make([]fleet.Candidate, 0, size)
	for i := range size {
		node := fleet.NodeID(fmt.Sprintf("n%03d", i))
		candidates = append(candidates, fleet.Candidate{
			Target: fleet.Target{ID: fleet.NewTargetID(node, "t"), Pool: "p", Slots: 4}, Node: node,
			AvailabilityZone: fleet.AvailabilityZone(fmt.Sprintf("z%d", i%3)),
		})
	}
	h.state.zone = "z0"
	h.ctx.Directory = directory.WithPool("p", candidates)
	for i, c := range candidates {
		h.report(c.Target.ID, c.AvailabilityZone, wait, time.Duration(100+i)*time.Millisecond)
	}
	return h
}

// BenchmarkChoice measures the choice of a target of a pool of 100.
func BenchmarkChoice(b *testing.B) {
	for name, wait := range map[string]time.Duration{"free": 0, "full": 100 * time.Millisecond, "overloaded": 10 * time.Second} {
		b.Run(name, func(b *testing.B) {
			h := poolOf(100, wait)
			req := activeRequest{template: fleet.Attempt{
				Pool: "p", Deadline: h.ctx.Now.Add(2 * time.Second), Goal: h.ctx.Now.Add(time.Second),
			}}
			for b.Loop() {
				h.nextRandom()
				h.state.pickTarget(h.ctx, req)
			}
		})
	}
}
