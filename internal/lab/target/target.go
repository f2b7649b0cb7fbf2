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

// queueLength bounds the events that wait for the goroutine that owns the state.
const queueLength = 256

// drainGrace is how long a draining target still takes requests: attempts that the sidecar started before it learned of the
// drain arrive within it.
const drainGrace = 200 * time.Millisecond

// readTimeout bounds how long a caller may take to send its headers.
const readTimeout = 5 * time.Second

// Target is a running stand-in.
type Target struct {
	settings Settings
	seams    Seams
	listener net.Listener
	server   *http.Server
	instance string
	posts    chan post
	done     chan struct{}
	killed   context.CancelCauseFunc
	life     context.Context
	stop     sync.Once
	// last is the state at the end; ended is closed once it is set.
	last  State
	ended chan struct{}
}

// post is an event, with the channel for the effects that name its request, or a look at the state.
type post struct {
	body    any
	effects chan effect
	view    chan State
}

// errKilled is the cause of the end of a stand-in that crashed.
var errKilled = errors.New("the target crashed")

// New returns a stand-in that serves on the listener once Run is called.
func New(settings Settings, listener net.Listener, seams Seams) *Target {
	life, killed := context.WithCancelCause(context.Background())
	t := &Target{
		settings: settings,
		seams:    seams,
		listener: listener,
		instance: strconv.FormatInt(seams.Now().UnixNano(), 36),
		posts:    make(chan post, queueLength),
		done:     make(chan struct{}),
		ended:    make(chan struct{}),
		life:     life,
		killed:   killed,
	}
	t.server = &http.Server{Handler: t.handler(), ReadHeaderTimeout: readTimeout}
	return t
}

// Address returns the host and port on which the stand-in takes requests.
func (t *Target) Address() string { return t.listener.Addr().String() }

// Run serves and announces until ctx ends, then drains: it finishes what is in flight, withdraws and returns. It returns an
// error when the stand-in crashed.
func (t *Target) Run(ctx context.Context) error {
	var wait sync.WaitGroup
	wait.Go(func() { t.own() })
	wait.Go(func() { _ = t.server.Serve(t.listener) })
	err := t.announceUntil(ctx, "Ready")
	if err == nil {
		err = t.drain()
	}
	t.end()
	wait.Wait()
	return err
}

// Kill ends the stand-in at once, as a crash of its process would. It may be called more than once.
func (t *Target) Kill() {
	t.killed(errKilled)
	go func() { _ = t.server.Close() }()
}

func (t *Target) end() {
	t.stop.Do(func() { close(t.done) })
	_ = t.server.Close()
}

// own holds the state. It is the only goroutine that changes it.
func (t *Target) own() {
	state := newState(t.settings, t.seams.Now())
	waiting := map[uint64]chan effect{}
	for {
		select {
		case <-t.done:
			t.last = state
			close(t.ended)
			return
		case p := <-t.posts:
			state = t.step(state, p, waiting)
		}
	}
}

// step reduces one event and hands each effect to the goroutine that serves the request it names.
func (t *Target) step(state State, p post, waiting map[uint64]chan effect) State {
	now := t.seams.Now()
	if p.view != nil {
		state = state.view(now)
		p.view <- state
		return state
	}
	switch body := p.body.(type) {
	case requestArrived:
		waiting[body.number] = p.effects
	case requestLeft:
		delete(waiting, body.number)
	}
	state, effects := state.reduce(event{at: now, random: t.seams.Random(), body: p.body})
	for _, e := range effects {
		t.carryOut(e, waiting)
	}
	return state
}

func (t *Target) carryOut(e effect, waiting map[uint64]chan effect) {
	switch e := e.(type) {
	case record:
		t.seams.Record(e.token)
	case serve:
		waiting[e.number] <- e
	case shed:
		waiting[e.number] <- e
	case answer:
		waiting[e.number] <- e
	case crash:
		t.seams.Exit(t)
	}
}

// send queues an event and reports whether the stand-in still runs.
func (t *Target) send(p post) bool {
	select {
	case t.posts <- p:
		return true
	case <-t.done:
		return false
	}
}

// look returns the state, with what the health and load endpoints show brought up to date. Once the stand-in has ended it
// returns the last state.
func (t *Target) look() State {
	view := make(chan State, 1)
	if t.send(post{view: view}) {
		select {
		case state := <-view:
			return state
		case <-t.ended:
		}
	}
	<-t.ended
	return t.last
}

// drain finishes what is in flight and withdraws. The sidecar refuses new attempts once it knows of the drain.
func (t *Target) drain() error {
	t.announceDraining()
	finished, stop := context.WithCancel(t.life)
	defer stop()
	var wait sync.WaitGroup
	wait.Go(func() { _ = t.announceUntil(finished, "Draining") })
	select {
	case <-time.After(drainGrace):
	case <-t.life.Done():
	}
	err := t.server.Shutdown(t.life)
	stop()
	wait.Wait()
	if err != nil {
		return context.Cause(t.life)
	}
	t.withdraw()
	return nil
}
