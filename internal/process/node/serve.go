package node

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"go.uber.org/fx"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/edge/caller"
	"jayfold.dev/jayfold/internal/edge/operator"
	"jayfold.dev/jayfold/internal/edge/peer"
	"jayfold.dev/jayfold/internal/edge/platform"
	"jayfold.dev/jayfold/internal/edge/recovery"
	"jayfold.dev/jayfold/internal/edge/target"
	"jayfold.dev/jayfold/internal/process/control"
	"jayfold.dev/jayfold/internal/process/settings"
)

// headerReadTimeout is the limit for receiving the headers of a request from a target, an operator or a readiness check. A
// target's whole request must arrive within it.
const headerReadTimeout = 5 * time.Second

// maxHeadBytes bounds the headers of such a request.
const maxHeadBytes = 64 << 10

// serveParams are the components of a node that serve starts and stops.
type serveParams struct {
	fx.In

	Settings  settings.Settings
	Loop      *control.Loop
	Dispatch  *dispatcher
	Callers   *caller.Server
	Sidecar   *peer.Sidecar
	Forwarder *peer.Forwarder
	Messenger *peer.Messenger
	Targets   *target.Server
	Platform  *platform.Client
	Operator  *operator.Operator
	Watcher   *settings.Watcher
	Recovery  *recovery.Boundary
}

// listener is an address and the function that serves its connections.
type listener struct {
	address netip.AddrPort
	serve   func(net.Listener) error
}

// serve adds the hooks that start and stop the node. The start opens all listeners before it runs the control loop, so that
// a port in use fails the start before anything runs.
func serve(hooks fx.Lifecycle, s serveParams) {
	ctx, cancel := context.WithCancel(context.Background())
	forward := peer.NewForwardServer(s.Sidecar)
	targets := newServer(s.Targets)
	targets.ReadTimeout = headerReadTimeout
	operators := newServer(s.Operator.Handler())
	listeners := []listener{
		{s.Settings.Listen.Callers, s.Callers.Serve},
		{s.Settings.Listen.Targets, targets.Serve},
		{s.Settings.Listen.Peers, s.Messenger.Serve},
		{s.Settings.Listen.Forward, forward.Serve},
		{s.Settings.Listen.Operators, operators.Serve},
	}
	ready := newServer(http.HandlerFunc(s.Callers.ServeReady))
	if s.Settings.Listen.Ready.IsValid() {
		listeners = append(listeners, listener{s.Settings.Listen.Ready, ready.Serve})
	}
	hooks.Append(fx.Hook{
		OnStart: func(context.Context) error {
			if err := listenAll(listeners); err != nil {
				cancel()
				return err
			}
			setMemoryLimit(s.Settings.Reloadable().ProcessMemory)
			s.Operator.Observe(lifecycleLine(effect.Info, "started", s.Settings))
			go s.Loop.Run(ctx)
			s.Recovery.Go("watch settings", func() { s.Watcher.Run(ctx) }, nil)
			return nil
		},
		OnStop: func(stop context.Context) error {
			s.Operator.Observe(lifecycleLine(effect.Info, "stopping", s.Settings))
			err := drain(stop, s.Loop, s.Dispatch)
			drainForward(stop, forward)
			_ = targets.Close()
			_ = operators.Close()
			_ = ready.Close()
			s.Forwarder.Close()
			s.Messenger.Close()
			cancel()
			// The platform client must not be closed while the loop can still start calls with it.
			s.Loop.Wait()
			s.Platform.Close()
			s.Operator.Observe(stopLine(s.Settings, err))
			s.Operator.Close()
			return err
		},
	})
}

func newServer(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, ReadHeaderTimeout: headerReadTimeout, MaxHeaderBytes: maxHeadBytes}
}

// forwardDrainTimeout bounds the wait for responses that are still being sent to other nodes when drain has returned. Runs
// that have not ended by then have exceeded the stop grace.
const forwardDrainTimeout = 100 * time.Millisecond

// drainForward waits for the last responses and then closes the server, which cancels the remaining runs.
func drainForward(ctx context.Context, forward *http.Server) {
	ctx, cancel := context.WithTimeout(ctx, forwardDrainTimeout)
	defer cancel()
	if err := forward.Shutdown(ctx); err != nil {
		_ = forward.Close()
	}
}

// lifecycleLine returns a log line about the start or stop of the node.
func lifecycleLine(level effect.Level, message string, s settings.Settings) effect.WriteLog {
	return effect.WriteLog{Level: level, Component: "node", Message: message, Fields: []effect.LogField{
		{Name: "Node", Value: string(s.Node)},
		{Name: "AvailabilityZone", Value: string(s.AvailabilityZone)},
	}}
}

// stopLine returns the log line for the end of a stop. An error means that requests were still in flight.
func stopLine(s settings.Settings, err error) effect.WriteLog {
	if err == nil {
		return lifecycleLine(effect.Info, "stopped", s)
	}
	line := lifecycleLine(effect.Error, "stopped while requests were in flight", s)
	line.Fields = append(line.Fields, effect.LogField{Name: "Error", Value: err.Error()})
	return line
}

// listenAll opens and serves all listeners. If one cannot be opened it closes the others and returns the error.
func listenAll(listeners []listener) error {
	opened := make([]net.Listener, 0, len(listeners))
	for _, l := range listeners {
		bound, err := net.Listen("tcp", l.address.String())
		if err != nil {
			closeAll(opened)
			return err
		}
		opened = append(opened, bound)
	}
	for i, l := range listeners {
		go func() { _ = l.serve(opened[i]) }()
	}
	return nil
}

func closeAll(listeners []net.Listener) {
	for _, l := range listeners {
		_ = l.Close()
	}
}
