package main

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// soak looks for any broken rule of TWICE, REFUSED, MIXED, UNASKED and ROUTE while endpoints answer wrongly in all the ways that the
// pages name, clients leave, and nodes are stopped, killed and restarted at random. SEED sets the seed, SECONDS the length.
func soak(s *site) int {
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	seconds, _ := strconv.Atoi(os.Getenv("SECONDS"))
	if seconds == 0 {
		seconds = 60
	}
	o := &oracle{record: s.record, sent: map[string]sentRequest{}, runs: map[string]int{}}
	services := []string{"wuno96b", "huvo11a"}
	configure := func(version, timeout int) {
		orders, reads := route("/puka111/", "non_idempotent", services[0]), route("/leny950/", "idempotent", services[1])
		orders["TimeoutMs"], reads["TimeoutMs"], reads["Attempts"] = timeout, timeout, 3
		s.store.configure(config(version, services, orders, reads))
	}
	configure(7, 2000)
	var endpoints []*rawEndpoint
	for i, zone := range []string{"palermo", "catania", "siracusa"} {
		for j, service := range services {
			n := s.addNode(fmt.Sprintf("sidecar-%s-%d", zone, j), zone, service)
			endpoints = append(endpoints, startRaw(o, n, service, zone, rand.New(rand.NewPCG(seed, uint64(10*i+j)))))
		}
	}
	s.waitReady()
	time.Sleep(3 * time.Second)
	end := time.Now().Add(time.Duration(seconds) * time.Second)
	var wg sync.WaitGroup
	for i, n := range s.nodes {
		for k := range 6 {
			wg.Go(func() { o.clients(n, services[i%2], rand.New(rand.NewPCG(seed, uint64(1000+10*i+k))), end) })
		}
	}
	if s.trouble {
		o.disturb(s, endpoints, configure, rand.New(rand.NewPCG(seed, 5)), end)
	}
	wg.Wait()
	time.Sleep(3 * time.Second)
	return o.judge()
}

type sentRequest struct {
	order  bool
	caller string
	uri    string
	method string
	sum    [32]byte
}

type oracle struct {
	record  *record
	mu      sync.Mutex
	sent    map[string]sentRequest
	runs    map[string]int
	refused []string // orders answered with a promise
	faults  []string
	status  map[int]int
	kinds   map[string]int
}

func (o *oracle) fault(format string, values ...any) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.faults = append(o.faults, fmt.Sprintf(format, values...))
	o.record.printf("FAULT "+format, values...)
}

func (o *oracle) judge() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	bad := len(o.faults)
	for id, n := range o.runs {
		if n > 1 && o.sent[id].order {
			bad++
			o.record.printf("TWICE order %s ran %d times", id, n)
		}
	}
	for _, id := range o.refused {
		if o.runs[id] > 0 {
			bad++
			o.record.printf("REFUSED order %s has run", id)
		}
	}
	o.record.printf("seed %s: %d requests, %d ids ran, %d refusals of orders, statuses %v, endpoint behaviours %v, %d faults",
		os.Getenv("SEED"), len(o.sent), len(o.runs), len(o.refused), o.status, o.kinds, bad)
	if bad > 0 {
		return broken
	}
	return held
}

// content is the body that an endpoint answers to a request.
func content(id string, size int) []byte {
	unit := []byte("<" + id + ">")
	return bytes.Repeat(unit, size/len(unit)+1)
}

func (o *oracle) clients(n *node, service string, random *rand.Rand, end time.Time) {
	transport := &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 8, IdleConnTimeout: 10 * time.Second}
	for time.Now().Before(end) {
		id := fmt.Sprintf("%016x", 0x1c41d07b00000000+requestNumber.Add(1))
		q := sentRequest{order: random.IntN(2) == 0, caller: service, method: http.MethodGet, uri: "/leny950/2f/" + id[12:] + "/"}
		var body []byte
		if q.order {
			q.method, q.uri = http.MethodPost, "/puka111/2f/"+id[12:]+"/"
			size := 1200
			if random.IntN(6) == 0 {
				size = random.IntN(600000)
			}
			body = content(id, size)
		}
		q.sum = sha256.Sum256(body)
		o.mu.Lock()
		o.sent[id] = q
		o.mu.Unlock()
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		if random.IntN(12) == 0 {
			ctx, cancel = context.WithTimeout(context.Background(), time.Duration(random.IntN(400))*time.Millisecond)
		}
		var reader io.Reader
		if q.order {
			reader = bytes.NewReader(body)
			if random.IntN(4) == 0 {
				reader = struct{ io.Reader }{reader} // in chunks
			}
		}
		request, err := http.NewRequestWithContext(ctx, q.method, "http://"+n.outbound+q.uri, reader)
		check(err)
		request.GetBody = nil
		request.Host = "jepu9.example"
		request.Header.Set("Attempt-Id", id)
		request.Header.Set("Deadline-Ms", "4000")
		o.receive(id, q, transport, request)
		cancel()
		time.Sleep(time.Duration(random.IntN(60)) * time.Millisecond)
	}
}

