package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// object is an object of the platform's store.
type object struct {
	Metadata metadata
	Spec     json.RawMessage `json:",omitempty"`
	Status   json.RawMessage `json:",omitempty"`
}

type metadata struct {
	Name       string
	Revision   uint64
	CreateRev  uint64
	Finalizers []string
	Deleting   bool
}

type storeEvent struct {
	Object    object
	Tombstone bool
}

type change struct {
	revision uint64
	kind     string
	event    storeEvent
}

// store is a stand-in of the platform's metadata store. It serves the calls of PROTOCOL.md that nodes make.
type store struct {
	mu       sync.Mutex
	changed  chan struct{}
	revision uint64
	objects  map[string]object // by kind/name
	history  []change
}

func newStore() *store {
	return &store{changed: make(chan struct{}), revision: 500, objects: map[string]object{}}
}

// set creates or replaces an object. The caller holds the lock.
func (s *store) set(kind, name string, spec, status json.RawMessage) object {
	key := kind + "/" + name
	old, known := s.objects[key]
	s.revision++
	next := object{Metadata: metadata{Name: name, Revision: s.revision, CreateRev: s.revision, Finalizers: []string{}}, Spec: spec, Status: status}
	if known {
		next.Metadata.CreateRev = old.Metadata.CreateRev
	}
	s.objects[key] = next
	s.record(kind, storeEvent{Object: next})
	return next
}

func (s *store) record(kind string, e storeEvent) {
	s.history = append(s.history, change{s.revision, kind, e})
	close(s.changed)
	s.changed = make(chan struct{})
}

// configure is the operator's write of config/main. Its return is the ack.
func (s *store) configure(config any) {
	spec, err := json.Marshal(config)
	check(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set("config", "main", spec, nil)
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	parts := strings.Split(strings.TrimPrefix(r.URL.Path, "/v1/objects/"), "/")
	switch {
	case r.Method == http.MethodGet && len(parts) == 1 && r.URL.Query().Has("Watch"):
		s.watch(w, r, parts[0])
	case r.Method == http.MethodGet && len(parts) == 1:
		s.list(w, parts[0], r.URL.Query().Get("after"))
	case r.Method == http.MethodPost && len(parts) == 1:
		s.create(w, r, parts[0])
	case len(parts) == 2:
		s.one(w, r, parts[0], parts[1])
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) list(w http.ResponseWriter, kind, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []object{}
	for key, o := range s.objects {
		if strings.HasPrefix(key, kind+"/") && o.Metadata.Name > after {
			items = append(items, o)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Metadata.Name < items[j].Metadata.Name })
	reply(w, http.StatusOK, map[string]any{"items": items, "More": false, wire.StoreRevision: s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, _ := strconv.ParseUint(r.URL.Query().Get("Watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get(wire.WatchWait))
	limit := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	for waiting := true; ; {
		s.mu.Lock()
		events := []storeEvent{}
		for _, c := range s.history {
			if c.revision > from && c.kind == kind {
				events = append(events, c.event)
			}
		}
		changed, revision := s.changed, s.revision
		s.mu.Unlock()
		if len(events) > 0 || !waiting {
			reply(w, http.StatusOK, map[string]any{"events": events, wire.StoreRevision: revision})
			return
		}
		select {
		case <-changed:
		case <-limit:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) create(w http.ResponseWriter, r *http.Request, kind string) {
	var o object
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if old, exists := s.objects[kind+"/"+o.Metadata.Name]; exists {
		reply(w, http.StatusConflict, old)
		return
	}
	reply(w, http.StatusOK, s.set(kind, o.Metadata.Name, o.Spec, o.Status))
}

func (s *store) one(w http.ResponseWriter, r *http.Request, kind, name string) {
	var o object
	if r.Method == http.MethodPut && json.NewDecoder(r.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old, exists := s.objects[kind+"/"+name]
	if !exists {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if want, _ := strconv.ParseUint(r.URL.Query().Get("Revision"), 10, 64); want != 0 {
		o.Metadata.Revision = want
	}
	if o.Metadata.Revision != 0 && o.Metadata.Revision != old.Metadata.Revision {
		reply(w, http.StatusConflict, old)
		return
	}
	switch r.Method {
	case http.MethodGet:
		reply(w, http.StatusOK, old)
	case http.MethodPut:
		reply(w, http.StatusOK, s.set(kind, name, o.Spec, old.Status))
	case http.MethodDelete:
		s.revision++
		delete(s.objects, kind+"/"+name)
		s.record(kind, storeEvent{Object: old, Tombstone: true})
		reply(w, http.StatusOK, old)
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}
