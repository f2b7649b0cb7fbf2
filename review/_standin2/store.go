package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// object is an object of the platform's store, in the form of PROTOCOL.md, "The platform's metadata store".
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

// change is one change of the store, with its time.
type change struct {
	at        time.Time
	revision  uint64
	kind      string
	object    object
	tombstone bool
}

// store is a stand-in of the platform's store. Calls that allow stale data are answered from a copy that is staleLag old.
type store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]object
	changes  []change
	changed  chan struct{}
	staleLag time.Duration
	address  string
	server   *http.Server
}

func newStore(address string, staleLag time.Duration) (*store, error) {
	s := &store{revision: 100, objects: map[string]map[string]object{}, changed: make(chan struct{}), staleLag: staleLag}
	l, err := net.Listen("tcp", address+":0")
	if err != nil {
		return nil, err
	}
	s.address = l.Addr().String()
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

// put writes an object as the operator does, and returns the time of the acknowledgement.
func (s *store) put(kind, name string, spec any) time.Time {
	value, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, object{Metadata: metadata{Name: name}, Spec: value})
	return time.Now()
}

// write stores an object; mu is held.
func (s *store) write(kind string, o object) object {
	s.revision++
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	o.Metadata.CreateRev = s.revision
	if old, ok := s.objects[kind][o.Metadata.Name]; ok {
		o.Metadata.CreateRev = old.Metadata.CreateRev
	}
	o.Metadata.Revision = s.revision
	s.objects[kind][o.Metadata.Name] = o
	s.note(change{at: time.Now(), revision: s.revision, kind: kind, object: o})
	return o
}

func (s *store) note(c change) {
	s.changes = append(s.changes, c)
	close(s.changed)
	s.changed = make(chan struct{})
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if body != nil {
		_ = json.NewEncoder(w).Encode(body)
	}
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path, ok := strings.CutPrefix(r.URL.Path, "/v1/objects/")
	if !ok {
		reply(w, 404, nil)
		return
	}
	kind, name, _ := strings.Cut(path, "/")
	name, _ = strings.CutSuffix(name, "/status")
	query := r.URL.Query()
	if r.Method == http.MethodGet && name == "" && query.Get("Watch") != "" {
		s.watch(w, r, kind)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	found, exists := s.objects[kind][name]
	switch {
	case r.Method == http.MethodGet && name == "":
		s.list(w, kind, query.Get("after"))
		return
	case r.Method == http.MethodGet && exists:
		reply(w, 200, found)
		return
	case r.Method == http.MethodGet:
		reply(w, 404, nil)
		return
	}
	var sent object
	if len(body) > 0 {
		if err := json.Unmarshal(body, &sent); err != nil {
			reply(w, 400, nil)
			return
		}
	}
	if text := query.Get("Revision"); text != "" {
		sent.Metadata.Revision, _ = strconv.ParseUint(text, 10, 64)
	}
	switch r.Method {
	case http.MethodPost:
		if old, taken := s.objects[kind][sent.Metadata.Name]; taken {
			reply(w, 409, old)
			return
		}
		reply(w, 200, s.write(kind, sent))
	case http.MethodPut:
		switch {
		case !exists:
			reply(w, 404, nil)
		case sent.Metadata.Revision != 0 && sent.Metadata.Revision != found.Metadata.Revision:
			reply(w, 409, found)
		default:
			sent.Metadata.Name = name
			reply(w, 200, s.write(kind, sent))
		}
	case http.MethodDelete:
		switch {
		case !exists:
			reply(w, 404, nil)
		case sent.Metadata.Revision != 0 && sent.Metadata.Revision != found.Metadata.Revision:
			reply(w, 409, found)
		default:
			s.revision++
			delete(s.objects[kind], name)
			s.note(change{at: time.Now(), revision: s.revision, kind: kind, object: found, tombstone: true})
			reply(w, 200, found)
		}
	default:
		reply(w, 405, nil)
	}
}

// list answers with the objects of a kind; mu is held.
func (s *store) list(w http.ResponseWriter, kind, after string) {
	items := []object{}
	for name, o := range s.objects[kind] {
		if name > after {
			items = append(items, o)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Metadata.Name < items[j].Metadata.Name })
	reply(w, 200, map[string]any{"items": items, "More": false, names["revision"]: s.revision})
}

// watch answers with the changes of a kind since a revision, as soon as there are any.
func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, _ := strconv.ParseUint(r.URL.Query().Get("Watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get(names["wait"]))
	lag := time.Duration(0)
	if r.URL.Query().Get(names["stale"]) == "1" {
		lag = s.staleLag
	}
	end := time.NewTimer(time.Duration(min(wait, 30000)) * time.Millisecond)
	defer end.Stop()
	for {
		events, revision, changed, next := s.since(kind, from, lag)
		if len(events) > 0 {
			reply(w, 200, map[string]any{"events": events, names["revision"]: revision})
			return
		}
		due := time.NewTimer(next)
		select {
		case <-changed:
		case <-due.C:
		case <-end.C:
			due.Stop()
			reply(w, 200, map[string]any{"events": []any{}, names["revision"]: max(revision, from)})
			return
		case <-r.Context().Done():
			due.Stop()
			return
		}
		due.Stop()
	}
}

// since returns the events that a watcher of the store, or of the copy that lags, can see, and the time until it may see more.
func (s *store) since(kind string, from uint64, lag time.Duration) (events []any, revision uint64, changed chan struct{}, next time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next, revision = time.Hour, 100
	for _, c := range s.changes {
		if age := time.Since(c.at); age < lag {
			next = lag - age
			break
		}
		revision = c.revision
		if c.kind == kind && c.revision > from {
			events = append(events, map[string]any{"Object": c.object, "Tombstone": c.tombstone})
		}
	}
	return events, revision, s.changed, next
}

// route is a route of the operator's configuration.
type route struct {
	name, host, prefix, kind, service string
	timeoutMs, latencyMs              int
	priority, attempts                int
}

// MarshalJSON implements json.Marshaler.
func (r route) MarshalJSON() ([]byte, error) {
	return json.Marshal(map[string]any{
		"Name": r.name, "Host": r.host, "PathPrefix": r.prefix, names["kind"]: r.kind, "Service": r.service,
		"TimeoutMs": r.timeoutMs, names["latency"]: r.latencyMs, "Priority": r.priority, "Attempts": r.attempts,
	})
}

// config returns the operator's configuration in the form that `fleetbench wire` shows.
func config(version int, services []string, routes ...route) map[string]any {
	var list []map[string]any
	for _, name := range services {
		list = append(list, map[string]any{"Name": name, "HealthCheckPath": "/health", "MaxConnections": 330, "Protocol": "h1", "Tls": false})
	}
	return map[string]any{
		"Version": version, "Routes": routes, "Services": list,
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	}
}

func orDie(err error, what string) {
	if err != nil {
		panic(fmt.Errorf("%s: %w", what, err))
	}
}
