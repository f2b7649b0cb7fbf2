package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() { cases["gone"] = caseGone }

// burst is what clients send in one round: each of them sends requests on one connection before the first is answered.
type burst struct {
	method, body   string
	clients, depth int
}

// caseGone looks for work that goes on after its client has left: clients send further idempotent requests on one connection before the first
// is answered, and close the connection while they wait. Without the disruption they stay until they have all answers.
func caseGone(w *world) bool {
	const (
		service, host = "quoting", "quotes.example"
		work, slack   = 2500 * time.Millisecond, 500 * time.Millisecond
	)
	for range 5 {
		w.addNode("sohar-a", service, 284, nil).start()
	}
	w.store.operatorPut(`{"Version":7,"Routes":[{"Name":"r-quotes","Host":"quotes.example","PathPrefix":"/quotes/","@kind@":"idempotent",
		"TimeoutMs":6000,"@latency@":3000,"Priority":2,"Service":"quoting","Attempts":2}],
		"Services":[{"Name":"quoting","HealthCheckPath":"/health","MaxConnections":1380,"Protocol":"h1","Tls":false}],
		"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}`)
	for i, n := range w.nodes {
		newEndpoint(w.all, fmt.Sprintf("i-%08d", i), service, n.zone, n.app, n.ctl, 10)
	}
	w.waitReady(10 * time.Second)
	time.Sleep(6 * time.Second)
	for range 10 {
		a := send(w.nodes[0].outbound, http.MethodGet, "/quotes/w300/a", host, newID(), 6*time.Second, "", "")
		record("a single request: %v", a)
	}
	broken := false
	for _, b := range []burst{{http.MethodGet, "", 2, 20}, {http.MethodPost, "query", 8, 2}} {
		left := map[string]time.Time{}
		for round := range 2 {
			sendBurst(w, b, 3*round, host, left)
			time.Sleep(9 * time.Second)
		}
		late, atWork, would := 0, 0, 0
		for _, r := range w.all.snapshot() {
			gone, ok := left[r.attempt]
			if !ok {
				continue
			}
			record("run of %s at %s: %s to %s, its client left at %s, dropped %v", r.attempt, r.endpoint, at(r.began), at(r.ended), at(gone), r.dropped)
			switch {
			case r.began.Sub(gone) > slack:
				late++
			case r.began.Add(work).After(gone.Add(slack)):
				would++
				if r.ended.IsZero() || r.ended.After(gone.Add(slack)) {
					atWork++
				}
			}
		}
		record("%d %s requests on a connection: reached an endpoint over half a second after the client had left: %d (a few are allowed; the check takes 5)", b.depth, b.method, late)
		record("%d %s requests on a connection: still at work half a second after: %d of %d that would have lasted so long (a quarter is allowed)", b.depth, b.method, atWork, would)
		broken = broken || late > 5 || 4*atWork > would
	}
	return broken
}

// sendBurst lets the clients of one round send their requests and leave, and adds the times at which they left.
func sendBurst(w *world, b burst, first int, host string, left map[string]time.Time) {
	var conns []net.Conn
	var ids []string
	var reading sync.WaitGroup
	for c := range b.clients {
		conn, err := net.Dial("tcp", w.nodes[(first+c)%5].outbound)
		check(err)
		conns = append(conns, conn)
		for range b.depth {
			id := newID()
			ids = append(ids, id)
			_, err := io.WriteString(conn, request(b.method, "/quotes/w2500/"+id, host, id, 6*time.Second, "", b.body))
			check(err)
		}
		record("client %d: %d %s requests sent on one connection", c, b.depth, b.method)
		if !trouble {
			reading.Add(1)
			go func() {
				defer reading.Done()
				r := bufio.NewReader(conn)
				for i := range b.depth {
					record("client %d: answer %d: %d", c, i, readAnswer(r, b.method).status)
				}
			}()
		}
	}
	if trouble {
		time.Sleep(time.Second)
	} else {
		reading.Wait()
	}
	for _, c := range conns {
		_ = c.Close()
	}
	now := time.Now()
	for _, id := range ids {
		left[id] = now
	}
	record("the clients close their connections")
}
