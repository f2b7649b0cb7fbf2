package target

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// queueLength bounds the inputs that wait for the goroutine that owns the state.
const queueLength = 256

// drainGrace is how long a draining target accepts new requests: attempts that the sidecar started before it learned of the
// drain arrive within this time.
const drainGrace = 200 * time.Millisecond

// readTimeout bounds reading the headers of a request.
const readTimeout = 5 * time.Second

// Target is a running stand-in.
type Target struct {
	settings Settings
	seams    Seams
	listener net.Listener
	server   *http.Server
	instance string
	inputs   chan input
	// done is closed when the stand-in has stopped serving, after a drain or a crash. A crash also cancels lifetime.
	done           chan struct{}
	cancelLifetime context.CancelCauseFunc
	lifetime       context.Context
	closeOnce      sync.Once
	// finalState is the last state; ended is closed once it is set.
	finalState State
	ended      chan struct{}
}

// input is an event with the channel for the effects of its request, or a request for a snapshot of the state.
type input struct {
	body     any
	effects  chan effect
	snapshot chan State
}

// errCrashed is the cancellation cause of a stand-in that has crashed.
var errCrashed = errors.New("target crashed")

// New returns a stand-in that serves on the listener once Run is called.
func New(settings Settings, listener net.Listener, seams Seams) *Target {
	lifetime, cancelLifetime := context.WithCancelCause(context.Background())
	t := &Target{
		settings:       settings,
		seams:          seams,
		listener:       listener,
		instance:       strconv.FormatInt(seams.Now().UnixNano(), 36),
		inputs:         make(chan input, queueLength),
		done:           make(chan struct{}),
		ended:          make(chan struct{}),
		lifetime:       lifetime,
		cancelLifetime: cancelLifetime,
	}
	t.server = &http.Server{Handler: t.handler(), ReadHeaderTimeout: readTimeout}
	return t
}

// Address returns the host and port on which the stand-in accepts requests.
func (t *Target) Address() string { return t.listener.Addr().String() }

// Run serves requests and sends heartbeats until ctx ends. It then drains: it finishes the requests in flight, withdraws and
// returns. It returns an error if the stand-in has crashed.
func (t *Target) Run(ctx context.Context) error {
	var wait sync.WaitGroup
	wait.Go(func() { t.runReducer() })
	wait.Go(func() { _ = t.server.Serve(t.listener) })
	err := t.sendHeartbeats(ctx, "Ready")
	if err == nil {
		err = t.drain()
	}
	t.close()
	wait.Wait()
	return err
}

// Kill simulates a crash of the process: it closes the server without a drain. It may be called more than once.
func (t *Target) Kill() {
	t.cancelLifetime(errCrashed)
	go func() { _ = t.server.Close() }()
}

func (t *Target) close() {
	t.closeOnce.Do(func() { close(t.done) })
	_ = t.server.Close()
}

// runReducer owns the state. Its goroutine is the only one that changes it.
func (t *Target) runReducer() {
	state := newState(t.settings, t.seams.Now())
	waiting := map[uint64]chan effect{}
	for {
		select {
		case <-t.done:
			t.finalState = state
			close(t.ended)
			return
		case in := <-t.inputs:
			state = t.step(state, in, waiting)
		}
	}
}

// step reduces one event and passes each effect to the goroutine that serves its request.
func (t *Target) step(state State, in input, waiting map[uint64]chan effect) State {
	now := t.seams.Now()
	if in.snapshot != nil {
		state = state.withCurrentLoadStatus(now)
		in.snapshot <- state
		return state
	}
	switch body := in.body.(type) {
	case requestArrived:
		waiting[body.number] = in.effects
	case requestEnded:
		delete(waiting, body.number)
	}
	state, effects := state.reduce(event{at: now, random: t.seams.Random(), body: in.body})
	for _, e := range effects {
		t.execute(e, waiting)
	}
	return state
}

func (t *Target) execute(e effect, waiting map[uint64]chan effect) {
	switch e := e.(type) {
	case recordStart:
		t.seams.Record(e.token)
	case serve:
		waiting[e.number] <- e
	case shed:
		waiting[e.number] <- e
	case respond:
		waiting[e.number] <- e
	case crash:
		t.seams.Exit(t)
	}
}

// send queues an input and reports whether the stand-in is still running.
func (t *Target) send(in input) bool {
	select {
	case t.inputs <- in:
		return true
	case <-t.done:
		return false
	}
}

// snapshot returns the state with its reported load refreshed, or the last state once the stand-in has ended.
func (t *Target) snapshot() State {
	result := make(chan State, 1)
	if t.send(input{snapshot: result}) {
		select {
		case state := <-result:
			return state
		case <-t.ended:
		}
	}
	<-t.ended
	return t.finalState
}

// drain finishes the requests in flight and withdraws. The sidecar refuses new attempts once it knows of the drain.
func (t *Target) drain() error {
	t.reportDraining()
	heartbeats, stop := context.WithCancel(t.lifetime)
	defer stop()
	var wait sync.WaitGroup
	wait.Go(func() { _ = t.sendHeartbeats(heartbeats, "Draining") })
	select {
	case <-time.After(drainGrace):
	case <-t.lifetime.Done():
	}
	err := t.server.Shutdown(t.lifetime)
	stop()
	wait.Wait()
	if err != nil {
		return context.Cause(t.lifetime)
	}
	t.withdraw()
	return nil
}
