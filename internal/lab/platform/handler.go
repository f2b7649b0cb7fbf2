package platform

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gorilla/mux"

	"jayfold.dev/jayfold/internal/core/fleet"
)

// longestWait bounds the wait of a watch.
const longestWait = time.Minute

// wireList is the answer of a list.
type wireList struct {
	Objects []wireObject
}

type wireObject struct {
	Key     string
	Version uint64
	Value   []byte
}

// wireFaults are the faults in /admin/faults. Delay is a Go duration.
type wireFaults struct {
	Outage        bool
	Silent        bool
	LoseResponses int
	Delay         string
}

// wireCounters are the counters in /admin/counters.
type wireCounters struct {
	Reads   int
	Writes  int
	Watches int
	Limited int
	Lost    int
}

func (s *Server) handler() http.Handler {
	router := mux.NewRouter().SkipClean(true)
	router.HandleFunc("/v1/objects", s.handleList).Methods(http.MethodGet)
	router.HandleFunc("/v1/objects/{key:.+}", s.handleGet).Methods(http.MethodGet)
	router.HandleFunc("/v1/objects/{key:.+}", s.handlePut).Methods(http.MethodPut)
	router.HandleFunc("/v1/objects/{key:.+}", s.handleDelete).Methods(http.MethodDelete)
	router.HandleFunc("/admin/faults", s.handleFaults).Methods(http.MethodGet, http.MethodPut)
	router.HandleFunc("/admin/counters", s.handleCounters).Methods(http.MethodGet)
	return router
}

func (s *Server) handleList(w http.ResponseWriter, r *http.Request) {
	s.carryOut(w, r, called{operation: list, key: r.URL.Query().Get("prefix")}, 0)
}

func (s *Server) handleGet(w http.ResponseWriter, r *http.Request) {
	c := called{operation: get, key: mux.Vars(r)["key"]}
	query := r.URL.Query()
	if !query.Has("after") {
		s.carryOut(w, r, c, 0)
		return
	}
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after: want a version", http.StatusBadRequest)
		return
	}
	wait, err := time.ParseDuration(query.Get("wait"))
	if err != nil || wait < 0 || wait > longestWait {
		http.Error(w, "wait: want a duration of at most "+longestWait.String(), http.StatusBadRequest)
		return
	}
	c.waits, c.after = true, after
	s.carryOut(w, r, c, wait)
}

func (s *Server) handlePut(w http.ResponseWriter, r *http.Request) {
	c, err := conditions(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	value, err := io.ReadAll(io.LimitReader(r.Body, maxValue+1))
	if err != nil {
		http.Error(w, "the body broke off", http.StatusBadRequest)
		return
	}
	c.operation, c.value = put, value
	s.carryOut(w, r, c, 0)
}

func (s *Server) handleDelete(w http.ResponseWriter, r *http.Request) {
	c, err := conditions(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	c.operation = remove
	s.carryOut(w, r, c, 0)
}

// conditions returns a call with the request's key and the conditions in its headers.
func conditions(r *http.Request) (called, error) {
	c := called{key: mux.Vars(r)["key"]}
	if match := r.Header.Get("If-Match"); match != "" {
		version, err := strconv.ParseUint(strings.Trim(match, `"`), 10, 64)
		if err != nil {
			return c, errors.New("if-match: want a version in quotes")
		}
		c.ifMatch = fleet.Some(version)
	}
	none := r.Header.Get("If-None-Match")
	if none != "" && none != "*" {
		return c, errors.New("if-none-match: want *")
	}
	c.ifAbsent = none == "*"
	return c, nil
}

// carryOut runs a call and writes its answer. A call without an answer ends with its connection.
func (s *Server) carryOut(w http.ResponseWriter, r *http.Request, c called, wait time.Duration) {
	answered, ok := s.call(r.Context(), c, wait)
	if !ok || answered.lost {
		panic(http.ErrAbortHandler)
	}
	res := answered.response
	if res.version > 0 {
		w.Header().Set("ETag", strconv.Quote(strconv.FormatUint(res.version, 10)))
	}
	if res.list != nil {
		writeJSON(w, newWireList(res.list))
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.WriteHeader(res.status)
	// The caller sees a response that breaks off; nothing else is left to do about it.
	_, _ = w.Write(res.value)
}

func newWireList(entries []entry) wireList {
	wire := wireList{Objects: make([]wireObject, 0, len(entries))}
	for _, e := range entries {
		wire.Objects = append(wire.Objects, wireObject{Key: e.key, Version: e.version, Value: e.value})
	}
	return wire
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// The caller sees a response that breaks off; nothing else is left to do about it.
	_ = json.NewEncoder(w).Encode(v)
}

func (s *Server) handleFaults(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPut {
		var wire wireFaults
		decoder := json.NewDecoder(r.Body)
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&wire); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		faults, err := wire.faults()
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.SetFaults(faults)
	}
	f := s.Faults()
	writeJSON(w, wireFaults{f.Outage, f.Silent, f.LoseResponses, f.Delay.String()})
}

func (w wireFaults) faults() (Faults, error) {
	f := Faults{Outage: w.Outage, Silent: w.Silent, LoseResponses: w.LoseResponses}
	if w.Delay == "" {
		return f, nil
	}
	delay, err := time.ParseDuration(w.Delay)
	f.Delay = delay
	return f, err
}

func (s *Server) handleCounters(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, wireCounters(s.Counters()))
}