func (o *oracle) receive(id string, q sentRequest, transport *http.Transport, request *http.Request) {
	response, err := transport.RoundTrip(request)
	if err != nil {
		o.count(0)
		return
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		o.count(-1)
		return
	}
	o.count(response.StatusCode)
	signature := response.Header.Get("Response-Signature")
	switch {
	case response.StatusCode == 200 && signature == "":
		o.fault("MIXED: success without signature for %s", id)
	case response.StatusCode == 200:
		parts := strings.Split(signature, " ")
		size, _ := strconv.Atoi(parts[1])
		if parts[0] != id || !bytes.Equal(body, content(id, size)) {
			o.fault("MIXED: the answer to %s has the signature %q and %d bytes %.60q", id, signature, len(body), body)
		}
	case signature != "" && response.StatusCode != 500:
		o.fault("MIXED: status %d with the signature %q for %s", response.StatusCode, signature, id)
	case q.order && (response.StatusCode == 429 || response.StatusCode == 503 || response.StatusCode == 408 || response.StatusCode == 421):
		o.mu.Lock()
		o.refused = append(o.refused, id)
		o.mu.Unlock()
	case response.StatusCode == 404 || response.StatusCode == 400 || response.StatusCode == 413:
		o.fault("DENIED: status %d for %s: %.200s", response.StatusCode, id, body)
	}
}

func (o *oracle) count(status int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.status == nil {
		o.status = map[int]int{}
	}
	o.status[status]++
}

// disturb stops, kills and restarts nodes and endpoints, and changes the configuration.
func (o *oracle) disturb(s *site, endpoints []*rawEndpoint, configure func(version, timeout int), random *rand.Rand, end time.Time) {
	version := 8
	for time.Now().Before(end) {
		time.Sleep(time.Duration(500+random.IntN(2500)) * time.Millisecond)
		n := s.nodes[random.IntN(len(s.nodes))]
		switch what := random.IntN(7); what {
		case 0, 1:
			o.record.printf("stop %s", n.name)
			n.signal(syscall.SIGSTOP)
			time.Sleep(time.Duration(100+random.IntN(3000)) * time.Millisecond)
			n.signal(syscall.SIGCONT)
			o.record.printf("continue %s", n.name)
		case 2:
			o.record.printf("kill %s", n.name)
			n.kill()
			time.Sleep(time.Duration(random.IntN(1000)) * time.Millisecond)
			n.start()
		case 3:
			o.record.printf("terminate %s", n.name)
			n.signal(syscall.SIGTERM)
			time.Sleep(6 * time.Second)
			n.kill()
			n.start()
		case 4:
			version += 1 + random.IntN(5)
			configure(version, 1000+random.IntN(1500))
			o.record.printf("configuration %d", version)
		case 5, 6:
			e := endpoints[random.IntN(len(endpoints))]
			o.record.printf("endpoint %s restarts", e.id)
			e.restart(random.IntN(2) == 0)
		}
	}
}

// rawEndpoint is an endpoint that answers wrongly at random, byte by byte.
type rawEndpoint struct {
	oracle  *oracle
	node    *node
	service string
	zone    string

	mu       sync.Mutex
	random   *rand.Rand
	id       string
	born     int64
	seq      int
	listener net.Listener
	conns    map[net.Conn]bool
	running  int
	number   int
}

func startRaw(o *oracle, n *node, service, zone string, random *rand.Rand) *rawEndpoint {
	e := &rawEndpoint{oracle: o, node: n, service: service, zone: zone, random: random, conns: map[net.Conn]bool{}}
	e.listen(true, n.host+":0")
	go func() {
		for {
			e.beat()
			time.Sleep(heartbeatInterval)
		}
	}()
	return e
}

