package fleet

// Candidate is a target with the node beside it.
type Candidate struct {
	Target           Target
	Node             NodeID
	AvailabilityZone AvailabilityZone
	ForwardAddress   string
}

// Directory lists each pool's candidates in target id order.
type Directory struct {
	pools Map[PoolName, []Candidate]
}

// Pool returns the pool's candidates. The slice is shared and must not be changed.
func (d Directory) Pool(name PoolName) []Candidate {
	candidates, _ := d.pools.Get(name)
	return candidates
}

// WithPool returns the directory with other candidates for a pool.
func (d Directory) WithPool(name PoolName, candidates []Candidate) Directory {
	if len(candidates) == 0 {
		return Directory{pools: d.pools.Without(name)}
	}
	return Directory{pools: d.pools.With(name, candidates)}
}

// WithMember returns the directory after a member's record changed from old to changed. Targets of a member that is
// leaving or dead are left out.
func (d Directory) WithMember(old, changed Member) Directory {
	for pool := range poolsOf(old, changed).All() {
		d = d.WithPool(pool, d.replaced(pool, changed))
	}
	return d
}

// replaced returns the pool's candidates with those of member's node replaced.
func (d Directory) replaced(pool PoolName, member Member) []Candidate {
	var mine []Candidate
	if member.Status == Alive || member.Status == Suspect {
		mine = candidatesOf(member, pool)
	}
	merged := make([]Candidate, 0, len(d.Pool(pool))+len(mine))
	for _, c := range d.Pool(pool) {
		if c.Node == member.Node {
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

func candidatesOf(member Member, pool PoolName) []Candidate {
	var candidates []Candidate
	for _, t := range member.Targets {
		if t.Pool != pool || t.State != Ready {
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

func poolsOf(members ...Member) Set[PoolName] {
	var pools Set[PoolName]
	for _, m := range members {
		for _, t := range m.Targets {
			pools = pools.With(t.Pool)
		}
	}
	return pools
}
