package platform

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// queueLength bounds the inputs that wait for the reducer.
const queueLength = 1024

// Server runs the reducer and serves the platform's object API. One goroutine owns the state.
type Server struct {
	now        func() time.Time
	inputs     chan input
	done       chan struct{}
	lastCallID atomic.Uint64
	initial    state
}

// input is an event with the channel for the result of its call, or a request for a snapshot of the state.
type input struct {
	body     any
	result   chan result
	snapshot chan state
}

// New returns a server with an empty store. It is inactive until Serve is called.
func New(limits Limits, now func() time.Time) *Server {
	return &Server{
		now:     now,
		inputs:  make(chan input, queueLength),
		done:    make(chan struct{}),
		initial: newState(limits),
	}
}

// Serve serves the API on the listener until ctx ends. It must be called at most once.
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

// SetFaults replaces the faults.
func (s *Server) SetFaults(f Faults) {
	s.post(input{body: faultsSet{faults: f}})
}

// Restore replaces the data by a copy of the given age. Later writes are lost, and their versions are given out again.
func (s *Server) Restore(age time.Duration) {
	s.post(input{body: restored{age: age}})
}

// Counters returns the counters. They are zero if the server has ended.
func (s *Server) Counters() Counters { return s.snapshot().counters }

// Faults returns the faults in force.
func (s *Server) Faults() Faults { return s.snapshot().faults }

func (s *Server) snapshot() state {
	result := make(chan state, 1)
	s.post(input{snapshot: result})
	select {
	case current := <-result:
		return current
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
	current := s.initial
	waiting := map[uint64]chan result{}
	for {
		select {
		case <-ctx.Done():
			return
		case in := <-s.inputs:
			current = s.step(current, waiting, in)
		}
	}
}

func (s *Server) step(current state, waiting map[uint64]chan result, in input) state {
	if in.snapshot != nil {
		in.snapshot <- current
		return current
	}
	if c, ok := in.body.(callArrived); ok {
		waiting[c.id] = in.result
	}
	next, results := current.reduce(event{at: s.now(), body: in.body})
	for _, r := range results {
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

// call posts a call and waits for its result. It returns false if there is none because the caller has disconnected or the
// server has ended. A watch ends after at most wait.
func (s *Server) call(ctx context.Context, c callArrived, wait time.Duration) (result, bool) {
	c.id = s.lastCallID.Add(1)
	results := make(chan result, 1)
	s.post(input{body: c, result: results})
	defer s.post(input{body: waitEnded{id: c.id}})
	var timeout <-chan time.Time
	if c.isWatch {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		timeout = timer.C
	}
	for {
		select {
		case r := <-results:
			return r, sleep(ctx, r.delay)
		case <-timeout:
			s.post(input{body: waitEnded{id: c.id}})
		case <-ctx.Done():
			return result{}, false
		case <-s.done:
			return result{}, false
		}
	}
}

// sleep waits for d. It returns false if ctx ends first.
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
