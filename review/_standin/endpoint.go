package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// heartbeatInterval is HeartbeatMs.
const heartbeatInterval = 1500 * time.Millisecond

// arrival is a request that reached an endpoint.
type arrival struct {
	at       time.Time
	endpoint *endpoint
	id       string
	method   string
	uri      string
	ran      bool
}

// endpoint is a stand-in of an application endpoint beside a node.
type endpoint struct {
	id, service, zone string
	address           string
	control           string // the Control address of its machine
	slots             int
	work              time.Duration
	born              int64
	// loses reports whether the answer to the n-th run is lost: the connection is reset after the run.
	loses func(n int64) bool

	record *record
	server *http.Server
	free   chan struct{}
	queued atomic.Int64
	runs   atomic.Int64
	seq    atomic.Int64

	mu       sync.Mutex
	arrivals []arrival
	stop     chan struct{}
	// heldPings is set while the path from the endpoint to its node is cut.
	heldPings bool
	gone      bool
	conns     map[net.Conn]bool
	poison    func(id string)
}

// endpointQueue is the number of requests that an endpoint queues beyond its slots.
const endpointQueue = 36

func startEndpoint(rec *record, n *node, id, service string, slots int, work time.Duration) *endpoint {
	return listenEndpoint(rec, n, n.host+":0", id, service, slots, work)
}

// listenEndpoint is startEndpoint at a given address.
func listenEndpoint(rec *record, n *node, address, id, service string, slots int, work time.Duration) *endpoint {
	listener, err := net.Listen("tcp", address)
	check(err)
	e := &endpoint{
		id: id, service: service, zone: n.zone, address: listener.Addr().String(), control: n.control, slots: slots, work: work,
		born: time.Now().UnixMilli(), record: rec, free: make(chan struct{}, slots), stop: make(chan struct{}),
		loses: func(int64) bool { return false },
	}
	e.conns = map[net.Conn]bool{}
	e.server = &http.Server{Handler: e, ConnState: func(c net.Conn, state http.ConnState) {
		e.mu.Lock()
		defer e.mu.Unlock()
		if state == http.StateNew {
			e.conns[c] = true
		} else if state == http.StateClosed {
			delete(e.conns, c)
		}
	}}
	go func() { _ = e.server.Serve(listener) }()
	go e.beat()
	return e
}

// beat sends a ping every heartbeatInterval until the endpoint leaves.
func (e *endpoint) beat() {
	for {
		e.mu.Lock()
		held := e.heldPings
		e.mu.Unlock()
		body := e.ping("ready")
		if !held {
			e.send(http.MethodPut, body)
		}
		select {
		case <-e.stop:
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

// ping returns the body of the next ping.
func (e *endpoint) ping(state string) []byte {
	body, err := json.Marshal(map[string]any{
		"Service": e.service, "Address": e.address, "Zone": e.zone, "Version": "v1", "Slots": e.slots, "State": state,
		wire.ColdTime: 0, "Seq": e.seq.Add(1), "born": e.born,
	})
	check(err)
	return body
}

// send makes a call to the Control address and returns the status; 0 if there was no answer within a second.
func (e *endpoint) send(method string, body []byte) int {
	request, err := http.NewRequest(method, "http://"+e.control+"/v1/instances/"+e.id, bytes.NewReader(body))
	check(err)
	request.Header.Set("Content-Type", "application/json")
	request.Close = true
	client := http.Client{Timeout: time.Second}
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// arrived records a request that reached the endpoint and returns its number among the runs.
func (e *endpoint) arrived(at time.Time, r *http.Request, ran bool) int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	id := r.Header.Get(wire.RequestID)
	e.arrivals = append(e.arrivals, arrival{at, e, id, r.Method, r.RequestURI, ran})
	e.record.printf("endpoint %s (%s): %s %s id %s ran=%v", e.id, e.service, r.Method, r.RequestURI, id, ran)
	if ran {
		return e.runs.Add(1)
	}
	return 0
}

func (e *endpoint) notRun(w http.ResponseWriter, r *http.Request, status int) {
	e.arrived(time.Now(), r, false)
	w.Header().Set(wire.RequestID, r.Header.Get(wire.RequestID))
	w.Header().Set(wire.NotRun, "1")
	w.Header().Set("Instance-Id", e.id)
	w.WriteHeader(status)
}

func (e *endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	at := time.Now()
	if r.URL.Path == "/health" {
		w.Header().Set("Instance-Id", e.id)
		return
	}
	if target := r.Header.Get(wire.Target); target != "" && target != e.id {
		e.notRun(w, r, http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if e.queued.Add(1) > int64(e.slots+endpointQueue) {
		e.queued.Add(-1)
		e.notRun(w, r, http.StatusServiceUnavailable)
		return
	}
	defer e.queued.Add(-1)
	select {
	case e.free <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-e.free }()
	n := e.arrived(at, r, true)
	if e.crashesOn(r) {
		time.Sleep(time.Second)
		return
	}
	time.Sleep(e.work)
	if e.loses(n) {
		e.record.printf("endpoint %s: answer to id %s is lost", e.id, r.Header.Get(wire.RequestID))
		conn, _, err := w.(http.Hijacker).Hijack()
		if err == nil {
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		}
		return
	}
	w.Header().Set(wire.RequestID, r.Header.Get(wire.RequestID))
	w.Header().Set(wire.Signature, "3e1b.07."+e.id)
	w.Header().Set(wire.Load, fmt.Sprintf("%d,0,%d", len(e.free), e.slots))
	_, _ = fmt.Fprintf(w, "%s ran %s with %d bytes", e.service, r.Header.Get(wire.RequestID), len(body))
}

// exit ends the endpoint's process: no more pings, all connections closed.
func (e *endpoint) exit() {
	e.mu.Lock()
	if !e.gone {
		e.gone = true
		close(e.stop)
	}
	e.mu.Unlock()
	_ = e.server.Close()
}

// leave ends the pings, as an endpoint does that says it leaves.
func (e *endpoint) leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.gone {
		e.gone = true
		close(e.stop)
	}
}

func (e *endpoint) seen() []arrival {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]arrival(nil), e.arrivals...)
}
