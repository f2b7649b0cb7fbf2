// Package caller is the HTTP server for callers.
//
// # Usage
//
//	settings := caller.Settings{Protocol: caller.NewProtocol(), Limits: limits, BodyTime: 30 * time.Second}
//	server := caller.New(settings, caller.Seams{
//		Now: time.Now, RequestID: caller.RandomRequestID, Post: loop.Post, Forward: forwarder.Forward,
//	})
//	go server.Serve(listener)
//	server.Forward(e) // carries out effect.ForwardAttempt; the same for RelayResponse, RefuseRequest and CancelAttempt
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
	// readyPath answers 200 while callers should use this node and 503 while it has no tables and once it is leaving.
	readyPath = "/jayfold/v1/ready"
)

// Settings are what a Server is made with.
type Settings struct {
	Protocol Protocol
	// Limits hold where the tables set none, until UseDefaults.
	Limits fleet.Limits
	// BodyTimeout bounds the time in which a request's body must come.
	BodyTimeout time.Duration
}

// Seams are what a Server needs from outside.
type Seams struct {
	Now          func() time.Time
	NewRequestID func() fleet.RequestID
	Post         func(event.Body)
	// Forward sends an attempt and returns the target's answer. The function returned with it gives the sidecar's
	// report once the body has ended. Errors are fleet.Problem.
	Forward func(ctx context.Context, f effect.ForwardAttempt, r *http.Request, body []byte) (
		*http.Response, func() fleet.Option[fleet.TargetReport], error)
}

// Server takes the requests of callers.
type Server struct {
	protocol Protocol
	bodyTime time.Duration
	seams    Seams
	http     *http.Server
	// ready means that callers should use this node, leaving that it is about to stop.
	ready   atomic.Bool
	leaving atomic.Bool
	// inForce holds the limits of the tables in force, defaults those that hold where the tables set none.
	inForce  atomic.Pointer[fleet.Limits]
	defaults atomic.Pointer[fleet.Limits]
	mu       sync.Mutex
	waiting  map[fleet.RequestID]chan effect.Effect
}

// New returns a server that does not listen yet.
func New(settings Settings, seams Seams) *Server {
	s := &Server{
		protocol: settings.Protocol,
		bodyTime: settings.BodyTimeout,
		seams:    seams,
		waiting:  make(map[fleet.RequestID]chan effect.Effect),
	}
	s.inForce.Store(&fleet.Limits{})
	s.defaults.Store(&settings.Limits)
	router := mux.NewRouter().SkipClean(true).UseEncodedPath()
	router.HandleFunc(readyPath, s.ServeReady).Methods(http.MethodGet, http.MethodHead)
	router.MatcherFunc(anything).HandlerFunc(s.serve)
	s.http = &http.Server{
		Handler:           router,
		ReadHeaderTimeout: settings.Limits.HeaderTimeout,
		IdleTimeout:       idleTimeout,
		// The handler refuses headers over the limit in the documented form; net/http cuts off far larger ones.
		MaxHeaderBytes: 2 * settings.Limits.HeaderBytes,
		Protocols:      new(http.Protocols),
	}
	s.http.Protocols.SetHTTP1(true)
	s.http.Protocols.SetUnencryptedHTTP2(true)
	return s
}

func anything(*http.Request, *mux.RouteMatch) bool { return true }

// Serve takes connections from listener until Shutdown. It returns http.ErrServerClosed then.
func (s *Server) Serve(listener net.Listener) error { return s.http.Serve(listener) }

// Shutdown takes no new connection and waits for the requests in flight until ctx ends.
func (s *Server) Shutdown(ctx context.Context) error {
	s.leaving.Store(true)
	return s.http.Shutdown(ctx)
}

// SetReadiness carries out effect.SetReadiness.
func (s *Server) SetReadiness(e effect.SetReadiness) {
	s.ready.Store(e.Ready)
	s.leaving.Store(e.Leaving)
}

// ServeReady answers whether callers should use this node.
func (s *Server) ServeReady(w http.ResponseWriter, _ *http.Request) {
	if !s.ready.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// ForwardAttempt carries out effect.ForwardAttempt. It does not block.
func (s *Server) ForwardAttempt(e effect.ForwardAttempt) { s.deliver(e.Attempt.ID.Request(), e) }

// RelayResponse carries out effect.RelayResponse. It does not block.
func (s *Server) RelayResponse(e effect.RelayResponse) { s.deliver(e.Request, e) }

// RefuseRequest carries out effect.RefuseRequest. It does not block.
func (s *Server) RefuseRequest(e effect.RefuseRequest) { s.deliver(e.Request, e) }

// CancelAttempt carries out effect.CancelAttempt. It does not block.
func (s *Server) CancelAttempt(e effect.CancelAttempt) { s.deliver(e.Attempt.Request(), e) }

// deliver hands an effect to the goroutine of its request. Effects for requests that have ended are dropped.
func (s *Server) deliver(id fleet.RequestID, e effect.Effect) {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case s.waiting[id] <- e:
	default:
	}
}

// SetTablesLimits brings the limits of the tables in force into effect for the requests that follow.
func (s *Server) SetTablesLimits(limits fleet.Limits) { s.inForce.Store(&limits) }

// SetDefaultLimits brings limits into effect that hold where the tables set none.
func (s *Server) SetDefaultLimits(limits fleet.Limits) { s.defaults.Store(&limits) }

func (s *Server) limitsInForce() fleet.Limits {
	return s.inForce.Load().WithDefaults(*s.defaults.Load())
}

// register makes a request known to the methods that carry out effects. A request without an id, or with that of a
// request in flight, gets a new one, so that no two share their effects.
func (s *Server) register(request fleet.Request) (fleet.Request, <-chan effect.Effect) {
	effects := make(chan effect.Effect, effectsPerRequest)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, taken := s.waiting[request.ID]; taken || request.ID == "" {
		request.ID = s.seams.NewRequestID()
	}
	s.waiting[request.ID] = effects
	return request, effects
}

func (s *Server) unregister(id fleet.RequestID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.waiting, id)
}
