package main

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The case looks for orders that an endpoint runs and whose clients get no answer, because the node closes their connections to make room
// for the requests of clients that nobody controls.
func init() { cases["evicted"] = evicted }

const (
	orderClients = 16
	orderWork    = 1500 * time.Millisecond
	orderBudget  = 4 * time.Second
	orderPhase   = 25 * time.Second
	// headClients send one request each headPeriod, on a new connection, to a route that never existed. Its head has headLines short lines,
	// 7.5 KB in all, less than half of MaxHeaderBytes. The right answer is 404. Without trouble the head has calmLines.
	headClients = 300
	headPeriod  = 200 * time.Millisecond
	headLines   = 1500
	calmLines   = 20
	// lostLimit is the number of lost requests from which the rule is broken: "more than three times".
	lostLimit = 3
	// linkWait is half a second: a machine at whose link packets wait for longer would count as slowed. An order that took longer to
	// reach its endpoint isn't counted.
	linkWait = 500 * time.Millisecond
)

func evicted(s *site) int {
	s.startStore(0)
	s.store.put("config", "main", config(7, []string{"ordini", "catalogo"},
		route{"r1", "shop.example", "/browse/", "idempotent", "catalogo", 2000, 1000, 2, 2},
		route{"r2", "shop.example", "/order/", "non_idempotent", "ordini", 4000, 2000, 1, 2}))
	m, _ := s.add("sidecar-1", "palermo", "catalogo", 4, 20*time.Millisecond)
	s.add("sidecar-2", "palermo", "ordini", 10, orderWork)
	s.add("sidecar-3", "palermo", "ordini", 10, orderWork)
	for _, x := range s.machines {
		x.start(0)
	}
	s.waitAllReady()
	time.Sleep(6 * time.Second)
	ready := newReadyWatch(m)
	defer ready.close()

	start := time.Now()
	stop := start.Add(orderPhase)
	var wait sync.WaitGroup
	var mu sync.Mutex
	var answers []answer
	for range orderClients {
		wait.Go(func() {
			c := &client{address: m.outbound}
			defer c.close()
			for time.Now().Before(stop) {
				a := c.send("POST", "/order/1", "shop.example", "one order", orderBudget)
				s.record.log("order %s: %v", a.id, a)
				mu.Lock()
				answers = append(answers, a)
				mu.Unlock()
				if a.err != nil || a.status != 200 {
					time.Sleep(100 * time.Millisecond)
				}
			}
		})
	}
	lines := headLines
	if !s.trouble {
		lines = calmLines
	}
	var heads, refused atomic.Int64
	for range headClients {
		wait.Go(func() {
			for time.Now().Before(stop.Add(-orderWork)) {
				time.Sleep(headPeriod - time.Duration(time.Now().UnixNano())%headPeriod)
				if time.Since(start) < 3*time.Second {
					continue
				}
				heads.Add(1)
				if sendHead(m, lines) {
					refused.Add(1)
				}
			}
		})
	}
	wait.Wait()

	ran := map[string]run{}
	for _, r := range s.runs() {
		ran[r.attempt] = r
	}
	lost, served, slowest := 0, 0, time.Duration(0)
	for _, a := range answers {
		r, hasRun := ran[a.id]
		if hasRun {
			slowest = max(slowest, r.at.Sub(a.sent))
		}
		switch {
		case a.status == 200:
			served++
		case a.err != nil && a.kept && hasRun && r.at.Sub(a.sent) < linkWait && a.took < orderBudget-100*time.Millisecond:
			lost++
			s.record.log("lost: order %s was run by %s %d ms after it was sent; after %d ms its connection was closed without an answer: %v",
				a.id, r.endpoint, r.at.Sub(a.sent).Milliseconds(), a.took.Milliseconds(), a.err)
		}
	}
	yes, no := ready.counts()
	s.record.say("%d heads of %d lines were sent on new connections, %d were answered with a 4xx", heads.Load(), lines, refused.Load())
	s.record.say("%d orders: %d answered with 200, %d from kept connections run by an endpoint and their connections closed without an answer", len(answers), served, lost)
	s.record.say("an order reached its endpoint %v after it was sent at the latest; ready %d times, not ready %d times", slowest.Round(time.Millisecond), yes, no)
	if lost > lostLimit {
		s.record.say("LOST is broken")
		return broken
	}
	return held
}

// sendHead sends one request with a head of many lines on a new connection and reports whether the answer is a 404 or another 4xx.
func sendHead(m *machine, lines int) bool {
	conn, err := net.DialTimeout("tcp", m.outbound, time.Second)
	if err != nil {
		return false
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	go func() {
		_, _ = fmt.Fprintf(conn, "GET /nowhere/x HTTP/1.1\r\nHost: shop.example\r\n%s%s%s\r\n", line("id", newID()), line("budget", "2000"), strings.Repeat("a:1\r\n", lines))
	}()
	var status [12]byte
	_, err = io.ReadFull(conn, status[:])
	return err == nil && strings.HasPrefix(string(status[:]), "HTTP/1.1 4")
}
