package fleet_test

import (
	"fmt"
	"maps"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"jayfold.dev/jayfold/internal/core/fleet"
)

// TestHashMap guards against lost entries, removed entries that reappear, and changes that affect the map they were derived from.
func TestHashMap(t *testing.T) {
	t.Run("the zero value is empty", func(t *testing.T) {
		is := is.New(t)
		var m fleet.HashMap[string, int]
		_, ok := m.Get("a")
		is.True(!ok)
		is.Equal(m.Len(), 0)
		is.Equal(m.Without("a").Len(), 0)
		is.Equal(len(maps.Collect(m.All())), 0)
	})
	t.Run("behaves like a built-in map", rapid.MakeCheck(func(t *rapid.T) {
		is := is.New(t)
		var m fleet.HashMap[string, int]
		want := map[string]int{}
		for i := range rapid.IntRange(1, 300).Draw(t, "changes") {
			key := fmt.Sprint(rapid.IntRange(0, 80).Draw(t, "key"))
			before, kept := m, maps.Clone(want)
			if rapid.Bool().Draw(t, "remove") {
				m = m.Without(key)
				delete(want, key)
			} else {
				m = m.With(key, i)
				want[key] = i
			}
			assertEntries(is, before, kept)
		}
		assertEntries(is, m, want)
	}))
}

func assertEntries(t *is.I, m fleet.HashMap[string, int], want map[string]int) {
	t.Helper()
	t.Equal(m.Len(), len(want))
	t.Equal(maps.Collect(m.All()), want)
	for key, value := range want {
		got, ok := m.Get(key)
		t.True(ok)
		t.Equal(got, value)
	}
}

// TestDirectoryZoneIndices guards against zone indices that point to targets of another availability zone after the fleet has
// changed.
func TestDirectoryZoneIndices(t *testing.T) {
	is := is.New(t)
	member := func(node fleet.NodeID, zone fleet.AvailabilityZone) fleet.Member {
		return fleet.Member{Node: node, AvailabilityZone: zone, Targets: []fleet.Target{{
			ID: fleet.NewTargetID(node, "t"), Pool: "p",
		}}}
	}
	var d fleet.Directory
	var none fleet.Member
	for _, m := range []fleet.Member{member("n2", "a"), member("n1", "b"), member("n3", "b")} {
		d = d.WithMember(none, m)
	}
	is.Equal(d.ZoneIndices("p", "a"), []int32{1})
	is.Equal(d.ZoneIndices("p", "b"), []int32{0, 2})
	d = d.WithMember(member("n1", "b"), member("n1", "b").WithStatus(fleet.Dead))
	is.Equal(d.ZoneIndices("p", "a"), []int32{0})
	is.Equal(d.ZoneIndices("p", "b"), []int32{1})
	is.Equal(len(d.ZoneIndices("p", "c")), 0)
}
