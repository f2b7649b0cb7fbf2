// Package node assembles one jayfold node: its control loop, its edges and its listeners.
//
// # Usage
//
//	app := node.New(settings, node.NewSeams(settings, handler))
//	if err := app.Start(ctx); err != nil { ... }
//	<-app.Done()
//	err := app.Stop(ctx) // leaves the fleet and finishes what is in flight
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

	"jayfold.dev/jayfold/internal/core/event"
	"jayfold.dev/jayfold/internal/core/fleet"
	"jayfold.dev/jayfold/internal/core/node"
	"jayfold.dev/jayfold/internal/edge/caller"
	"jayfold.dev/jayfold/internal/edge/operator"
	"jayfold.dev/jayfold/internal/edge/peer"
	"jayfold.dev/jayfold/internal/edge/platform"
	"jayfold.dev/jayfold/internal/edge/target"
	"jayfold.dev/jayfold/internal/process/control"
	"jayfold.dev/jayfold/internal/process/settings"
)

const (
	startTimeout = 10 * time.Second
)

// Seams are what a node needs from outside: where its log goes, and in which protocols it speaks to callers, to targets and
// to the platform.
type Seams struct {
	// Log writes the lines of the log.
	Log           log.Handler
	Callers       caller.Protocol
	Targets       target.Protocol
	Announcements target.HeartbeatAPI
	Store         platform.Store
}

// NewSeams returns the seams of a node that speaks jayfold's own protocols.
func NewSeams(s settings.Settings, handler log.Handler) Seams {
	return Seams{
		Log:           handler,
		Callers:       caller.NewProtocol(),
		Targets:       target.NewProtocol(),
		Announcements: target.NewHeartbeatAPI(),
		Store:         platform.NewStore(s.Platform, &http.Client{Transport: platform.NewTransport()}),
	}
}

// New returns the application of a node. It listens once it is started.
func New(s settings.Settings, seams Seams) *fx.App {
	lines := newLeveled(seams.Log, s.LogLevel)
	seams.Log = lines
	return fx.New(
		fx.NopLogger,
		fx.StartTimeout(startTimeout),
		fx.StopTimeout(s.StopGrace),
		fx.Supply(s, seams, lines),
		fx.Provide(
			newDispatcher,
			newLoop,
			newCallers,
			newForwarder,
			newSidecar,
			newMessenger,
			newTargets,
			newTargetClient,
			newPlatform,
			newOperator,
			newWatch,
		),
		fx.Invoke(connect, serve),
	)
}

// newLoop starts the life of the node: its incarnation is the time of the start.
func newLoop(s settings.Settings, d *dispatcher) *control.Loop {
	incarnation := fleet.Incarnation(time.Now().UnixMilli())
	return control.New(node.New(s.Member(incarnation), s.Live()), control.Seams{
		Now:      time.Now,
		Random:   rand.Uint64,
		Dispatch: d.dispatch,
	})
}

func newCallers(s settings.Settings, seams Seams, loop *control.Loop, forwarder *peer.Forwarder) *caller.Server {
	settings := caller.Settings{Protocol: seams.Callers, Limits: s.Live().Limits, BodyTime: s.Limits.BodyTimeout}
	return caller.New(settings, caller.Seams{
		Now:       time.Now,
		RequestID: caller.RandomRequestID,
		Post:      loop.Post,
		Forward:   forwarder.Forward,
	})
}

func newForwarder(s settings.Settings, loop *control.Loop) *peer.Forwarder {
	return peer.NewForwarder(s.Node, peer.ForwarderSeams{Now: time.Now, Post: loop.Post})
}

func newSidecar(loop *control.Loop, client *target.Client) *peer.Sidecar {
	return peer.NewSidecar(peer.SidecarSeams{
		Now:     time.Now,
		Post:    loop.Post,
		Run:     client.Run,
		Crashed: client.Crashed,
	})
}

func newMessenger(s settings.Settings, loop *control.Loop, op *operator.Operator) *peer.Messenger {
	return peer.NewMessenger(s.Member(0), peer.MessengerSeams{Post: loop.Post, Observe: op.Observe})
}

func newTargets(s settings.Settings, seams Seams, loop *control.Loop, d *dispatcher) *target.Server {
	return target.NewServer(seams.Announcements, s.Host, target.Seams{Post: loop.Post, KnownPool: d.knownPool})
}

func newTargetClient(seams Seams) *target.Client {
	return target.NewClient(seams.Targets, target.NewDial(), time.Now)
}

func newPlatform(seams Seams, loop *control.Loop, op *operator.Operator) *platform.Client {
	return platform.New(platform.Settings{Store: seams.Store, Post: loop.Post, Observe: op.Observe})
}

func newOperator(seams Seams, loop *control.Loop) *operator.Operator {
	return operator.New(operator.Seams{
		Post:     loop.Post,
		Log:      seams.Log,
		Exporter: operator.NewPrometheus(),
	})
}

func newWatch(s settings.Settings, loop *control.Loop) *settings.Watch {
	return settings.NewWatch(s, settings.WatchSeams{Post: loop.Post})
}

// connect gives the dispatcher the edges that carry out effects.
func connect(
	d *dispatcher, loop *control.Loop, callers *caller.Server, sidecar *peer.Sidecar, messenger *peer.Messenger,
	client *platform.Client, op *operator.Operator, lines *leveled,
) {
	d.post = loop.Post
	d.callers = callers
	d.sidecar = sidecar
	d.messenger = messenger
	d.platform = client
	d.operator = op
	d.log = lines
}

// leave tells the control loop to stop and waits until nothing is in flight.
func leave(ctx context.Context, loop *control.Loop, d *dispatcher) error {
	loop.Post(event.ShutdownRequested{})
	select {
	case <-d.stopped:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
