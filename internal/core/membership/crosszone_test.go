package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"jayfold.dev/jayfold/internal/core/fleet"
)

// TestCrossZoneShare guards against zones that send each record to the others once for each of their nodes and again twice: in zones
// of 28 nodes the copies were most of the bytes between zones on a calm day.
func TestCrossZoneShare(t *testing.T) {
	for _, c := range []struct {
		zoneSize int
		metered  bool
		want     int
	}{
		{8, true, crossZoneSends}, {1, true, crossZoneSends}, {12, true, 2}, {28, true, 1}, {77, true, 1}, {28, false, crossZoneSends},
	} {
		t.Run(fmt.Sprintf("%d nodes, metered %t", c.zoneSize, c.metered), func(t *testing.T) {
			s := New(fleet.Member{Node: "n0", AvailabilityZone: "z0"}).WithMeteredZones(c.metered)
			for i := 1; i < c.zoneSize; i++ {
				s = s.withRecord(fleet.Member{Node: fleet.NodeID(fmt.Sprintf("n%d", i)), AvailabilityZone: "z0"})
			}
			is.New(t).Equal(s.crossZoneShare(crossZoneSends), c.want)
		})
	}
}

// newLargeZones starts a fleet of three zones of 26 nodes.
func newLargeZones(seed uint64, metered bool) *network {
	n := startTogether(26, seed, 0)
	for _, p := range n.processes {
		p.state = p.state.WithMeteredZones(metered)
	}
	return n
}

// TestMeteredZonesKnowAllTargetsSoon guards against a fleet of large zones in which the fewer copies of a record reach other zones
// later or not at all, compared with one that sends every copy: requests would then find only a part of the targets.
func TestMeteredZonesKnowAllTargetsSoon(t *testing.T) {
	for seed := range uint64(5) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			is := is.New(t)
			metered, free := newLargeZones(seed, true), newLargeZones(seed, false)
			for range 2 {
				metered.run(10 * time.Second)
				free.run(10 * time.Second)
				is.True(metered.fewestKnown() >= free.fewestKnown()-1) // one of 78 targets
			}
		})
	}
}
