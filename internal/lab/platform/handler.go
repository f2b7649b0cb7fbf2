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

// maxWait bounds the wait that a watch may ask for.
const maxWait = time.Minute

// wireList is the response body of a list.
type wireList struct {
	Objects []wireObject
}

type wireObject struct {
	Key     string
	Version uint64
	Value   []byte
}

// wireFaults is the body of /admin/faults. Delay is a Go duration string.
type wireFaults struct {
	Outage        bool
	Silent        bool
	LoseResponses int
	Delay         string
}

// wireRestore is the body of /admin/restore. Age is a Go duration string.
type wireRestore struct {
	Age string
}

// wireCounters is the response body of /admin/counters.
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
	router.HandleFunc("/admin/restore", s.handleRestore).Methods(http.MethodPut)
	router.HandleFunc("/admin/counters", s.handleCounters).Methods(http.MethodGet)
	return router
}

func (s *Server) handleList(w http.ResponseWriter, r *http.Request) {
	s.handleCall(w, r, callArrived{operation: list, key: r.URL.Query().Get("prefix")}, 0)
}

func (s *Server) handleGet(w http.ResponseWriter, r *http.Request) {
	c := callArrived{operation: get, key: mux.Vars(r)["key"]}
	query := r.URL.Query()
	if !query.Has("after") {
		s.handleCall(w, r, c, 0)
		return
	}
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after: want a version", http.StatusBadRequest)
		return
	}
	wait, err := time.ParseDuration(query.Get("wait"))
	if err != nil || wait < 0 || wait > maxWait {
		http.Error(w, "wait: want a duration of at most "+maxWait.String(), http.StatusBadRequest)
		return
	}
	if epoch := query.Get("epoch"); epoch != "" {
		if c.epoch, err = strconv.ParseUint(epoch, 10, 64); err != nil {
			http.Error(w, "epoch: want a number", http.StatusBadRequest)
			return
		}
	}
	c.isWatch, c.after = true, after
	s.handleCall(w, r, c, wait)
}

func (s *Server) handlePut(w http.ResponseWriter, r *http.Request) {
	c, err := parseConditionalCall(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	value, err := io.ReadAll(io.LimitReader(r.Body, maxValueBytes+1))
	if err != nil {
		http.Error(w, "request body is truncated", http.StatusBadRequest)
		return
	}
	c.operation, c.value = put, value
	s.handleCall(w, r, c, 0)
}

func (s *Server) handleDelete(w http.ResponseWriter, r *http.Request) {
	c, err := parseConditionalCall(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	c.operation = remove
	s.handleCall(w, r, c, 0)
}

// parseConditionalCall returns a call with the key of the request and the conditions in its headers.
func parseConditionalCall(r *http.Request) (callArrived, error) {
	c := callArrived{key: mux.Vars(r)["key"]}
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
	if epoch := r.Header.Get("If-Epoch"); epoch != "" {
		var err error
		if c.epoch, err = strconv.ParseUint(epoch, 10, 64); err != nil {
			return c, errors.New("if-epoch: want a number")
		}
	}
	return c, nil
}

// handleCall executes a call and writes its response. The connection of a call without a response is aborted.
func (s *Server) handleCall(w http.ResponseWriter, r *http.Request, c callArrived, wait time.Duration) {
	outcome, ok := s.call(r.Context(), c, wait)
	if !ok || outcome.lost {
		panic(http.ErrAbortHandler)
	}
	res := outcome.response
	w.Header().Set("Epoch", strconv.FormatUint(res.epoch, 10))
	if res.version > 0 {
		w.Header().Set("ETag", strconv.Quote(strconv.FormatUint(res.version, 10)))
	}
	if res.list != nil {
		writeJSON(w, newWireList(res.list))
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.WriteHeader(res.status)
	// If the write fails, the caller receives a truncated response. The error cannot be reported in any other way.
	_, _ = w.Write(res.value)
}

func newWireList(entries []listEntry) wireList {
	wire := wireList{Objects: make([]wireObject, 0, len(entries))}
	for _, e := range entries {
		wire.Objects = append(wire.Objects, wireObject{Key: e.key, Version: e.version, Value: e.value})
	}
	return wire
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// If the write fails, the caller receives a truncated response. The error cannot be reported in any other way.
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

func (s *Server) handleRestore(w http.ResponseWriter, r *http.Request) {
	var wire wireRestore
	err := json.NewDecoder(r.Body).Decode(&wire)
	age, ageErr := time.ParseDuration(wire.Age)
	if err := errors.Join(err, ageErr); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.Restore(age)
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
