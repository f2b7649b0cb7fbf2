package control_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/event"
	"jayfold.dev/jayfold/internal/core/fleet"
	"jayfold.dev/jayfold/internal/core/node"
	"jayfold.dev/jayfold/internal/process/control"
)

// TestWait guards against a stop that closes the edges while the loop still dispatches effects to them.
func TestWait(t *testing.T) {
	is := is.New(t)
	dispatching, release := make(chan struct{}, 1), make(chan struct{})
	loop := control.New(node.New(fleet.Member{Node: "node-1"}, node.DefaultSettings()), control.Seams{
		Now:    time.Now,
		Random: func() uint64 { return 0 },
		Dispatch: func(effect.Effect) {
			select {
			case dispatching <- struct{}{}:
			default:
			}
			<-release
		},
	})
	ctx, cancel := context.WithCancel(t.Context())
	go loop.Run(ctx)
	loop.Post(event.StatusRequested{})
	<-dispatching
	cancel()
	returned := make(chan struct{})
	go func() {
		loop.Wait()
		close(returned)
	}()
	is.True(!closedWithin(returned, 50*time.Millisecond)) // Wait must not return while an effect is dispatched
	close(release)
	is.True(closedWithin(returned, 10*time.Second))
}

func closedWithin(c <-chan struct{}, d time.Duration) bool {
	select {
	case <-c:
		return true
	case <-time.After(d):
		return false
	}
}
