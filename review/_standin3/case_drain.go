package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"
)

func init() { cases["drain"] = caseDrain }

// caseDrain looks for work at endpoints whose leaving was acknowledged: some endpoints withdraw, all machines are killed a moment later and
// start again while the store is busy for a moment, and a ping that each of these endpoints sent before it left arrives late.
func caseDrain(w *world) bool {
	const service, host, drainMs = "ordini", "orders.example", 2 * time.Second
	const count = 16
	for i := range count {
		n := w.addNode([]string{"palermo", "catania", "siracusa"}[i%3], service, 284, nil)
		n.start()
	}
	w.store.operatorPut(`{"Version":7,"Routes":[{"Name":"r-orders","Host":"orders.example","PathPrefix":"/orders/","@kind@":"non_idempotent",
		"TimeoutMs":2000,"@latency@":1000,"Priority":1,"Service":"ordini","Attempts":2}],
		"Services":[{"Name":"ordini","HealthCheckPath":"/health","MaxConnections":330,"Protocol":"h1","Tls":false}],
		"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}`)
	var endpoints []*endpoint
	for i, n := range w.nodes {
		endpoints = append(endpoints, newEndpoint(w.all, fmt.Sprintf("i-%08d", i), service, n.zone, n.app, n.ctl, 4))
	}
	w.waitReady(10 * time.Second)
	time.Sleep(6 * time.Second)

	// Clients on the machines whose endpoints stay send orders all the while.
	stop := make(chan struct{})
	var mu sync.Mutex
	sentAt := map[string]time.Time{}
	var clients sync.WaitGroup
	for _, n := range w.nodes[4:7] {
		clients.Add(1)
		go func() {
			defer clients.Done()
			for {
				select {
				case <-stop:
					return
				case <-time.After(50 * time.Millisecond):
				}
				clients.Add(1)
				go func() {
					defer clients.Done()
					id := newID()
					mu.Lock()
					sentAt[id] = time.Now()
					mu.Unlock()
					a := send(n.outbound, http.MethodPost, "/orders/w290/"+id, host, id, 5*time.Second, "", "order")
					record("order %s at %s: %v", id, n.name, a)
				}()
			}
		}()
	}
	time.Sleep(2 * time.Second)

	// Four endpoints leave. Before, each sends a ping that is held up on its way.
	leaving := endpoints[:4]
	held := map[*endpoint]string{}
	acked := map[string]time.Time{}
	for _, e := range leaving {
		held[e] = e.beatBody()
		e.mu.Lock()
		e.beats = false
		e.mu.Unlock()
	}
	var acks sync.WaitGroup
	for _, e := range leaving {
		acks.Add(1)
		go func() {
			defer acks.Done()
			for range 3 {
				if e.call(http.MethodDelete, "") {
					mu.Lock()
					acked[e.id] = time.Now()
					mu.Unlock()
					record("%s: DELETE acknowledged", e.id)
					return
				}
				record("%s: DELETE not acknowledged", e.id)
			}
		}()
	}
	acks.Wait()
	if len(acked) != len(leaving) {
		check(fmt.Errorf("%d of %d endpoints have an ack", len(acked), len(leaving)))
	}
	left := time.Now()
	touch := left
	if trouble {
		time.Sleep(100 * time.Millisecond)
		for _, n := range w.nodes {
			n.kill()
		}
		// With OUTAGE=0 the store stays up, which shows what the kill alone does.
		w.store.setDown(os.Getenv("OUTAGE") != "0")
		for _, n := range w.nodes {
			n.start()
		}
		time.Sleep(700 * time.Millisecond)
		w.store.setDown(false)
		// Machines are in touch again 3 s after their start and after the end of the outage.
		touch = time.Now().Add(3 * time.Second)
	}
	// The held pings arrive 4 s after the endpoints have left.
	sleepUntil(left, 4*time.Second)
	for _, e := range leaving {
		record("%s: the late ping arrives, answered: %v", e.id, e.call(http.MethodPut, held[e]))
	}
	// The endpoints go on serving for many seconds after the ack, and end then.
	sleepUntil(left, 8500*time.Millisecond)
	for _, e := range leaving {
		record("%s ends", e.id)
		e.end()
	}
	time.Sleep(500 * time.Millisecond)
	close(stop)
	clients.Wait()

	late, lost := 0, 0
	for _, r := range w.all.snapshot() {
		ack, ok := acked[r.endpoint]
		if !ok || r.began.Before(ack) {
			continue
		}
		counts := r.began.After(ack.Add(drainMs)) && sentAt[r.attempt].After(touch)
		if counts {
			late++
			if r.dropped {
				lost++
			}
		}
		record("run %s at %s %v after its ack, dropped %v, counts %v", r.attempt, r.endpoint, r.began.Sub(ack).Round(time.Millisecond), r.dropped, counts)
	}
	record("orders that reached an endpoint over DrainMs after its ack, from machines in touch: %d; cut off there as it ended: %d", late, lost)
	return late > 0
}
