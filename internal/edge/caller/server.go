// Package caller is the HTTP server for callers.
//
// # Usage
//
//	settings := caller.Settings{
//		Protocol: caller.NewProtocol(), Limits: limits, BodyTimeout: 30 * time.Second, BufferedBytes: 32 << 20,
//	}
//	server := caller.New(settings, caller.Seams{
//		Now: time.Now, NewRequestID: caller.RandomRequestID, Post: loop.Post, Forward: forwarder.Forward,
//	})
//	go server.Serve(listener)
//	server.ForwardAttempt(e) // executes effect.ForwardAttempt; likewise RelayResponse, RefuseRequest and CancelAttempt
//	err := server.Shutdown(ctx)
//
// Each request has its own goroutine, which posts events and executes the effects for the request. The methods that execute
// these effects only pass them to the goroutine and never block.
package caller

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/event"
	"jayfold.dev/jayfold/internal/core/fleet"
	"jayfold.dev/jayfold/internal/edge/memory"
	"jayfold.dev/jayfold/internal/edge/recovery"
)

const (
	// effectsPerRequest is the capacity of the channel for the effects for one request. Each attempt is forwarded at most once
	// and canceled at most once.
	effectsPerRequest = 64
	// readyPath responds with 200 while callers should use this node, and with 503 if it has no tables or is leaving.
	readyPath = "/jayfold/v1/ready"
	// headSlopBytes is added to the bound of a head for the request line.
	headSlopBytes = 4 << 10
)

// Settings configures a Server.
type Settings struct {
	Protocol Protocol
	// Limits holds the limits for the fields that the tables leave unset, until SetDefaultLimits replaces them. Its
	// HeaderTimeout is never replaced.
	Limits fleet.Limits
	// BodyTimeout is the time within which the body of a request must arrive.
	BodyTimeout time.Duration
	// BufferedBytes is the maximum number of bytes of the bodies of all requests in progress. A larger body is refused whatever its own
	// limit is.
	BufferedBytes int64
	// MemoryBytes is the memory that callers may make the node hold; 0 means no bound.
	MemoryBytes int64
	// MaxConnections is the number of connections from which on idle ones are closed for new ones; 0 means no limit.
	MaxConnections int
}

// Seams are the external dependencies of a Server.
type Seams struct {
	Now          func() time.Time
	NewRequestID func() fleet.RequestID
	Post         func(event.Body)
	// Forward sends an attempt. It returns the target's response and a function that returns the sidecar's report, which is
	// complete once the body has ended. Errors are of type fleet.Problem.
	Forward func(ctx context.Context, forward effect.ForwardAttempt, r *http.Request, body []byte) (
		*http.Response, func() fleet.Option[fleet.TargetReport], error)
	// Observe counts and logs the limits that callers reach; nil does neither. It must not block.
	Observe func(effect.Effect)
	// Recovery contains panics of attempts; nil contains none.
	Recovery *recovery.Boundary
}

// Server accepts the requests of callers.
type Server struct {
	protocol    Protocol
	bodyTimeout time.Duration
	bodies      *bodyMemory
	budget      *memory.Budget
	seams       Seams
	// headerTimeout is the time within which the head of a request must arrive.
	headerTimeout time.Duration
	conns         *conns
	workers       workers
	// http serves the HTTP/2 connections. Its handler serves all requests.
	http *http.Server
	// ready is true if callers should use this node. leaving is true if the node is about to stop.
	ready   atomic.Bool
	leaving atomic.Bool
	// tablesLimits holds the limits of the tables in force, defaultLimits those for the fields that the tables leave unset.
	tablesLimits  atomic.Pointer[fleet.Limits]
	defaultLimits atomic.Pointer[fleet.Limits]

	mu sync.Mutex
	// effects holds, for each request in flight, the channel to its goroutine.
	effects map[fleet.RequestID]chan effect.Effect
	// limitLogged has the time of the last log line by limit.
	limitLogged map[string]time.Time
}

