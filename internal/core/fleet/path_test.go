package fleet_test

import (
	"testing"

	"github.com/matryer/is"

	"jayfold.dev/jayfold/internal/core/fleet"
)

// TestCanonicalPath guards against two forms of one path that have different routes, and against an escaped slash that counts as
// one between segments.
func TestCanonicalPath(t *testing.T) {
	for escaped, want := range map[string]string{
		"/a/b":      "/a/b",
		"/%61/%7C":  "/a/|",
		"/a%2fb%2F": "/a%2Fb%2F",
		"/a%252Fb":  "/a%252Fb",
		"/100%":     "/100%",
		"/%zz%4":    "/%zz%4",
	} {
		t.Run(escaped, func(t *testing.T) { is.New(t).Equal(fleet.CanonicalPath(escaped), want) })
	}
}
