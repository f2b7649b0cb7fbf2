package tablesfile

import (
	"slices"
	"strings"

	"jayfold.dev/jayfold/internal/core/fleet"
	"jayfold.dev/jayfold/internal/edge/configfile"
)

// check returns returns the problems that involve more than one entry or field.
func (d *draft) check() configfile.Problems {
	pools, poolProblems := d.checkPoolNames()
	return slices.Concat(d.checkRoutes(pools).all(), poolProblems.all(), d.checkAccounts())
}

// problemsByEntry holds the problems of each entry of a table, by the index of the entry.
type problemsByEntry []configfile.Problems

// all returns the problems of all entries.
func (p problemsByEntry) all() configfile.Problems { return slices.Concat(p...) }

// checkRoutes returns the problems of each route that involve other entries.
func (d *draft) checkRoutes(pools fleet.Set[fleet.PoolName]) problemsByEntry {
	problems := make(problemsByEntry, len(d.routes))
	names, matched := map[string]bool{}, map[matchKey]string{}
	for i, entry := range d.routes {
		found := append(checkRouteName(entry, names), checkOverlap(entry, matched)...)
		if !d.poolsInvalid {
			found = append(found, checkReferences(entry, pools)...)
		}
		problems[i] = found
	}
	return problems
}

// checkRouteName returns a problem if an earlier route has the same name. It adds the name to seen.
func checkRouteName(entry routeEntry, seen map[string]bool) configfile.Problems {
	name := entry.route.Name
	if name != "" && seen[name] {
		return entry.namePosition.Problem("another route is called %q", name)
	}
	seen[name] = true
	return nil
}

// matchKey is what two routes must not have in common.
type matchKey struct{ host, prefix, method string }

// checkOverlap returns a problem if a route has the same host and path prefix as an earlier one and both list the same method or both
// list none. With such routes the order in the table would matter. If only one of them lists methods, it takes precedence for these
// methods. The route is added to matched, which holds the names of the routes.
func checkOverlap(entry routeEntry, matched map[matchKey]string) configfile.Problems {
	r := entry.route
	if r.PathPrefix == "" {
		return nil
	}
	methods := r.Methods
	if len(methods) == 0 {
		methods = []string{"any method"}
	}
	var problems configfile.Problems
	for _, m := range methods {
		key := matchKey{strings.ToLower(r.Host), fleet.CanonicalPath(r.PathPrefix), m}
		if other, taken := matched[key]; taken {
			problems = append(problems, entry.position.Problem("matches the same requests (%s) as route %q", m, other)...)
		}
		matched[key] = r.Name
	}
	return problems
}

// checkPoolNames returns the names of the pools, and the problems of pools with the name of an earlier one.
func (d *draft) checkPoolNames() (fleet.Set[fleet.PoolName], problemsByEntry) {
	problems := make(problemsByEntry, len(d.pools))
	var names fleet.Set[fleet.PoolName]
	for i, entry := range d.pools {
		name := entry.pool.Name
		if name != "" && names.Has(name) {
			problems[i] = entry.namePosition.Problem("another pool is called %q", name)
		}
		names = names.With(name)
	}
	return names, problems
}

// checkReferences returns the problems of a route that names no existing pool or has unusable weights.
func checkReferences(entry routeEntry, pools fleet.Set[fleet.PoolName]) configfile.Problems {
	var problems configfile.Problems
	for _, name := range entry.route.Pools() {
		if name != "" && !pools.Has(name) {
			problems = append(problems, entry.poolPosition.Problem("no pool is called %q", name)...)
		}
	}
	return append(problems, checkWeights(entry)...)
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
