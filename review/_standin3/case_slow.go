package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["slow"] = caseSlow }

// caseSlow looks for ordinary callers that get no answer while clients outside the limits hold connections on which they send a body very
// slowly.
func caseSlow(w *world) bool {
	const service, host, window = "catalogo", "catalogue.example", 3 * time.Second
	for range 3 {
		w.addNode("palermo", service, 284, nil).start()
	}
	w.store.operatorPut(`{"Version":7,"Routes":[{"Name":"r-c","Host":"catalogue.example","PathPrefix":"/c/","@kind@":"idempotent",
		"TimeoutMs":2000,"@latency@":1000,"Priority":2,"Service":"catalogo","Attempts":2}],
		"Services":[{"Name":"catalogo","HealthCheckPath":"/health","MaxConnections":330,"Protocol":"h1","Tls":false}],
		"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}`)
	for i, n := range w.nodes {
		newEndpoint(w.all, fmt.Sprintf("i-%08d", i), service, n.zone, n.app, n.ctl, 4)
	}
	w.waitReady(10 * time.Second)
	time.Sleep(5 * time.Second)
	n := w.nodes[0]
	var open atomic.Int64
	stop := make(chan struct{})
	if trouble {
		// Slow clients on machine 1: each holds one connection and opens another when that one is closed.
		for range 2400 {
			go func() {
				for {
					c, err := net.DialTimeout("tcp", n.outbound, time.Second)
					if err == nil {
						open.Add(1)
						_, err = c.Write([]byte(fmt.Sprintf(wire("POST /c/w20/slow HTTP/1.1\r\nHost: %s\r\n@id@: %s\r\n@budget@: 4000\r\nContent-Length: 4000\r\n\r\n"), host, newID())))
						for err == nil {
							_ = c.SetReadDeadline(time.Now().Add(2 * time.Second))
							if _, err = c.Read(make([]byte, 1)); err != nil {
								if timeout, ok := err.(net.Error); ok && timeout.Timeout() {
									_, err = c.Write([]byte("x"))
								}
							}
						}
						open.Add(-1)
						_ = c.Close()
					}
					select {
					case <-stop:
						return
					case <-time.After(500 * time.Millisecond):
					}
				}
			}()
		}
		time.Sleep(2 * time.Second)
	}
	record("slow connections open: %d", open.Load())
	var mu sync.Mutex
	began := time.Now()
	taken := []time.Time{began}
	answered, unanswered, notReady := 0, 0, 0
	var clients sync.WaitGroup
	for i := range 8 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			time.Sleep(time.Duration(i) * 30 * time.Millisecond)
			for time.Since(began) < 20*time.Second {
				a := send(n.outbound, http.MethodGet, "/c/w20/a", host, newID(), 4*time.Second, "", "")
				mu.Lock()
				if a.err == nil {
					taken = append(taken, time.Now())
					answered++
				} else {
					unanswered++
				}
				if i == 0 || a.err == nil && answered%50 == 1 {
					record("ordinary client %d: %v", i, a)
				}
				mu.Unlock()
				time.Sleep(250 * time.Millisecond)
			}
		}()
	}
	for time.Since(began) < 20*time.Second {
		if !n.isReady() {
			notReady++
		}
		record("slow connections open: %d, ready misses: %d", open.Load(), notReady)
		time.Sleep(time.Second)
	}
	clients.Wait()
	close(stop)
	taken = append(taken, time.Now())
	longest := time.Duration(0)
	for i := 1; i < len(taken); i++ {
		longest = max(longest, taken[i].Sub(taken[i-1]))
	}
	record("ordinary requests on new connections: answered %d, closed without an answer %d", answered, unanswered)
	record("longest time in which no new connection of an ordinary client was served: %v, the node missed readiness %d times", longest, notReady)
	if !n.alive() {
		record("the process ended")
		return true
	}
	return longest > window && notReady == 0
}
