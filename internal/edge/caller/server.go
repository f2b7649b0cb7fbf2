// Package caller is the HTTP server for callers.
//
// # Usage
//
//	server := caller.New(limits, caller.Seams{
//		Now: time.Now, RequestID: caller.RandomRequestID, Post: loop.Post, Forward: forwarder.Forward,
//	})
//	go server.Serve(listener)
//	server.Forward(e) // carries out effect.Forward; the same for Answer, Refuse and Abandon
//	err := server.Shutdown(ctx)
//
// The goroutine of each request posts events and waits for the effects that name its request. The methods that carry out
// effects never block.
package caller

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/event"
	"jayfold.dev/jayfold/internal/core/fleet"
)

const (
	// effectsPerRequest bounds the effects that name one request: each attempt is forwarded and abandoned at most once.
	effectsPerRequest = 64
	// idleTimeout closes connections of callers that send nothing.
	idleTimeout = 2 * time.Minute
	// readyPath answers 200 while callers should use this node and 503 once it is leaving.
	readyPath = "/jayfold/v1/ready"
)

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	HeaderTime  time.Duration
	BodyTime    time.Duration
}

// Seams are what a Server needs from outside.
type Seams struct {
	Now       func() time.Time
	RequestID func() fleet.RequestID
	Post      func(event.Body)
	// Forward sends an attempt and returns the target's answer. The function returned with it gives the sidecar's
	// report once the body has ended. Errors are fleet.Problem.
	Forward func(ctx context.Context, f effect.Forward, r *http.Request, body []byte) (
		*http.Response, func() fleet.Option[fleet.Report], error)
}

// Server takes the requests of callers.
type Server struct {
	limits  Limits
	seams   Seams
	http    *http.Server
	leaving atomic.Bool
	mu      sync.Mutex
	waiting map[fleet.RequestID]chan effect.Effect
}

// New returns a server that does not listen yet.
func New(limits Limits, seams Seams) *Server {
	s := &Server{limits: limits, seams: seams, waiting: make(map[fleet.RequestID]chan effect.Effect)}
	router := mux.NewRouter().SkipClean(true).UseEncodedPath()
	router.HandleFunc(readyPath, s.ready).Methods(http.MethodGet, http.MethodHead)
	router.MatcherFunc(anything).HandlerFunc(s.serve)
	s.http = &http.Server{
		Handler:           router,
		ReadHeaderTimeout: limits.HeaderTime,
		IdleTimeout:       idleTimeout,
		// The handler refuses headers over the limit in the documented form; net/http cuts off far larger ones.
		MaxHeaderBytes: 2 * limits.HeaderBytes,
		Protocols:      new(http.Protocols),
	}
	s.http.Protocols.SetHTTP1(true)
	s.http.Protocols.SetUnencryptedHTTP2(true)
	return s
}

func anything(*http.Request, *mux.RouteMatch) bool { return true }

// Serve takes connections from listener until Shutdown. It returns http.ErrServerClosed then.
func (s *Server) Serve(listener net.Listener) error { return s.http.Serve(listener) }

// Leave makes the ready path answer that callers should use another node.
func (s *Server) Leave() { s.leaving.Store(true) }

// Shutdown takes no new connection and waits for the requests in flight until ctx ends.
func (s *Server) Shutdown(ctx context.Context) error {
	s.Leave()
	return s.http.Shutdown(ctx)
}

func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	if s.leaving.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// Forward carries out effect.Forward. It does not block.
func (s *Server) Forward(e effect.Forward) { s.deliver(e.Attempt.ID.Request(), e) }

// Answer carries out effect.Answer. It does not block.
func (s *Server) Answer(e effect.Answer) { s.deliver(e.Request, e) }

// Refuse carries out effect.Refuse. It does not block.
func (s *Server) Refuse(e effect.Refuse) { s.deliver(e.Request, e) }

// Abandon carries out effect.Abandon. It does not block.
func (s *Server) Abandon(e effect.Abandon) { s.deliver(e.Attempt.Request(), e) }

// deliver hands an effect to the goroutine of its request. Effects for requests that have ended are dropped.
func (s *Server) deliver(id fleet.RequestID, e effect.Effect) {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case s.waiting[id] <- e:
	default:
	}
}

func (s *Server) register(id fleet.RequestID) <-chan effect.Effect {
	effects := make(chan effect.Effect, effectsPerRequest)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting[id] = effects
	return effects
}

func (s *Server) unregister(id fleet.RequestID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.waiting, id)
}
