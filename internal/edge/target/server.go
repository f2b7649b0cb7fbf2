package target

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"strings"

	"github.com/gorilla/mux"

	"jayfold.dev/jayfold/internal/core/event"
	"jayfold.dev/jayfold/internal/core/fleet"
)

// maxHeartbeatBytes bounds the body of an announcement, in bytes.
const maxHeartbeatBytes = 16 << 10

// HeartbeatAPI is how targets announce themselves. What an announcement may say is checked by the server, whatever form
// it came in.
type HeartbeatAPI struct {
	// Path is where a target is announced with PUT and withdrawn with DELETE; its variable {name} is the target's name.
	Path string
	// Decode reads the body of an announcement. The faults are what is wrong with it; an error means that it cannot be
	// read at all.
	Decode func(name string, body io.Reader) (a fleet.Heartbeat, faults []string, err error)
}

// NewHeartbeatAPI returns jayfold's own form of announcements.
func NewHeartbeatAPI() HeartbeatAPI {
	return HeartbeatAPI{Path: "/v1/targets/{name}", Decode: decodeHeartbeat}
}

// Seams are what the server needs from outside.
type Seams struct {
	Post func(event.Body)
	// KnownPool reports whether the tables in force have a pool.
	KnownPool func(fleet.PoolName) bool
}

// Server is the HTTP handler for the announcements of the targets on one host.
type Server struct {
	api    HeartbeatAPI
	host   netip.Addr
	seams  Seams
	router *mux.Router
}

// NewServer returns the handler for targets on the host with the given address.
func NewServer(form HeartbeatAPI, host netip.Addr, seams Seams) *Server {
	s := &Server{api: form, host: host, seams: seams, router: mux.NewRouter()}
	s.router.HandleFunc(form.Path, s.handleHeartbeat).Methods(http.MethodPut)
	s.router.HandleFunc(form.Path, s.handleWithdrawal).Methods(http.MethodDelete)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.router.ServeHTTP(w, r) }

func (s *Server) handleHeartbeat(w http.ResponseWriter, r *http.Request) {
	a, faults, err := s.api.Decode(mux.Vars(r)["name"], http.MaxBytesReader(w, r.Body, maxHeartbeatBytes))
	if err != nil {
		refuse(w, decodeErrorStatus(err), "body: "+err.Error())
		return
	}
	if faults = append(faults, s.validate(a)...); len(faults) > 0 {
		refuse(w, http.StatusUnprocessableEntity, strings.Join(faults, "; "))
		return
	}
	s.seams.Post(event.HeartbeatReceived{Heartbeat: a})
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) handleWithdrawal(w http.ResponseWriter, r *http.Request) {
	name := mux.Vars(r)["name"]
	if faults := checkName(name); len(faults) > 0 {
		refuse(w, http.StatusUnprocessableEntity, strings.Join(faults, "; "))
		return
	}
	s.seams.Post(event.TargetWithdrew{Name: name})
	w.WriteHeader(http.StatusNoContent)
}

func decodeErrorStatus(err error) int {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return http.StatusRequestEntityTooLarge
	}
	return http.StatusBadRequest
}

// wireRefusal is the body of a refused announcement.
type wireRefusal struct {
	Problem string
}

func refuse(w http.ResponseWriter, status int, problem string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(wireRefusal{Problem: problem})
}