func (e *rawEndpoint) listen(newID bool, address string) {
	l, err := net.Listen("tcp", address)
	for i := 0; err != nil && i < 100; i++ {
		time.Sleep(20 * time.Millisecond)
		l, err = net.Listen("tcp", address)
	}
	check(err)
	e.mu.Lock()
	e.listener, e.born, e.seq, e.running = l, time.Now().UnixMilli(), 0, 0
	e.number++
	if newID {
		e.id = fmt.Sprintf("i-%s%s%d", e.zone, e.service, e.number)
	}
	id := e.id
	e.mu.Unlock()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			e.mu.Lock()
			e.conns[c] = true
			e.mu.Unlock()
			go e.serve(c, id)
		}
	}()
}

// restart crashes the endpoint; it is back after half a second at the same address.
func (e *rawEndpoint) restart(newID bool) {
	e.mu.Lock()
	_ = e.listener.Close()
	for c := range e.conns {
		_ = c.Close()
	}
	e.conns = map[net.Conn]bool{}
	address := e.listener.Addr().String()
	e.mu.Unlock()
	time.Sleep(500 * time.Millisecond)
	e.listen(newID, address)
	e.beat()
}

func (e *rawEndpoint) beat() {
	e.mu.Lock()
	e.seq++
	body := fmt.Sprintf(`{"Service":"%s","Address":"%s","Zone":"%s","Version":"v1","Slots":4,"State":"ready","ColdRemainingMs":0,"Seq":%d,"born":%d}`,
		e.service, e.listener.Addr(), e.zone, e.seq, e.born)
	id := e.id
	e.mu.Unlock()
	request, err := http.NewRequest(http.MethodPut, "http://"+e.node.control+"/v1/instances/"+id, strings.NewReader(body))
	check(err)
	request.Close = true
	client := http.Client{Timeout: time.Second}
	if response, err := client.Do(request); err == nil {
		_ = response.Body.Close()
	}
}

func (e *rawEndpoint) draw(n int) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.random.IntN(n)
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// arrive checks a request that the endpoint begins to run.
func (e *rawEndpoint) arrive(r *http.Request, body []byte) {
	id := r.Header.Get("Attempt-Id")
	o := e.oracle
	o.mu.Lock()
	q, known := o.sent[id]
	o.runs[id]++
	o.mu.Unlock()
	service := "huvo11a"
	if q.order {
		service = "wuno96b"
	}
	switch {
	case !known:
		o.fault("UNASKED: %s %s has an id that no client sent: %q", r.Method, r.RequestURI, id)
	case r.Method != q.method || r.RequestURI != q.uri:
		o.fault("UNASKED: %s %s ran; sent was %s %s", r.Method, r.RequestURI, q.method, q.uri)
	case body != nil && sha256.Sum256(body) != q.sum:
		o.fault("UNASKED: %s ran with another body of %d bytes", id, len(body))
	case r.Header.Get("Caller-Service") != q.caller:
		o.fault("UNASKED: %s ran with the caller %q; want %q", id, r.Header.Get("Caller-Service"), q.caller)
	case service != e.service:
		o.fault("ROUTE: %s ran at %s", id, e.service)
	}
}

func (e *rawEndpoint) serve(c net.Conn, self string) {
	defer func() {
		_ = c.Close()
		e.mu.Lock()
		delete(e.conns, c)
		e.mu.Unlock()
	}()
	b := bufio.NewReader(c)
	for {
		if e.draw(4) == 0 { // idle connections are dropped early at times
			_ = c.SetReadDeadline(time.Now().Add(time.Duration(100+e.draw(600)) * time.Millisecond))
		} else {
			_ = c.SetReadDeadline(time.Now().Add(8 * time.Second))
		}
		r, err := http.ReadRequest(b)
		if err != nil {
			return
		}
		_ = c.SetReadDeadline(time.Now().Add(8 * time.Second))
		if !e.answer(c, r, self) {
			return
		}
	}
}

