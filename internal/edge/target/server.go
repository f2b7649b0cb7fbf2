package target

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/gorilla/mux"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/event"
	"jayfold.dev/jayfold/internal/core/fleet"
)

// maxHeartbeatBytes bounds the body of a heartbeat.
const maxHeartbeatBytes = 16 << 10

// HeartbeatAPI is the HTTP API through which targets send heartbeats. The server validates the values, whatever their format.
type HeartbeatAPI struct {
	// Path is the path at which a target sends heartbeats with PUT and withdraws with DELETE. Its variable {name} is the
	// target's name.
	Path string
	// Decode decodes the body of a heartbeat. It returns an error if the body cannot be decoded, and otherwise the problems
	// of its values.
	Decode func(name string, body io.Reader) (h fleet.Heartbeat, problems []string, err error)
}

// NewHeartbeatAPI returns jayfold's own heartbeat API.
func NewHeartbeatAPI() HeartbeatAPI {
	return HeartbeatAPI{Path: "/v1/targets/{name}", Decode: decodeHeartbeat}
}

// Seams are the external dependencies of a Server.
type Seams struct {
	Now  func() time.Time
	Post func(event.Body)
	// KnownPool reports whether the tables in force contain a pool.
	KnownPool func(fleet.PoolName) bool
}

// Server is the HTTP handler for the heartbeats of the targets on one host.
type Server struct {
	api    HeartbeatAPI
	host   netip.Addr
	seams  Seams
	router *mux.Router
	acks   *pendingAcks
}

// NewServer returns the handler for targets on the host with the given address.
func NewServer(api HeartbeatAPI, host netip.Addr, seams Seams) *Server {
	s := &Server{api: api, host: host, seams: seams, router: mux.NewRouter(), acks: newPendingAcks()}
	s.router.HandleFunc(api.Path, s.handleHeartbeat).Methods(http.MethodPut)
	s.router.HandleFunc(api.Path, s.handleWithdrawal).Methods(http.MethodDelete)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.router.ServeHTTP(w, r) }

func (s *Server) handleHeartbeat(w http.ResponseWriter, r *http.Request) {
	heartbeat, problems, err := s.api.Decode(mux.Vars(r)["name"], http.MaxBytesReader(w, r.Body, maxHeartbeatBytes))
	if err != nil {
		refuse(w, decodeErrorStatus(err), "body: "+err.Error())
		return
	}
	if problems = append(problems, s.validate(heartbeat)...); len(problems) > 0 {
		refuse(w, http.StatusUnprocessableEntity, strings.Join(problems, "; "))
		return
	}
	s.reply(w, r, func(id uint64) event.Body { return event.HeartbeatReceived{Heartbeat: heartbeat, AckID: id} })
}

func (s *Server) handleWithdrawal(w http.ResponseWriter, r *http.Request) {
	name := mux.Vars(r)["name"]
	if problems := checkName(name); len(problems) > 0 {
		refuse(w, http.StatusUnprocessableEntity, strings.Join(problems, "; "))
		return
	}
	s.reply(w, r, func(id uint64) event.Body { return event.TargetWithdrew{Name: name, AckID: id} })
}

// reply posts the event of a call and responds once the call is acknowledged or refused.
func (s *Server) reply(w http.ResponseWriter, r *http.Request, newEvent func(ackID uint64) event.Body) {
	id, accepted := s.acks.add()
	defer s.acks.remove(id)
	s.seams.Post(newEvent(id))
	timer := time.NewTimer(ackTimeout)
	defer timer.Stop()
	select {
	case ok := <-accepted:
		if ok {
			w.WriteHeader(http.StatusNoContent)
			return
		}
		refuse(w, http.StatusServiceUnavailable, "neither the platform nor another node has stored that the target leaves; call again")
	case <-timer.C:
		refuse(w, http.StatusServiceUnavailable, "the control loop did not reply within the timeout; call again")
	case <-r.Context().Done():
	}
}

// AcknowledgeTarget executes effect.AcknowledgeTarget. It does not block.
func (s *Server) AcknowledgeTarget(e effect.AcknowledgeTarget) { s.acks.complete(e.AckID, e.Accepted) }

func decodeErrorStatus(err error) int {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return http.StatusRequestEntityTooLarge
	}
	return http.StatusBadRequest
}

// wireRefusal is the body of the response to a refused heartbeat.
type wireRefusal struct {
	Problem string
}

func refuse(w http.ResponseWriter, status int, problem string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(wireRefusal{Problem: problem})
}
