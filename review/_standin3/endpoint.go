package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// run is one request at which an endpoint began to work.
type run struct {
	attempt, endpoint, path, caller, tenant string
	began, ended                            time.Time
	// dropped is true if the endpoint dropped the request because its connection closed.
	dropped bool
}

// runs holds the runs of all endpoints.
type runs struct {
	mu   sync.Mutex
	list []*run
}

func (r *runs) snapshot() []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all []run
	for _, one := range r.list {
		all = append(all, *one)
	}
	return all
}

// endpoint is a stand-in of an application endpoint on a machine. It works for the time in the path (/w2500/ is 2,500 ms), drops a request
// whose connection closes, and crashes when it begins a request whose path contains "crash": its listener and its connections are gone, and
// it is back with a new id after back.
type endpoint struct {
	id, service, address, control, zone string
	slots                               int
	back                                time.Duration
	// portCloses is the time from the end of the connections to that of the listener in a crash.
	portCloses                 time.Duration
	all                        *runs
	mu                         sync.Mutex
	server                     *http.Server
	running, sequence, crashes int
	born                       int64
	state                      string
	stop                       chan struct{}
	beats                      bool
	conns                      map[net.Conn]bool
}

func newEndpoint(all *runs, id, service, zone, address, control string, slots int) *endpoint {
	e := &endpoint{all: all, id: id, service: service, zone: zone, address: address, control: control, slots: slots, state: "ready"}
	e.start()
	return e
}

func (e *endpoint) start() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.born, e.sequence, e.running = time.Now().UnixMilli(), 0, 0
	e.stop = make(chan struct{})
	e.beats = true
	e.conns = map[net.Conn]bool{}
	l, err := net.Listen("tcp", e.address)
	check(err)
	e.server = &http.Server{Handler: e, ConnState: func(c net.Conn, state http.ConnState) {
		e.mu.Lock()
		defer e.mu.Unlock()
		switch state {
		case http.StateNew:
			e.conns[c] = true
		case http.StateClosed:
			delete(e.conns, c)
		}
	}}
	server := e.server
	go func() { _ = server.Serve(l) }()
	go e.beatLoop(e.stop)
}

func (e *endpoint) beatLoop(stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		default:
		}
		e.mu.Lock()
		beats := e.beats
		e.mu.Unlock()
		if beats {
			e.beat()
		}
		select {
		case <-stop:
			return
		case <-time.After(heartbeat):
		}
	}
}

const heartbeat = 1500 * time.Millisecond

// beatBody returns the body of the next ping.
func (e *endpoint) beatBody() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sequence++
	return fmt.Sprintf(`{"Service":%q,"Address":%q,"Zone":%q,"Version":"v1","Slots":%d,"State":%q,"@cold@":0,"Seq":%d,"born":%d}`,
		e.service, e.address, e.zone, e.slots, e.state, e.sequence, e.born)
}

func (e *endpoint) beat() bool { return e.call(http.MethodPut, e.beatBody()) }

// call sends a ping or a withdrawal and reports whether it was acknowledged within a second.
func (e *endpoint) call(method, body string) bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	req, err := http.NewRequest(method, "http://"+e.control+"/v1/instances/"+e.id, strings.NewReader(body))
	check(err)
	req.Header.Set("Content-Type", "application/json")
	res, err := client.Do(req)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(res.Body, 4<<10))
	_ = res.Body.Close()
	return res.StatusCode/100 == 2
}

// end ends the endpoint: its listener and its connections are closed at once.
func (e *endpoint) end() {
	e.mu.Lock()
	server, stop := e.server, e.stop
	conns := e.conns
	e.conns = map[net.Conn]bool{}
	for c := range conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
	e.mu.Unlock()
	select {
	case <-stop:
	default:
		close(stop)
	}
	if e.portCloses > 0 {
		for c := range conns {
			_ = c.Close()
		}
		time.Sleep(e.portCloses)
	}
	_ = server.Close()
}

// crash ends the endpoint, which is back after some seconds as a new incarnation with a new id.
func (e *endpoint) crash() {
	e.mu.Lock()
	e.crashes++
	n := e.crashes
	e.mu.Unlock()
	record("endpoint %s crashed", e.id)
	e.end()
	time.AfterFunc(e.back, func() {
		e.mu.Lock()
		e.id = strings.SplitN(e.id, "-r", 2)[0] + "-r" + strconv.Itoa(n)
		e.mu.Unlock()
		e.start()
	})
}

func (e *endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	attempt := r.Header.Get(wire("@id@"))
	w.Header().Set(wire("@id@"), attempt)
	if target := r.Header.Get(wire("@target@")); target != "" && target != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.mu.Lock()
	w.Header().Set(wire("@load@"), fmt.Sprintf("%d,0,%d", e.running, e.slots))
	if e.running >= e.slots {
		e.mu.Unlock()
		w.Header().Set(wire("@notRun@"), "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	e.running++
	e.mu.Unlock()
	one := &run{
		attempt: attempt, endpoint: e.id, path: r.URL.RequestURI(), caller: r.Header.Get(wire("@caller@")),
		tenant: r.Header.Get(wire("@account@")), began: time.Now(),
	}
	e.all.mu.Lock()
	e.all.list = append(e.all.list, one)
	e.all.mu.Unlock()
	if strings.Contains(r.URL.Path, "crash") {
		e.all.mu.Lock()
		one.ended, one.dropped = time.Now(), true
		e.all.mu.Unlock()
		e.crash()
		return
	}
	limit := time.Hour
	if ms, err := strconv.Atoi(r.Header.Get(wire("@budget@"))); err == nil {
		limit = time.Duration(ms) * time.Millisecond
	}
	work := workOf(r.URL.Path)
	dropped := false
	select {
	case <-time.After(min(work, limit)):
	case <-r.Context().Done():
		dropped = true
	}
	e.mu.Lock()
	e.running--
	e.mu.Unlock()
	e.all.mu.Lock()
	one.ended, one.dropped = time.Now(), dropped
	e.all.mu.Unlock()
	if dropped {
		return
	}
	w.Header().Set(wire("@proof@"), "sig."+attempt)
	if work > limit {
		w.WriteHeader(http.StatusGatewayTimeout)
	}
	fmt.Fprintf(w, "%s %s %d bytes\n", e.service, attempt, len(body))
}

// workOf returns the time that a request takes by its path.
func workOf(path string) time.Duration {
	for _, part := range strings.Split(path, "/") {
		if ms, err := strconv.Atoi(strings.TrimPrefix(part, "w")); err == nil && strings.HasPrefix(part, "w") {
			return time.Duration(ms) * time.Millisecond
		}
	}
	return 20 * time.Millisecond
}
