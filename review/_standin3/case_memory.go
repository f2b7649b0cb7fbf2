package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["memory"] = caseMemory }

// withheldBody is the body of an upload of which the end doesn't come.
type withheldBody struct {
	ctx  context.Context
	left int
}

// Read implements io.Reader.
func (b *withheldBody) Read(p []byte) (int, error) {
	if b.left > 0 {
		n := min(len(p), b.left)
		b.left -= n
		return n, nil
	}
	<-b.ctx.Done()
	return 0, io.ErrUnexpectedEOF
}

// caseMemory looks for a node that grows over the memory of its machine, and is killed with the orders of its callers, while clients outside
// the limits upload over HTTP/2.
func caseMemory(w *world) bool {
	const (
		service, host = "ordini", "orders.example"
		memoryMb      = 184
		conns, bodies = 600, 20
		bodyBytes     = 900_000
	)
	for range 2 {
		w.addNode("palermo", service, memoryMb, nil)
	}
	w.nodes[0].oneCore = true // its machine shows one core
	for _, n := range w.nodes {
		n.start()
	}
	w.store.operatorPut(`{"Version":7,"Routes":[{"Name":"r-orders","Host":"orders.example","PathPrefix":"/orders/","@kind@":"non_idempotent",
		"TimeoutMs":8000,"@latency@":6000,"Priority":1,"Service":"ordini","Attempts":2}],
		"Services":[{"Name":"ordini","HealthCheckPath":"/health","MaxConnections":1410,"Protocol":"h1","Tls":false}],
		"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}`)
	for i, n := range w.nodes {
		newEndpoint(w.all, fmt.Sprintf("i-%08d", i), service, n.zone, n.app, n.ctl, 15)
	}
	w.waitReady(10 * time.Second)
	time.Sleep(5 * time.Second)
	n := w.nodes[0]

	// Ordinary clients send one order after the other, each on its kept connection.
	var mu sync.Mutex
	unanswered := map[string]time.Time{}
	answered := 0
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for range 20 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			for {
				select {
				case <-stop:
					return
				case <-time.After(100 * time.Millisecond):
				}
				c, err := net.DialTimeout("tcp", n.outbound, time.Second)
				if err != nil {
					continue
				}
				r := bufio.NewReader(c)
				for kept := 0; ; kept++ {
					select {
					case <-stop:
						_ = c.Close()
						return
					default:
					}
					id := newID()
					_ = c.SetDeadline(time.Now().Add(9 * time.Second))
					_, err := io.WriteString(c, request(http.MethodPost, "/orders/w4000/"+id, host, id, 8*time.Second, "", "order"))
					a := answer{err: err}
					if err == nil {
						a = readAnswer(r, http.MethodPost)
					}
					mu.Lock()
					if a.err == nil {
						answered++
					} else if kept > 0 {
						unanswered[id] = time.Now()
					}
					mu.Unlock()
					if a.err != nil {
						record("order %s, the %d. on its connection: no answer (%v)", id, kept+1, a.err)
						break
					}
				}
				_ = c.Close()
			}
		}()
	}
	time.Sleep(3 * time.Second)

	// The platform kills a process that exceeds the memory of its machine.
	var killed atomic.Int64
	peak := 0
	pid := n.command.Process.Pid
	var killedAt time.Time
	watch := make(chan struct{})
	go func() {
		defer close(watch)
		for end := time.Now().Add(40 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
			kb := anonymousKb(pid)
			peak = max(peak, kb)
			if kb*1024 > memoryMb*1_000_000 {
				record("the process holds %d kB, more than %d MB: the platform kills it", kb, memoryMb)
				killedAt = time.Now()
				n.kill()
				killed.Add(1)
				return
			}
			if !n.alive() {
				killedAt = time.Now()
				killed.Add(1)
				return
			}
		}
	}()
	for round := 0; trouble && round < 8 && killed.Load() == 0; round++ {
		var uploads sync.WaitGroup
		ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
		for range conns {
			transport := &http.Transport{Protocols: new(http.Protocols), HTTP2: &http.HTTP2Config{StrictMaxConcurrentRequests: true}, MaxConnsPerHost: 1}
			transport.Protocols.SetUnencryptedHTTP2(true)
			for range bodies {
				uploads.Add(1)
				go func() {
					defer uploads.Done()
					req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.outbound+"/orders/w10/upload", &withheldBody{ctx: ctx, left: bodyBytes})
					if err != nil {
						return
					}
					req.Host, req.ContentLength = host, bodyBytes+100_000
					req.Header.Set(wire("@id@"), newID())
					if res, err := transport.RoundTrip(req); err == nil {
						_ = res.Body.Close()
					}
				}()
			}
			time.Sleep(2 * time.Millisecond)
		}
		record("round %d: %d connections with %d uploads each", round, conns, bodies)
		uploads.Wait()
		cancel()
	}
	<-watch
	time.Sleep(500 * time.Millisecond)
	close(stop)
	clients.Wait()
	ran := map[string]bool{}
	for _, r := range w.all.snapshot() {
		ran[r.attempt] = true
	}
	lost := 0
	for id, t := range unanswered {
		if ran[id] && killed.Load() > 0 && t.Sub(killedAt).Abs() < time.Second {
			lost++
			record("order %s was run, and its kept connection closed without an answer", id)
		}
	}
	record("peak of the process: %d kB, killed %d times; orders answered: %d; orders of kept connections that were run and not answered: %d (three are allowed)",
		peak, killed.Load(), answered, lost)
	return killed.Load() > 0 && lost > 3
}

// anonymousKb returns the resident memory of a process in kB, without the pages of its program file.
func anonymousKb(pid int) int {
	status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for _, line := range strings.Split(string(status), "\n") {
		if value, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(value)[0])
			return kb
		}
	}
	return 0
}
