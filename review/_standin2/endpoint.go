package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// run is a request that an endpoint has begun to work on.
type run struct {
	at       time.Time
	endpoint string
	service  string
	attempt  string
	method   string
	target   string // the request target as it arrived, path and query
	body     string
}

// endpoint is a stand-in of an application endpoint (PROTOCOL.md, "Endpoints" and "Service discovery").
type endpoint struct {
	id, service, zone string
	address           string
	slots             chan struct{}
	waiting           atomic.Int64
	work              time.Duration
	born              int64
	seq               atomic.Int64
	record            *record
	control           string
	stop              context.CancelFunc
	server            *http.Server
	mu                sync.Mutex
	runs              []run
}

func newEndpoint(rec *record, ip, id, service, zone string, slots int, work time.Duration) *endpoint {
	l, err := net.Listen("tcp", ip+":0")
	orDie(err, "listen for an endpoint")
	e := &endpoint{
		id: id, service: service, zone: zone, address: l.Addr().String(), slots: make(chan struct{}, slots), work: work,
		born: time.Now().UnixMilli(), record: rec,
	}
	e.server = &http.Server{Handler: e}
	go func() { _ = e.server.Serve(l) }()
	return e
}

// beat sends heartbeats to the node on the endpoint's machine.
func (e *endpoint) beat(control string) {
	ctx, cancel := context.WithCancel(context.Background())
	e.control, e.stop = control, cancel
	go func() {
		for ctx.Err() == nil {
			wait := 1500 * time.Millisecond
			if !e.ping("ready") {
				wait = 300 * time.Millisecond
			}
			select {
			case <-ctx.Done():
			case <-time.After(wait):
			}
		}
	}()
}

func (e *endpoint) ping(state string) bool {
	body, _ := json.Marshal(map[string]any{
		"Service": e.service, "Address": e.address, "Zone": e.zone, "Version": "v1", "Slots": cap(e.slots), "State": state,
		names["cold"]: 0, "Seq": e.seq.Add(1), "born": e.born,
	})
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := http.NewRequest(http.MethodPut, "http://"+e.control+"/v1/instances/"+e.id, bytes.NewReader(body))
	orDie(err, "heartbeat")
	r.Header.Set("Content-Type", "application/json")
	res, err := client.Do(r)
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode/100 == 2
}

// ServeHTTP implements http.Handler.
func (e *endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	load := func() string { return fmt.Sprintf("%d,%d,%d", len(e.slots), e.waiting.Load(), cap(e.slots)) }
	if r.URL.Path == "/health" {
		h.Set("Instance-Id", e.id)
		h.Set(names["load"], load())
		return
	}
	id := r.Header.Get(names["id"])
	h.Set(names["id"], id)
	if want := r.Header.Get(names["target"]); want != "" && want != e.id {
		h.Set("Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if e.waiting.Add(1) > 36 {
		e.waiting.Add(-1)
		h.Set(names["notRun"], "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	select {
	case e.slots <- struct{}{}:
		e.waiting.Add(-1)
	case <-r.Context().Done():
		e.waiting.Add(-1)
		return
	}
	defer func() { <-e.slots }()
	e.mu.Lock()
	e.runs = append(e.runs, run{time.Now(), e.id, e.service, id, r.Method, r.RequestURI, string(body)})
	e.mu.Unlock()
	e.record.log("run by %s (%s): %s %s attempt %s, %d bytes", e.id, e.service, r.Method, r.RequestURI, id, len(body))
	time.Sleep(e.work)
	h.Set(names["load"], load())
	h.Set(names["proof"], e.id+"."+id)
	_, _ = io.WriteString(w, e.service+" "+id)
}

func (e *endpoint) close() {
	if e.stop != nil {
		e.stop()
	}
	_ = e.server.Close()
}
