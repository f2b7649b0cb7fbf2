package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

func init() { cases["quota"] = caseQuota }

// caseQuota looks for a tenant's usage cap that two nodes hand out at the same time: a tenant asks for many times its cap, one process is
// killed and started again, and the tenant goes on asking.
func caseQuota(w *world) bool {
	const service, host, rate, burst, window = "nakazilo", "quotes.example", 100, 100, 5 * time.Second
	const overage, slack = 0.1, 20
	for range 4 {
		w.addNode("si-central-a", service, 284, nil).start()
	}
	w.store.operatorPut(fmt.Sprintf(`{"Version":7,"Routes":[{"Name":"r-q","Host":"quotes.example","PathPrefix":"/q/","@kind@":"idempotent",
		"TimeoutMs":4000,"@latency@":2000,"Priority":2,"Service":"nakazilo","Attempts":2}],
		"Services":[{"Name":"nakazilo","HealthCheckPath":"/health","MaxConnections":1380,"Protocol":"h1","Tls":false}],
		"@accounts@":[{"Name":"acme","@keys@":["key-acme"],"Priority":0,"@rate@":%d,"Burst":%d},{"Name":"zeta","@keys@":["key-zeta"],"Priority":0}],
		"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}`, rate, burst))
	for i, n := range w.nodes {
		newEndpoint(w.all, fmt.Sprintf("i-%08d", i), service, n.zone, n.app, n.ctl, 15)
	}
	w.waitReady(10 * time.Second)
	time.Sleep(10 * time.Second)

	// Half of the tenant's clients are on the first machine.
	var mu sync.Mutex
	sent := map[string]time.Time{}
	answers := map[string]int{}
	// The site file has hot_tenant with x = 7.5 at most and caps of 1.6 times the usual (quota_x): 468 requests a second for a cap of 100.
	const perS = 460
	count := 0
	began := time.Now()
	var all sync.WaitGroup
	ask := func(until time.Duration) {
		for i := 0; time.Since(began) < until; i++ {
			n := w.nodes[0]
			if i%2 == 1 {
				n = w.nodes[1+i/2%3]
			}
			all.Add(1)
			go func() {
				defer all.Done()
				id := newID()
				mu.Lock()
				sent[id] = time.Now()
				mu.Unlock()
				a := send(n.outbound, http.MethodGet, "/q/w10/"+id, host, id, 4*time.Second, "Key: key-acme\r\n", "")
				mu.Lock()
				defer mu.Unlock()
				if a.err != nil {
					answers["none"]++
				} else {
					answers[fmt.Sprint(a.status)]++
				}
			}()
			count++
			time.Sleep(time.Until(began.Add(time.Duration(count) * time.Second / perS)))
		}
	}
	ask(1200 * time.Millisecond)
	if trouble {
		w.nodes[0].kill()
		w.nodes[0].start()
	}
	ask(6 * time.Second)
	all.Wait()

	record("answers of the tenant's requests by status: %v", answers)
	first := map[string]time.Time{}
	for _, r := range w.all.snapshot() {
		if known, ok := first[r.attempt]; !ok || r.began.Before(known) {
			first[r.attempt] = r.began
		}
		record("run of %s for tenant %q at endpoint %s: sent %s, began %s", r.attempt, r.tenant, r.endpoint, at(sent[r.attempt]), at(r.began))
	}
	perSlot := map[int]int{}
	for _, b := range first {
		perSlot[int(b.Sub(began)/(200*time.Millisecond))]++
	}
	for i := range 31 {
		record("requests that began to run from %.1f s on: %d", float64(i)*0.2, perSlot[i])
	}
	bound := (float64(rate)*window.Seconds()+burst)*(1+overage) + slack
	most, mostAt := 0, began
	for _, start := range sent {
		count := 0
		for id, b := range first {
			if !sent[id].Before(start) && b.Sub(start) <= window {
				count++
			}
		}
		if count > most {
			most, mostAt = count, start
		}
	}
	record("most requests of the tenant that were sent and run within %v: %d, from %s on; the bound is %.0f", window, most, at(mostAt), bound)
	for _, n := range w.nodes {
		// What the nodes say of it, for the reader only; the check doesn't use it.
		log, _ := os.ReadFile(filepath.Join(w.folder, n.name+".log"))
		for _, line := range strings.Split(string(log), "\n") {
			if strings.Contains(line, "grants the tokens") {
				record("log of %s: %s", n.name, line)
			}
		}
	}
	return float64(most) > bound
}
