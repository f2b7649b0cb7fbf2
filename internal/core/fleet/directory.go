package fleet

import "slices"

// Candidate is a target that may serve a request, with the address and zone of the node on its host.
type Candidate struct {
	Target           Target
	Node             NodeID
	AvailabilityZone AvailabilityZone
	ForwardAddress   string
}

// Directory lists the candidates of each pool in target id order.
type Directory struct {
	pools Map[PoolName, poolEntry]
}

type poolEntry struct {
	candidates []Candidate
	// zoneIndices holds the indices into candidates by availability zone. Every request looks for a target in its own zone first.
	zoneIndices map[AvailabilityZone][]int32
}

// Candidates returns the candidates of a pool. The slice is shared and must not be modified.
func (d Directory) Candidates(name PoolName) []Candidate {
	entry, _ := d.pools.Get(name)
	return entry.candidates
}

// ZoneIndices returns the indices, within a pool's candidates, of those in an availability zone. The slice is shared and must
// not be modified.
func (d Directory) ZoneIndices(name PoolName, zone AvailabilityZone) []int32 {
	entry, _ := d.pools.Get(name)
	return entry.zoneIndices[zone]
}

// WithPool returns the directory with the candidates of one pool replaced.
func (d Directory) WithPool(name PoolName, candidates []Candidate) Directory {
	if len(candidates) == 0 {
		return Directory{pools: d.pools.Without(name)}
	}
	zoneIndices := make(map[AvailabilityZone][]int32)
	for i, c := range candidates {
		zoneIndices[c.AvailabilityZone] = append(zoneIndices[c.AvailabilityZone], int32(i))
	}
	return Directory{pools: d.pools.With(name, poolEntry{candidates: candidates, zoneIndices: zoneIndices})}
}

// WithMember returns the directory after a member's record has changed from old to changed. It leaves out draining targets and
// the targets of leaving and dead members. Only pools whose candidates differ are rebuilt: a record has about 14 pools and most
// changes affect one of them, while a new sequence number or a suspicion affects none.
func (d Directory) WithMember(old, changed Member) Directory {
	for _, pool := range changedPools(old, changed) {
		d = d.WithPool(pool, d.replaceNode(pool, changed.Node, candidatesOf(changed, pool)))
	}
	return d
}

// changedPools returns the pools whose candidates may differ between two records of a member.
func changedPools(old, changed Member) []PoolName {
	sameNode := old.Routable() == changed.Routable() && old.AvailabilityZone == changed.AvailabilityZone &&
		old.ForwardAddress == changed.ForwardAddress && len(old.Targets) == len(changed.Targets)
	var pools []PoolName
	add := func(pool PoolName) {
		if !slices.Contains(pools, pool) {
			pools = append(pools, pool)
		}
	}
	for i, t := range old.Targets {
		if !sameNode || t != changed.Targets[i] {
			add(t.Pool)
		}
	}
	for i, t := range changed.Targets {
		if !sameNode || t != old.Targets[i] {
			add(t.Pool)
		}
	}
	return pools
}

// replaceNode returns the pool's candidates with those of node replaced. Both lists are in target id order.
func (d Directory) replaceNode(pool PoolName, node NodeID, replacements []Candidate) []Candidate {
	merged := make([]Candidate, 0, len(d.Candidates(pool))+len(replacements))
	for _, c := range d.Candidates(pool) {
		if c.Node == node {
			continue
		}
		for len(replacements) > 0 && replacements[0].Target.ID < c.Target.ID {
			merged = append(merged, replacements[0])
			replacements = replacements[1:]
		}
		merged = append(merged, c)
	}
	return append(merged, replacements...)
}

// candidatesOf returns a member's candidates for a pool.
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
