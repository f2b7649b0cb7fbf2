package platform

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// queueLength bounds the events that wait for the reducer.
const queueLength = 1024

// Server runs the reducer and serves the API. One goroutine owns the state.
type Server struct {
	now    func() time.Time
	inputs chan input
	done   chan struct{}
	lastID atomic.Uint64
	start  state
}

// input is an event, with the place for the reply of a call or for a look at the state.
type input struct {
	body  any
	reply chan reply
	look  chan state
}

// New returns a server with an empty store. It does nothing before Serve.
func New(limits Limits, now func() time.Time) *Server {
	return &Server{
		now:    now,
		inputs: make(chan input, queueLength),
		done:   make(chan struct{}),
		start:  newState(limits),
	}
}

// Serve answers calls on the listener until ctx ends. It can be called once.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go s.run(ctx)
	server := &http.Server{Handler: s.handler(), ReadHeaderTimeout: 10 * time.Second}
	go func() {
		<-ctx.Done()
		_ = server.Close()
	}()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// SetFaults puts other faults in force.
func (s *Server) SetFaults(f Faults) {
	s.post(input{body: faultsSet{faults: f}})
}

// Counters returns the counters. They are zero when the server has ended.
func (s *Server) Counters() Counters { return s.look().counters }

// Faults returns the faults in force.
func (s *Server) Faults() Faults { return s.look().faults }

func (s *Server) look() state {
	look := make(chan state, 1)
	s.post(input{look: look})
	select {
	case seen := <-look:
		return seen
	case <-s.done:
		return state{}
	}
}

func (s *Server) post(in input) {
	select {
	case s.inputs <- in:
	case <-s.done:
	}
}

// run reduces events until ctx ends.
func (s *Server) run(ctx context.Context) {
	defer close(s.done)
	current := s.start
	waiting := map[uint64]chan reply{}
	for {
		select {
		case <-ctx.Done():
			return
		case in := <-s.inputs:
			current = s.step(current, waiting, in)
		}
	}
}

func (s *Server) step(current state, waiting map[uint64]chan reply, in input) state {
	if in.look != nil {
		in.look <- current
		return current
	}
	if c, ok := in.body.(called); ok {
		waiting[c.id] = in.reply
	}
	next, replies := current.reduce(event{at: s.now(), body: in.body})
	for _, r := range replies {
		if to, ok := waiting[r.id]; ok {
			delete(waiting, r.id)
			to <- r
		}
	}
	if ended, ok := in.body.(waitEnded); ok {
		delete(waiting, ended.id)
	}
	return next
}

// call posts a call and waits for its reply. It reports false when there is none: the caller is gone or the server ends.
// A get that waits is answered after at most wait.
func (s *Server) call(ctx context.Context, c called, wait time.Duration) (reply, bool) {
	c.id = s.lastID.Add(1)
	answers := make(chan reply, 1)
	s.post(input{body: c, reply: answers})
	defer s.post(input{body: waitEnded{id: c.id}})
	var over <-chan time.Time
	if c.waits {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		over = timer.C
	}
	for {
		select {
		case r := <-answers:
			return r, sleep(ctx, r.delay)
		case <-over:
			s.post(input{body: waitEnded{id: c.id}})
		case <-ctx.Done():
			return reply{}, false
		case <-s.done:
			return reply{}, false
		}
	}
}

// sleep waits, and reports whether it came to the end.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
