package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// object is an object of the platform's store.
type object struct {
	Metadata struct {
		Name       string
		Revision   uint64
		CreateRev  uint64
		Finalizers []string
		Deleting   bool
	}
	Spec   json.RawMessage
	Status json.RawMessage
}

type change struct {
	revision  uint64
	kind      string
	object    object
	tombstone bool
}

// store is a stand-in of the platform's metadata store, as PROTOCOL.md describes it. While it is down, it answers each call with 503,
// and nothing is done.
type store struct {
	address string
	server  *http.Server
	mu      sync.Mutex
	changed *sync.Cond
	rev     uint64
	kinds   map[string]map[string]object
	history []change
	down    bool
}

func newStore(ip string) *store {
	s := &store{rev: 500, kinds: map[string]map[string]object{}}
	s.changed = sync.NewCond(&s.mu)
	l, err := net.Listen("tcp", ip+":0")
	check(err)
	s.address = l.Addr().String()
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(l) }()
	return s
}

// setDown starts or ends an outage. Watches that wait are cut off when it starts.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	s.down = down
	s.changed.Broadcast()
	s.mu.Unlock()
	record("store: down=%v", down)
}

// operatorPut writes the configuration, as the operator does. Its return is the ack.
func (s *store) operatorPut(config string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.kinds["config"]["main"]
	o.Metadata.Name = "main"
	o.Spec = json.RawMessage(wire(config))
	s.put("config", o)
}

// put stores an object under a new revision. The caller holds the lock.
func (s *store) put(kind string, o object) object {
	s.rev++
	if o.Metadata.CreateRev == 0 {
		o.Metadata.CreateRev = s.rev
	}
	o.Metadata.Revision = s.rev
	if s.kinds[kind] == nil {
		s.kinds[kind] = map[string]object{}
	}
	s.kinds[kind][o.Metadata.Name] = o
	s.history = append(s.history, change{revision: s.rev, kind: kind, object: o})
	s.changed.Broadcast()
	return o
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	parts := strings.Split(strings.TrimPrefix(r.URL.Path, "/v1/objects/"), "/")
	kind, name := parts[0], ""
	if len(parts) > 1 {
		name = parts[1]
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		reply(w, http.StatusServiceUnavailable, map[string]string{"Error": "busy"})
		return
	}
	switch {
	case r.Method == http.MethodGet && name != "":
		o, ok := s.kinds[kind][name]
		if !ok {
			reply(w, http.StatusNotFound, map[string]string{})
			return
		}
		reply(w, http.StatusOK, o)
	case r.Method == http.MethodGet && r.URL.Query().Get("Watch") != "":
		s.watch(w, r, kind)
	case r.Method == http.MethodGet:
		s.list(w, r, kind)
	case r.Method == http.MethodPost, r.Method == http.MethodPut:
		s.write(w, r, kind, name)
	case r.Method == http.MethodDelete:
		o, ok := s.kinds[kind][name]
		if !ok {
			reply(w, http.StatusNotFound, map[string]string{})
			return
		}
		s.rev++
		delete(s.kinds[kind], name)
		s.history = append(s.history, change{revision: s.rev, kind: kind, object: o, tombstone: true})
		s.changed.Broadcast()
		reply(w, http.StatusOK, o)
	default:
		reply(w, http.StatusBadRequest, map[string]string{})
	}
}

func (s *store) list(w http.ResponseWriter, r *http.Request, kind string) {
	names := []string{}
	for n := range s.kinds[kind] {
		if n > r.URL.Query().Get("after") {
			names = append(names, n)
		}
	}
	sort.Strings(names)
	items := []object{}
	for _, n := range names {
		items = append(items, s.kinds[kind][n])
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "More": false, wire("@revision@"): s.rev})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, _ := strconv.ParseUint(r.URL.Query().Get("Watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get(wire("@wait@")))
	end := time.Now().Add(time.Duration(wait) * time.Millisecond)
	wake := time.AfterFunc(time.Until(end), func() { s.mu.Lock(); s.changed.Broadcast(); s.mu.Unlock() })
	defer wake.Stop()
	type event struct {
		Object    object
		Tombstone bool
	}
	for {
		events := []event{}
		for _, c := range s.history {
			if c.revision > from && c.kind == kind {
				events = append(events, event{c.object, c.tombstone})
			}
		}
		if s.down || r.Context().Err() != nil {
			if h, ok := w.(http.Hijacker); ok {
				if c, _, err := h.Hijack(); err == nil {
					_ = c.Close()
				}
			}
			return
		}
		if len(events) > 0 || !time.Now().Before(end) {
			reply(w, http.StatusOK, map[string]any{"events": events, wire("@revision@"): s.rev})
			return
		}
		s.changed.Wait()
	}
}

func (s *store) write(w http.ResponseWriter, r *http.Request, kind, name string) {
	var in object
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		reply(w, http.StatusBadRequest, map[string]string{"Error": err.Error()})
		return
	}
	if r.Method == http.MethodPost {
		name = in.Metadata.Name
	}
	known, ok := s.kinds[kind][name]
	switch {
	case r.Method == http.MethodPost && ok:
		reply(w, http.StatusConflict, known)
		return
	case r.Method == http.MethodPut && !ok:
		reply(w, http.StatusNotFound, map[string]string{})
		return
	case in.Metadata.Revision != 0 && in.Metadata.Revision != known.Metadata.Revision:
		reply(w, http.StatusConflict, known)
		return
	}
	known.Metadata.Name, known.Spec = name, in.Spec
	reply(w, http.StatusOK, s.put(kind, known))
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func check(err error) {
	if err != nil {
		fmt.Println("cannot run:", err)
		cannotRun()
	}
}
