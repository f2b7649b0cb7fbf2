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

// Router finds the route of a request. It is built once per revision of the tables.
type Router struct {
	// routes holds the routes by path prefix, those with more specific conditions first.
	routes   map[string][]fleet.Route
	services map[fleet.PoolName]string
}

// New returns a router over the routes of tables.
func New(tables fleet.Tables) Router {
	routes := make(map[string][]fleet.Route, len(tables.Routes))
	for _, route := range tables.Routes {
		prefix := strings.TrimSuffix(route.PathPrefix, "/")
		routes[prefix] = append(routes[prefix], route)
	}
	for _, same := range routes {
		slices.SortStableFunc(same, bySpecificity)
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

// bySpecificity puts routes with a host before those without, then routes with methods before those without.
func bySpecificity(a, b fleet.Route) int {
	return conditions(b) - conditions(a)
}

func conditions(route fleet.Route) int {
	count := 0
	if route.Host != "" {
		count += 2
	}
	if len(route.Methods) > 0 {
		count++
	}
	return count
}

// Match returns the matching route with the longest path prefix.
func (r Router) Match(request fleet.Request) (fleet.Route, bool) {
	for prefix := strings.TrimSuffix(request.Path, "/"); ; {
		for _, route := range r.routes[prefix] {
			if matches(route, request) {
				return route, true
			}
		}
		cut := strings.LastIndexByte(prefix, '/')
		if cut < 0 {
			return fleet.Route{}, false
		}
		prefix = prefix[:cut]
	}
}

func matches(route fleet.Route, request fleet.Request) bool {
	if route.Host != "" && !strings.EqualFold(route.Host, request.Host) {
		return false
	}
	return len(route.Methods) == 0 || slices.Contains(route.Methods, request.Method)
}

// IsIdempotent reports whether a request may run more than once. A caller can withdraw that permission but not grant it.
func IsIdempotent(route fleet.Route, request fleet.Request) bool {
	if !request.Idempotent.Or(true) || request.Key != "" {
		return false
	}
	if route.Class == fleet.Order {
		return false
	}
	return route.Idempotent.Or(request.Method != "POST" && request.Method != "PATCH")
}