// answer handles one request and reports whether the connection goes on.
func (e *rawEndpoint) answer(c net.Conn, r *http.Request, self string) bool {
	id := r.Header.Get("Attempt-Id")
	send := func(format string, values ...any) { _, _ = fmt.Fprintf(c, format, values...) }
	shed := func(status string) {
		send("HTTP/1.1 %s\r\nAttempt-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", status, id)
	}
	if target := r.Header.Get("Target-Instance"); target != "" && target != self {
		_, _ = io.Copy(io.Discard, r.Body)
		shed("421 Misdirected Request")
		return true
	}
	size := e.draw(3000)
	if e.draw(6) == 0 {
		size = e.draw(200000)
	}
	body := content(id, size)
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Signature: %s %d\r\nServer-Load: 1,0,4\r\nKeep-Alive: timeout=5\r\n", id, id, size)
	kind := e.draw(60)
	names := map[int]string{0: "shed", 1: "shed and again late", 2: "reset before", 3: "garbage", 4: "early"}
	e.oracle.mu.Lock()
	if e.oracle.kinds == nil {
		e.oracle.kinds = map[string]int{}
	}
	if name, ok := names[kind]; ok {
		e.oracle.kinds[name]++
	} else {
		e.oracle.kinds[strconv.Itoa(min(kind, 20))]++
	}
	e.oracle.mu.Unlock()
	if kind == 4 { // an answer before a long body is in; the rest is read later
		e.arrive(r, nil)
		send("%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
		time.Sleep(time.Duration(e.draw(300)) * time.Millisecond)
		rest, err := io.ReadAll(r.Body)
		e.oracle.mu.Lock()
		q := e.oracle.sent[id]
		e.oracle.mu.Unlock()
		if err == nil && sha256.Sum256(rest) != q.sum {
			e.oracle.fault("UNASKED: %s got other bytes where the rest of its body is due", id)
		}
		return err == nil
	}
	got, err := io.ReadAll(r.Body)
	if err != nil {
		return false
	}
	switch kind {
	case 0:
		shed("503 Service Unavailable")
		return true
	case 1:
		shed("503 Service Unavailable")
		time.Sleep(time.Duration(e.draw(200)) * time.Millisecond)
		shed("503 Service Unavailable")
		return true
	case 2:
		reset(c)
		return false
	}
	e.arrive(r, got)
	time.Sleep(time.Duration(5+e.draw(120)) * time.Millisecond)
	if e.draw(40) == 0 {
		time.Sleep(time.Duration(e.draw(3000)) * time.Millisecond)
	}
	whole := fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
	switch kind {
	case 3:
		send("\x16\x03 no answer\r\n\r\n")
		return false
	case 5:
		reset(c)
		return false
	case 6: // broken off
		send("%s", whole[:len(whole)-1-e.draw(len(body))])
		return false
	case 7:
		send("%s", whole[:len(whole)-1-e.draw(len(body))])
		time.Sleep(20 * time.Millisecond)
		reset(c)
		return false
	case 8: // a second answer at once
		send("%s%s", whole, whole)
		return true
	case 9: // a second answer, late
		send("%s", whole)
		time.Sleep(time.Duration(e.draw(300)) * time.Millisecond)
		send("%s", whole)
		return true
	case 10: // bytes of no answer after it
		send("%sXXXX", whole)
		return true
	case 11: // no length, ends with the connection
		send("%sConnection: close\r\n\r\n%s", head, body)
		return false
	case 12: // no length and reset on the way
		send("%sConnection: close\r\n\r\n%s", head, body[:e.draw(len(body))])
		time.Sleep(20 * time.Millisecond)
		reset(c)
		return false
	case 13: // in chunks
		send("%sTransfer-Encoding: chunked\r\n\r\n", head)
		for rest := body; len(rest) > 0; {
			n := min(len(rest), 1+e.draw(5000))
			send("%x\r\n%s\r\n", n, rest[:n])
			rest = rest[n:]
		}
		send("0\r\n\r\n")
		return true
	case 14: // chunks without an end
		send("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", head, len(body), body)
		return false
	case 15:
		send("HTTP/1.1 500 Internal Server Error\r\nAttempt-Id: %s\r\nResponse-Signature: %s 0\r\nContent-Length: 0\r\n\r\n", id, id)
		return true
	case 16: // it has run, but says 503
		send("HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: %s\r\nResponse-Signature: %s 0\r\nContent-Length: 0\r\n\r\n", id, id)
		return true
	case 17:
		send("%sContent-Encoding: gzip\r\nContent-Length: %d\r\n\r\n%s", head, len(body), body)
		return true
	case 18: // a second answer without an id, late
		send("%s", whole)
		time.Sleep(time.Duration(e.draw(200)) * time.Millisecond)
		send("HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")
		return true
	case 19:
		send("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n%s", whole)
		return true
	}
	send("%s", whole)
	return true
}
