package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// The case looks for a node whose memory grows with the number of requests that it has refused, until it is over the limit of its machine.
func init() { cases["memory"] = memory }

const (
	// memoryLimitMB is MemoryMb of the smallest machines of the grown deployments.
	memoryLimitMB = 184
	// floodClients repeat their refused requests at once for floodPhase at most.
	floodClients = 72
	floodBatch   = 8
	floodPhase   = 90 * time.Second
	// ordersKept is the number of clients that place orders on kept connections.
	ordersKept = 12
)

func memory(s *site) int {
	s.memoryMB = memoryLimitMB
	s.startStore(0)
	s.store.put("config", "main", config(7, []string{"ordini", "catalogo", "consegne"},
		route{"r1", "shop.example", "/browse/", "idempotent", "catalogo", 2000, 1000, 2, 2},
		route{"r2", "shop.example", "/order/", "non_idempotent", "ordini", 4000, 2000, 1, 2}))
	m, _ := s.add("sidecar-1", "palermo", "catalogo", 4, 500*time.Millisecond)
	s.add("sidecar-2", "palermo", "ordini", 16, 600*time.Millisecond)
	for i := 3; i <= 5; i++ {
		s.add(fmt.Sprintf("sidecar-%d", i), "palermo", "consegne", 4, 500*time.Millisecond)
	}
	for _, x := range s.machines {
		x.start(0)
	}
	s.waitAllReady()
	time.Sleep(6 * time.Second)

	start := time.Now()
	stop := start.Add(floodPhase)
	ended := make(chan struct{})
	isOver := func() bool {
		select {
		case <-ended:
			return true
		default:
			return time.Now().After(stop)
		}
	}
	var wait sync.WaitGroup
	var mu sync.Mutex
	var answers []answer
	for range ordersKept {
		wait.Go(func() {
			c := &client{address: m.outbound}
			defer c.close()
			for !isOver() {
				a := c.send("POST", "/order/1", "shop.example", "one order", 4*time.Second)
				mu.Lock()
				answers = append(answers, a)
				mu.Unlock()
				if a.err != nil || a.status != 200 {
					time.Sleep(100 * time.Millisecond)
				}
			}
		})
	}
	var sent, refused atomic.Int64
	for i := range floodClients {
		to := s.machines[2+i%3]
		wait.Go(func() {
			for !isOver() {
				flood(to, &sent, &refused, isOver, s.trouble)
			}
		})
	}
	// The platform kills a process that is over the memory of its machine.
	killed := false
	for !isOver() {
		time.Sleep(200 * time.Millisecond)
		size := residentMB(m.process.Process.Pid)
		if int(time.Since(start).Milliseconds())%5000 < 200 {
			s.record.log("the node of sidecar-1 has %d MB; %d requests were sent for catalogo, %d of them refused", size, sent.Load(), refused.Load())
		}
		if size > memoryLimitMB {
			killed = true
			s.record.say("after %v and %d requests, %d of them refused, the node of sidecar-1 has %d MB, over MemoryMb (%d): the platform kills it",
				time.Since(start).Round(time.Second), sent.Load(), refused.Load(), size, memoryLimitMB)
			m.signal(syscall.SIGKILL)
			break
		}
	}
	time.Sleep(300 * time.Millisecond)
	close(ended)
	wait.Wait()

	ran := map[string]bool{}
	for _, r := range s.runs() {
		ran[r.attempt] = true
	}
	lost, served := 0, 0
	for _, a := range answers {
		switch {
		case a.status == 200:
			served++
		case a.err != nil && a.kept && ran[a.id] && a.took < 3900*time.Millisecond:
			lost++
			s.record.log("lost: order %s was run; after %d ms its connection ended without an answer: %v", a.id, a.took.Milliseconds(), a.err)
		}
	}
	s.record.say("%d orders at sidecar-1: %d answered with 200, %d from kept connections run by an endpoint and their connections closed without an answer",
		len(answers), served, lost)
	if killed && lost > lostLimit {
		s.record.say("LOST is broken: a process that ends by itself (memory over the limit) counts as running")
		return broken
	}
	return held
}

// flood sends requests on one connection and repeats refused ones at once, which the Retry-After of the refusals asks it not to do. Without
// trouble it waits as long as a client of the site would.
func flood(m *machine, sent, refused *atomic.Int64, isOver func() bool, trouble bool) {
	conn, err := net.DialTimeout("tcp", m.outbound, time.Second)
	if err != nil {
		time.Sleep(50 * time.Millisecond)
		return
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	batch := floodBatch
	if !trouble {
		batch = 1
	}
	for !isOver() {
		_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
		var out strings.Builder
		for range batch {
			fmt.Fprintf(&out, "GET /browse/x HTTP/1.1\r\nHost: shop.example\r\n%s%s\r\n", line("id", newID()+newID()+newID()+newID()), line("budget", "4000"))
		}
		if _, err := io.WriteString(conn, out.String()); err != nil {
			return
		}
		for range batch {
			res, err := http.ReadResponse(reader, nil)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, res.Body)
			sent.Add(1)
			if res.StatusCode != 200 {
				refused.Add(1)
			}
		}
		if !trouble {
			time.Sleep(5 * time.Second)
		}
	}
}

// residentMB returns the resident memory of a process.
func residentMB(pid int) int {
	status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.SplitSeq(string(status), "\n") {
		if value, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb := 0
			_, _ = fmt.Sscan(value, &kb)
			return kb >> 10
		}
	}
	return 0
}
