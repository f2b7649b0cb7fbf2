package tablesfile

import (
	"strings"

	"jayfold.dev/jayfold/internal/core/fleet"
	"jayfold.dev/jayfold/internal/edge/configfile"
)

// check returns the problems that involve more than one entry or field.
func (d *draft) check() configfile.Problems {
	problems := d.checkRouteNames()
	problems = append(problems, d.checkOverlaps()...)
	pools, poolProblems := d.checkPoolNames()
	if !d.poolsInvalid {
		problems = append(problems, d.checkReferences(pools)...)
	}
	return append(problems, poolProblems...)
}

func (d *draft) checkRouteNames() configfile.Problems {
	var problems configfile.Problems
	seen := map[string]bool{}
	for _, entry := range d.routes {
		name := entry.route.Name
		if name != "" && seen[name] {
			problems = append(problems, entry.namePosition.Problem("another route is called %q", name)...)
		}
		seen[name] = true
	}
	return problems
}

// checkOverlaps returns a problem for each route that has the same host and path prefix as an earlier one, if both list the same
// method or both list none. With such routes the order in the table would matter. If only one of them lists methods, it takes
// precedence for these methods.
func (d *draft) checkOverlaps() configfile.Problems {
	type matchKey struct{ host, prefix, method string }
	var problems configfile.Problems
	routeNames := map[matchKey]string{}
	for _, entry := range d.routes {
		r := entry.route
		if r.PathPrefix == "" {
			continue
		}
		methods := r.Methods
		if len(methods) == 0 {
			methods = []string{"any method"}
		}
		for _, m := range methods {
			key := matchKey{strings.ToLower(r.Host), fleet.CanonicalPath(r.PathPrefix), m}
			if other, taken := routeNames[key]; taken {
				problems = append(problems, entry.position.Problem("matches the same requests (%s) as route %q", m, other)...)
			}
			routeNames[key] = r.Name
		}
	}
	return problems
}

func (d *draft) checkPoolNames() (fleet.Set[fleet.PoolName], configfile.Problems) {
	var problems configfile.Problems
	var names fleet.Set[fleet.PoolName]
	for _, entry := range d.pools {
		name := entry.pool.Name
		if name != "" && names.Has(name) {
			problems = append(problems, entry.namePosition.Problem("another pool is called %q", name)...)
		}
		names = names.With(name)
	}
	return names, problems
}

func (d *draft) checkReferences(pools fleet.Set[fleet.PoolName]) configfile.Problems {
	var problems configfile.Problems
	for _, entry := range d.routes {
		for _, name := range entry.route.Pools() {
			if name != "" && !pools.Has(name) {
				problems = append(problems, entry.poolPosition.Problem("no pool is called %q", name)...)
			}
		}
		problems = append(problems, checkWeights(entry)...)
	}
	return problems
}

// checkWeights returns the problems of a split that lists a pool twice or in which every weight is 0.
func checkWeights(entry routeEntry) configfile.Problems {
	split := entry.route.Split
	if len(split) == 0 {
		return nil
	}
	var problems configfile.Problems
	var seen fleet.Set[fleet.PoolName]
	total := 0
	for _, share := range split {
		if seen.Has(share.Pool) {
			problems = append(problems, entry.poolPosition.Problem("pool %q is listed twice", share.Pool)...)
		}
		seen = seen.With(share.Pool)
		total += share.Weight
	}
	if total == 0 {
		problems = append(problems, entry.poolPosition.Problem("every weight is 0")...)
	}
	return problems
}
