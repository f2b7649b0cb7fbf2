// Package routing matches requests against the routes table in force.
//
// # Usage
//
//	router := routing.New(tables)
//	route, ok := router.Match(request)
package routing

import (
	"slices"
	"strings"

	"jayfold.dev/jayfold/internal/core/fleet"
)

// Router finds the route of a request. It is built once for each revision of the tables.
type Router struct {
	// routes holds the routes by canonical path prefix, most specific first.
	routes map[string][]fleet.Route
	// services holds the service of each pool.
	services map[fleet.PoolName]string
}

// New returns a router for the given tables.
func New(tables fleet.Tables) Router {
	routes := make(map[string][]fleet.Route, len(tables.Routes))
	for _, route := range tables.Routes {
		prefix := fleet.CanonicalPath(route.PathPrefix)
		routes[prefix] = append(routes[prefix], route)
	}
	for _, samePrefix := range routes {
		slices.SortStableFunc(samePrefix, bySpecificity)
	}
	services := make(map[fleet.PoolName]string, tables.Pools.Len())
	for name, pool := range tables.Pools.All() {
		services[name] = pool.Service
	}
	return Router{routes: routes, services: services}
}

// Service returns the service of a pool.
func (r Router) Service(pool fleet.PoolName) (string, bool) {
	service, ok := r.services[pool]
	return service, ok
}

// bySpecificity orders routes with a host before those without, then routes with methods before those without.
func bySpecificity(a, b fleet.Route) int {
	return specificity(b) - specificity(a)
}

func specificity(route fleet.Route) int {
	score := 0
	if route.Host != "" {
		score += 2
	}
	if len(route.Methods) > 0 {
		score++
	}
	return score
}

// Match returns the matching route with the longest path prefix. If there are several, it returns the most specific one.
func (r Router) Match(request fleet.Request) (fleet.Route, bool) {
	for prefix := request.Path; prefix != ""; prefix = shorterPrefix(prefix) {
		for _, route := range r.routes[prefix] {
			if matches(route, request) {
				return route, true
			}
		}
	}
	return fleet.Route{}, false
}

// shorterPrefix returns the next shorter prefix of a path that a route may have: first without the slash at its end, then without
// its last segment. After the slash of the root it returns "".
func shorterPrefix(prefix string) string {
	if trimmed, ok := strings.CutSuffix(prefix, "/"); ok {
		return trimmed
	}
	return prefix[:strings.LastIndexByte(prefix, '/')+1]
}

func matches(route fleet.Route, request fleet.Request) bool {
	if route.Host != "" && !strings.EqualFold(route.Host, request.Host) {
		return false
	}
	return len(route.Methods) == 0 || slices.Contains(route.Methods, request.Method)
}

// IsIdempotent reports whether a request may run more than once. A caller can declare a request not idempotent, also by sending
// an idempotency key, but it cannot declare a request idempotent if the route does not.
func IsIdempotent(route fleet.Route, request fleet.Request) bool {
	if !request.Idempotent.Or(true) || request.Key != "" {
		return false
	}
	if route.Class == fleet.Order {
		return false
	}
	return route.Idempotent.Or(request.Method != "POST" && request.Method != "PATCH")
}
