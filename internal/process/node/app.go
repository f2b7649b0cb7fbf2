// Package node assembles one jayfold node: its control loop, its edges and its listeners.
//
// # Usage
//
//	app := node.New(settings, node.NewSeams(settings, handler))
//	if err := app.Start(ctx); err != nil { ... }
//	<-app.Done()
//	err := app.Stop(ctx) // leaves the fleet and completes the requests in flight
//
// Several nodes can run in one process, as the demo does.
package node

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/apex/log"
	"go.uber.org/fx"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/event"
	"jayfold.dev/jayfold/internal/core/fleet"
	"jayfold.dev/jayfold/internal/core/node"
	"jayfold.dev/jayfold/internal/edge/caller"
	"jayfold.dev/jayfold/internal/edge/operator"
	"jayfold.dev/jayfold/internal/edge/peer"
	"jayfold.dev/jayfold/internal/edge/platform"
	"jayfold.dev/jayfold/internal/edge/recovery"
	"jayfold.dev/jayfold/internal/edge/target"
	"jayfold.dev/jayfold/internal/process/control"
	"jayfold.dev/jayfold/internal/process/settings"
)

const (
	startTimeout = 10 * time.Second
)

// Seams are the external dependencies of a node: the log handler and the protocols for callers, targets and the platform.
type Seams struct {
	// Log writes the log lines.
	Log        log.Handler
	Callers    caller.Protocol
	Targets    target.Protocol
	Heartbeats target.HeartbeatAPI
	Store      platform.Store
}

// NewSeams returns the seams of a node that uses jayfold's own protocols.
func NewSeams(s settings.Settings, handler log.Handler) Seams {
	return Seams{
		Log:        handler,
		Callers:    caller.NewProtocol(),
		Targets:    target.NewProtocol(),
		Heartbeats: target.NewHeartbeatAPI(),
		Store:      platform.NewStore(s.Platform, &http.Client{Transport: platform.NewTransport()}),
	}
}

// New returns the fx application of a node. It opens its listeners when it is started.
func New(s settings.Settings, seams Seams) *fx.App {
	filter := newLevelFilter(seams.Log, s.LogLevel)
	seams.Log = filter
	return fx.New(
		fx.NopLogger,
		fx.StartTimeout(startTimeout),
		// The reducer ends a stop before the grace in force, which a reload may have changed since the start.
		fx.StopTimeout(settings.MaxStopGrace),
		fx.Supply(s, seams, filter),
		fx.Provide(
			newDispatcher,
			newBoundary,
			newLoop,
			newCallers,
			newForwarder,
			newSidecar,
			newMessenger,
			newTargetServer,
			newTargetClient,
			newPlatformClient,
			newOperator,
			newWatcher,
		),
		fx.Invoke(connect, serve),
	)
}

// newLoop returns the control loop. The incarnation of the node is its start time, in Unix milliseconds.
func newLoop(s settings.Settings, d *dispatcher, boundary *recovery.Boundary) *control.Loop {
	incarnation := fleet.Incarnation(time.Now().UnixMilli())
	return control.New(node.New(s.Member(incarnation), s.Reloadable()), control.Seams{
		Now:      time.Now,
		Random:   rand.Uint64,
		Dispatch: d.dispatch,
		Recovery: boundary,
	})
}

// newBoundary returns the boundary of all tasks of the node. The operator is connected before the first task runs.
func newBoundary(d *dispatcher) *recovery.Boundary {
	return recovery.New(recovery.Seams{Now: time.Now, Observe: func(e effect.Effect) { d.operator.Observe(e) }})
}

func newCallers(
	s settings.Settings, seams Seams, loop *control.Loop, forwarder *peer.Forwarder, op *operator.Operator, boundary *recovery.Boundary,
) *caller.Server {
	settings := caller.Settings{
		Protocol: seams.Callers, Limits: s.Reloadable().Limits, BodyTimeout: s.Limits.BodyTimeout,
		BufferedBytes: s.Limits.MaxBufferedBytes, MemoryBytes: s.Reloadable().CallerMemory,
		MaxConnections: settings.CallerConnections(),
	}
	return caller.New(settings, caller.Seams{
		Now:          time.Now,
		NewRequestID: caller.RandomRequestID,
		Post:         loop.Post,
		Forward:      forwarder.Forward,
		Observe:      op.Observe,
		Recovery:     boundary,
	})
}

func newForwarder(s settings.Settings, loop *control.Loop, boundary *recovery.Boundary) *peer.Forwarder {
	return peer.NewForwarder(s.Node, peer.ForwarderSeams{Now: time.Now, Post: loop.Post, Recovery: boundary})
}

func newSidecar(loop *control.Loop, client *target.Client, boundary *recovery.Boundary) *peer.Sidecar {
	return peer.NewSidecar(peer.SidecarSeams{
		Now:      time.Now,
		Post:     loop.Post,
		Run:      client.Run,
		Crashed:  client.Crashed,
		Recovery: boundary,
	})
}

func newMessenger(s settings.Settings, loop *control.Loop, op *operator.Operator, boundary *recovery.Boundary) *peer.Messenger {
	return peer.NewMessenger(s.Member(0), peer.MessengerSeams{Post: loop.Post, Observe: op.Observe, Recovery: boundary})
}

func newTargetServer(s settings.Settings, seams Seams, loop *control.Loop, d *dispatcher) *target.Server {
	return target.NewServer(seams.Heartbeats, s.Host, target.Seams{Now: time.Now, Post: loop.Post, KnownPool: d.knownPool})
}

func newTargetClient(seams Seams, boundary *recovery.Boundary) *target.Client {
	return target.NewClient(seams.Targets, target.NewDial(), time.Now, boundary)
}

func newPlatformClient(seams Seams, loop *control.Loop, op *operator.Operator, boundary *recovery.Boundary) *platform.Client {
	return platform.New(platform.Seams{Store: seams.Store, Post: loop.Post, Observe: op.Observe, Recovery: boundary})
}

func newOperator(seams Seams, loop *control.Loop, boundary *recovery.Boundary) *operator.Operator {
	return operator.New(operator.Seams{
		Post:     loop.Post,
		Recovery: boundary,
		Log:      seams.Log,
		Exporter: operator.NewPrometheus(),
	})
}

func newWatcher(s settings.Settings, loop *control.Loop) *settings.Watcher {
	return settings.NewWatcher(s, settings.WatcherSeams{Post: loop.Post})
}

// connect sets the fields of the dispatcher through which it executes effects and posts events.
func connect(
	d *dispatcher, loop *control.Loop, callers *caller.Server, sidecar *peer.Sidecar, messenger *peer.Messenger,
	targets *target.Server, client *platform.Client, op *operator.Operator, filter *levelFilter, boundary *recovery.Boundary,
) {
	d.recovery = boundary
	d.post = loop.Post
	d.callers = callers
	d.sidecar = sidecar
	d.messenger = messenger
	d.targets = targets
	d.platform = client
	d.operator = op
	d.log = filter
}

// drain requests a shutdown from the control loop and waits for effect.StopProcess, which the loop returns once no request is in
// flight or the stop grace is nearly over.
func drain(ctx context.Context, loop *control.Loop, d *dispatcher) error {
	loop.Post(event.ShutdownRequested{})
	select {
	case <-d.stopped:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
