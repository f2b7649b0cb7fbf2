package routing_test

import (
	"testing"

	"github.com/matryer/is"

	"jayfold.dev/jayfold/internal/core/fleet"
	"jayfold.dev/jayfold/internal/core/routing"
)

// assertRoutes checks the route of each path, given as path and route name, with routes that are named for their prefixes.
func assertRoutes(t *testing.T, prefixes []string, want map[string]string) {
	t.Helper()
	var tables fleet.Tables
	for _, prefix := range prefixes {
		tables.Routes = append(tables.Routes, fleet.Route{Name: prefix, PathPrefix: prefix})
	}
	router := routing.New(tables)
	for path, name := range want {
		t.Run(path, func(t *testing.T) {
			route, _ := router.Match(fleet.Request{Method: "POST", Path: path})
			is.New(t).Equal(route.Name, name)
		})
	}
}

// TestPrefixBeginsPath guards against a request that is handled by the rules of a route whose prefix does not begin its path: an
// order may run twice by those of a route for lookups, or run at another service.
func TestPrefixBeginsPath(t *testing.T) {
	t.Run("prefixes with a slash at the end", func(t *testing.T) {
		assertRoutes(t, []string{"/p/", "/p/2f/"}, map[string]string{
			"/p/2f":     "/p/",
			"/p/2f/":    "/p/2f/",
			"/p/2f/x":   "/p/2f/",
			"/p/2f//x":  "/p/2f/",
			"/p/2f2":    "/p/",
			"/p/2f%2Fx": "/p/",
			"/p/2f%25x": "/p/",
			"/p//2f/x":  "/p/",
			"/p/":       "/p/",
			"/p":        "",
			"/p2/":      "",
			"/p%2Fx":    "",
			"//p/2f/":   "",
			"/":         "",
			"":          "",
		})
	})

	t.Run("prefixes without a slash at the end", func(t *testing.T) {
		assertRoutes(t, []string{"/p", "/p/2f"}, map[string]string{
			"/p": "/p", "/p/": "/p", "/p/2f": "/p/2f", "/p/2f/": "/p/2f", "/p/2f/x": "/p/2f", "/p/2f2": "/p", "/p2": "",
		})
	})

	t.Run("both forms of a prefix", func(t *testing.T) {
		assertRoutes(t, []string{"/", "/p", "/p/"}, map[string]string{
			"/p": "/p", "/p/": "/p/", "/p/x": "/p/", "/p2": "/", "/": "/",
		})
	})

	t.Run("escapes in a prefix", func(t *testing.T) {
		assertRoutes(t, []string{"/p%2fq/", "/%70/r/"}, map[string]string{"/p%2Fq/x": "/p%2fq/", "/p/q/x": "", "/p/r/x": "/%70/r/"})
	})
}
