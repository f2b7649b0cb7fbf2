package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

func init() {
	cases["poison"] = func(w *world) bool { return casePoison(w, false) }
	cases["quiet"] = func(w *world) bool { return casePoison(w, true) }
}

// casePoison looks for a request that crashes each endpoint that runs it and is let through again and again: it comes again every few seconds,
// at any machine, while all processes are killed and started again from time to time. If quiet is true, nothing is killed, no other request
// comes, and the port of a crashing endpoint closes 0.1 s after its connections; without the disruption it closes at once.
func casePoison(w *world, quiet bool) bool {
	const service, host, window = "ordini", "orders.example", 3 * time.Second
	for i := range 4 {
		n := w.addNode([]string{"palermo", "catania", "siracusa"}[i%3], service, 284, nil)
		n.start()
	}
	w.store.operatorPut(`{"Version":7,"Routes":[{"Name":"r-orders","Host":"orders.example","PathPrefix":"/orders/","@kind@":"non_idempotent",
		"TimeoutMs":2000,"@latency@":1000,"Priority":1,"Service":"ordini","Attempts":2}],
		"Services":[{"Name":"ordini","HealthCheckPath":"/health","MaxConnections":330,"Protocol":"h1","Tls":false}],
		"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}`)
	for i, n := range w.nodes {
		e := newEndpoint(w.all, fmt.Sprintf("i-%08d", i), service, n.zone, n.app, n.ctl, 4)
		e.back = 2500 * time.Millisecond
		if quiet && trouble {
			e.portCloses = 100 * time.Millisecond
		}
	}
	w.waitReady(10 * time.Second)
	time.Sleep(5 * time.Second)
	stop := make(chan struct{})
	done := make(chan struct{})
	go func() { // ordinary orders
		defer close(done)
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(100 * time.Millisecond):
			}
			if quiet {
				continue
			}
			id := newID()
			go send(w.nodes[i%4].outbound, http.MethodPost, "/orders/w100/"+id, host, id, 5*time.Second, "", "order "+id)
		}
	}()
	try := 0
	sent := map[string]time.Time{}
	touch := time.Now()
	inTouch := map[string]bool{}
	poison := func() {
		id := newID()
		n := w.nodes[try%len(w.nodes)]
		try++
		sent[id] = time.Now()
		inTouch[id] = time.Now().After(touch)
		a := send(n.outbound, http.MethodPost, "/orders/crash/order-4711", host, id, 5*time.Second, "", "one pallet of nets")
		record("the request comes (attempt %s, at %s): %v", id, n.name, a)
	}
	for phase := range 4 {
		if phase > 0 && trouble && !quiet {
			for _, n := range w.nodes {
				n.kill()
			}
			for _, n := range w.nodes {
				n.start()
			}
			touch = time.Now().Add(window)
			time.Sleep(window + 500*time.Millisecond)
		}
		for range 4 {
			poison()
			time.Sleep(3200 * time.Millisecond)
		}
	}
	close(stop)
	<-done
	var third time.Time
	crashes, counted := 0, 0
	for _, r := range w.all.snapshot() {
		if !strings.Contains(r.path, "crash") {
			continue
		}
		crashes++
		counts := !third.IsZero() && sent[r.attempt].After(third.Add(window)) && inTouch[r.attempt]
		if counts {
			counted++
		}
		record("crash %d: attempt %s reached endpoint %s at %s, counts %v", crashes, r.attempt, r.endpoint, at(r.began), counts)
		if crashes == 3 {
			third = r.began
		}
	}
	record("retries that reached an endpoint later than StableWindowMs after the third crash: %d (three are allowed)", counted)
	return counted > 3
}
