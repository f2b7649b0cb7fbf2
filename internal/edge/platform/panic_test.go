package platform_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/event"
	"jayfold.dev/jayfold/internal/edge/platform"
	"jayfold.dev/jayfold/internal/edge/recovery"
)

// TestPanicInACallIsContained guards against an unexpected error in a call to the platform that ends the process.
func TestPanicInACallIsContained(t *testing.T) {
	is := is.New(t)
	posted := make(chan event.Body, 1)
	client := platform.New(platform.Seams{
		Store:    platform.Store{List: func(context.Context, string) (platform.List, error) { panic("simulated") }},
		Post:     func(body event.Body) { posted <- body },
		Recovery: recovery.New(recovery.Seams{Now: time.Now, Observe: func(effect.Effect) {}}),
	})
	defer client.Close()
	client.ListMembers(effect.ListMembers{})
	failed, ok := (<-posted).(event.PlatformCallFailed)
	is.True(ok)
	is.Equal(failed.Call, event.CallListMembers)
}