// New returns a server that does not accept connections until Serve is called.
func New(settings Settings, seams Seams) *Server {
	s := &Server{
		protocol:    settings.Protocol,
		bodyTimeout: settings.BodyTimeout,
		bodies:      newBodyMemory(settings.BufferedBytes),
		seams:       seams,

		headerTimeout: settings.Limits.HeaderTimeout,
		conns:         newConns(settings.MaxConnections),
		effects:       make(map[fleet.RequestID]chan effect.Effect),
		limitLogged:   make(map[string]time.Time),
	}
	s.budget = memory.New(settings.MemoryBytes, s.evicted)
	s.tablesLimits.Store(&fleet.Limits{})
	s.defaultLimits.Store(&settings.Limits)
	router := mux.NewRouter().SkipClean(true).UseEncodedPath()
	router.HandleFunc(readyPath, s.ServeReady).Methods(http.MethodGet, http.MethodHead)
	router.MatcherFunc(matchAny).HandlerFunc(s.serve)
	s.http = &http.Server{
		Handler:           s.chargeHTTP2(router),
		ConnContext:       withHolder,
		HTTP2:             &http.HTTP2Config{MaxConcurrentStreams: http2Streams, WriteByteTimeout: writeTimeout},
		ReadHeaderTimeout: settings.Limits.HeaderTimeout,
		IdleTimeout:       idleTimeout,
		// The handler refuses headers over the limit with a response body; net/http only has to reject much larger ones. This
		// limit is fixed: net/http also rejects headers that a HeaderBytes more than doubled later would allow.
		MaxHeaderBytes: 2 * settings.Limits.HeaderBytes,
		Protocols:      new(http.Protocols),
	}
	s.http.Protocols.SetUnencryptedHTTP2(true)
	return s
}

func matchAny(*http.Request, *mux.RouteMatch) bool { return true }

// SetReadiness executes effect.SetReadiness.
func (s *Server) SetReadiness(e effect.SetReadiness) {
	s.ready.Store(e.Ready)
	s.leaving.Store(e.Leaving)
}

// ServeReady responds with 200 if callers should use this node, and with 503 otherwise.
func (s *Server) ServeReady(w http.ResponseWriter, _ *http.Request) {
	status := http.StatusOK
	if !s.ready.Load() {
		status = http.StatusServiceUnavailable
	}
	w.WriteHeader(status)
}

// ForwardAttempt executes effect.ForwardAttempt. It does not block.
func (s *Server) ForwardAttempt(e effect.ForwardAttempt) { s.deliver(e.Attempt.ID.Request(), e) }

// RelayResponse executes effect.RelayResponse. It does not block.
func (s *Server) RelayResponse(e effect.RelayResponse) { s.deliver(e.Request, e) }

// RefuseRequest executes effect.RefuseRequest. It does not block.
func (s *Server) RefuseRequest(e effect.RefuseRequest) { s.deliver(e.Request, e) }

// CancelAttempt executes effect.CancelAttempt. It does not block.
func (s *Server) CancelAttempt(e effect.CancelAttempt) { s.deliver(e.Attempt.Request(), e) }

// deliver sends an effect to the goroutine of its request. Effects for requests that have ended are dropped.
func (s *Server) deliver(id fleet.RequestID, e effect.Effect) {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case s.effects[id] <- e:
	default:
	}
}

// SetTablesLimits sets the limits of the tables in force. HeaderBytes and BodyBytes apply to the requests that arrive afterwards;
// HeaderTimeout and IdleTimeout have no effect.
func (s *Server) SetTablesLimits(limits fleet.Limits) { s.tablesLimits.Store(&limits) }

// SetDefaultLimits sets the limits for the fields that the tables leave unset. Here, too, only
// HeaderBytes and BodyBytes have an effect.
func (s *Server) SetDefaultLimits(limits fleet.Limits) { s.defaultLimits.Store(&limits) }

// maxHeadBytes returns the size up to which a head is read. The handler refuses headers over the limit in force with a response body;
// only much larger ones are refused while they arrive.
func (s *Server) maxHeadBytes() int { return 2*s.limits().HeaderBytes + headSlopBytes }

func (s *Server) limits() fleet.Limits {
	return s.tablesLimits.Load().WithDefaults(*s.defaultLimits.Load())
}

// register creates the channel for the effects for a request. A request without an id, or with the id of a request in flight,
// gets a new id, so that no two requests receive each other's effects.
func (s *Server) register(request fleet.Request) (fleet.Request, <-chan effect.Effect) {
	effects := make(chan effect.Effect, effectsPerRequest)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, taken := s.effects[request.ID]; taken || request.ID == "" {
		request.ID = s.seams.NewRequestID()
	}
	s.effects[request.ID] = effects
	return request, effects
}

func (s *Server) unregister(id fleet.RequestID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.effects, id)
}
