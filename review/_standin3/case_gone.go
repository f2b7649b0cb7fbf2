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

// caseGone looks for work that goes on after its client has left: clients send many idempotent requests on one connection before the first is
// answered, and close the connection while they wait. Without the disruption they stay until they have all answers.
func caseGone(w *world) bool {
	const (
		service, host = "quoting", "quotes.example"
		depth         = 20
		work, slack   = 2500 * time.Millisecond, 500 * time.Millisecond
	)
	for range 5 {
		w.addNode("sohar-a", service, 284, nil).start()
	}
	w.store.operatorPut(`{"Version":7,"Routes":[{"Name":"r-quotes","Host":"quotes.example","PathPrefix":"/quotes/","RouteType":"idempotent",
		"TimeoutMs":6000,"TargetLatencyMs":3000,"Priority":2,"Service":"quoting","Attempts":2}],
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
	left := map[string]time.Time{}
	for round := range 4 {
		var conns []net.Conn
		var ids []string
		var reading sync.WaitGroup
		for c := range 2 {
			conn, err := net.Dial("tcp", w.nodes[(2*round+c)%5].outbound)
			check(err)
			conns = append(conns, conn)
			for range depth {
				id := newID()
				ids = append(ids, id)
				_, err := io.WriteString(conn, request(http.MethodGet, "/quotes/w2500/"+id, host, id, 6*time.Second, "", ""))
				check(err)
			}
			record("client %d: %d requests sent on one connection", 2*round+c, depth)
			if !trouble {
				reading.Add(1)
				go func() {
					defer reading.Done()
					r := bufio.NewReader(conn)
					for i := range depth {
						record("client %d: answer %d: %d", 2*round+c, i, readAnswer(r, http.MethodGet).status)
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
	record("runs that reached an endpoint over half a second after the client had left: %d (a few are allowed; the check takes 5)", late)
	record("still at work half a second after: %d of %d that would have lasted so long (a quarter is allowed)", atWork, would)
	return late > 5 || 4*atWork > would
}
