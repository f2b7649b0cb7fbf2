package fleet

import "slices"

// Candidate is a target with the node on its host.
type Candidate struct {
	Target           Target
	Node             NodeID
	AvailabilityZone AvailabilityZone
	ForwardAddress   string
}

// Directory lists each pool's candidates in target id order.
type Directory struct {
	pools Map[PoolName, poolEntry]
}

// poolEntry is one pool of a directory.
type poolEntry struct {
	candidates []Candidate
	// zoneIndices holds the places of each availability zone's candidates. Each request looks for a target of its own zone first.
	zoneIndices map[AvailabilityZone][]int32
}

// Candidates returns the pool's candidates. The slice is shared and must not be changed.
func (d Directory) Candidates(name PoolName) []Candidate {
	l, _ := d.pools.Get(name)
	return l.candidates
}

// ZoneIndices returns the places of an availability zone's candidates among those of a pool. The slice is shared and must not be changed.
func (d Directory) ZoneIndices(name PoolName, zone AvailabilityZone) []int32 {
	l, _ := d.pools.Get(name)
	return l.zoneIndices[zone]
}

// WithPool returns the directory with other candidates for a pool.
func (d Directory) WithPool(name PoolName, candidates []Candidate) Directory {
	if len(candidates) == 0 {
		return Directory{pools: d.pools.Without(name)}
	}
	zones := make(map[AvailabilityZone][]int32)
	for i, c := range candidates {
		zones[c.AvailabilityZone] = append(zones[c.AvailabilityZone], int32(i))
	}
	return Directory{pools: d.pools.With(name, poolEntry{candidates: candidates, zoneIndices: zones})}
}

// WithMember returns the directory after a member's record changed from old to changed. Targets of a member that is
// leaving or dead are left out. Only the pools in which the member's candidates changed are made anew, since a record has
// some 14 pools and most changes concern one; a change of sequence or of suspicion alone changes none.
func (d Directory) WithMember(old, changed Member) Directory {
	for _, pool := range changedPools(old, changed) {
		d = d.WithPool(pool, d.replaceNode(pool, changed.Node, candidatesOf(changed, pool)))
	}
	return d
}

// changedPools returns the pools in which two records of a member may have different candidates.
func changedPools(old, changed Member) []PoolName {
	alike := old.Routable() == changed.Routable() && old.AvailabilityZone == changed.AvailabilityZone &&
		old.ForwardAddress == changed.ForwardAddress && len(old.Targets) == len(changed.Targets)
	var pools []PoolName
	add := func(pool PoolName) {
		if !slices.Contains(pools, pool) {
			pools = append(pools, pool)
		}
	}
	for i, t := range old.Targets {
		if !alike || t != changed.Targets[i] {
			add(t.Pool)
		}
	}
	for i, t := range changed.Targets {
		if !alike || t != old.Targets[i] {
			add(t.Pool)
		}
	}
	return pools
}

// replaceNode returns the pool's candidates with those of a node replaceNode by the given ones.
func (d Directory) replaceNode(pool PoolName, node NodeID, mine []Candidate) []Candidate {
	merged := make([]Candidate, 0, len(d.Candidates(pool))+len(mine))
	for _, c := range d.Candidates(pool) {
		if c.Node == node {
			continue
		}
		for len(mine) > 0 && mine[0].Target.ID < c.Target.ID {
			merged = append(merged, mine[0])
			mine = mine[1:]
		}
		merged = append(merged, c)
	}
	return append(merged, mine...)
}

// candidatesOf returns the candidates of a member for a pool.
func candidatesOf(member Member, pool PoolName) []Candidate {
	if !member.Routable() {
		return nil
	}
	var candidates []Candidate
	for _, t := range member.Targets {
		if t.Pool != pool || t.State != TargetReady {
			continue
		}
		candidates = append(candidates, Candidate{
			Target:           t,
			Node:             member.Node,
			AvailabilityZone: member.AvailabilityZone,
			ForwardAddress:   member.ForwardAddress,
		})
	}
	return candidates
}
