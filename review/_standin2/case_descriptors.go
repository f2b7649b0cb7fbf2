package main

import (
	"bufio"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// The case looks for a node that takes no new connection any more, because clients that keep their connections open hold all of its
// descriptors.
func init() { cases["descriptors"] = descriptors }

const (
	// maxFds is MaxFds of the deployment's machines.
	maxFds = 4100
	// keptConnections is the number of connections that clients which nobody controls keep open; calmConnections that without trouble.
	keptConnections = 4300
	calmConnections = 100
	// stableWindow is StableWindowMs. ordinaryClients is one more than the rule asks for.
	stableWindow    = 3 * time.Second
	ordinaryClients = 8
	watched         = 10 * time.Second
)

func descriptors(s *site) int {
	s.startStore(0)
	s.store.put("config", "main", config(7, []string{"shop"}, route{"r1", "a.example", "/shop/", "idempotent", "shop", 4000, 1000, 1, 2}))
	m, _ := s.add("n1", "z1", "shop", 8, 5*time.Millisecond)
	m.start(maxFds)
	s.waitAllReady()
	time.Sleep(4 * time.Second)
	if a := (&client{address: m.outbound}).send("GET", "/shop/first", "a.example", "", 4*time.Second); a.status != 200 {
		s.record.say("the first request isn't served: %v", a)
		return unable
	}
	ready := newReadyWatch(m)
	defer ready.close()

	count := keptConnections
	if !s.trouble {
		count = calmConnections
	}
	kept, answered := keep(s, m, count)
	defer func() {
		for _, c := range kept {
			c.close()
		}
	}()
	s.record.say("%d connections were opened, each for one GET; %d of these were answered with 200; all stay open and idle", len(kept), answered)

	// From here on ordinary clients open new connections.
	start := time.Now()
	var mu sync.Mutex
	var tries, served int
	gap, lastTaken := time.Duration(0), start
	var wait sync.WaitGroup
	for range ordinaryClients {
		wait.Go(func() {
			for time.Since(start) < watched {
				c := &client{address: m.outbound}
				a := c.send("GET", "/shop/ordinary", "a.example", "", time.Second)
				c.close()
				s.record.log("ordinary client, new connection, attempt %s: %v", a.id, a)
				mu.Lock()
				tries++
				if a.err == nil {
					gap, lastTaken = max(gap, time.Since(lastTaken)), time.Now()
					if a.status == 200 {
						served++
					}
				}
				mu.Unlock()
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	wait.Wait()
	gap = max(gap, time.Since(lastTaken))
	yes, no := ready.counts()
	s.record.say("%d ordinary clients tried %d times in %v, each time on a new connection: %d answered with 200", ordinaryClients, tries, watched, served)
	s.record.say("longest time in which no new connection was taken: %v; the node said on its Ready address that it is ready %d times, and %d times not",
		gap.Round(time.Millisecond), yes, no)
	if gap > stableWindow && yes >= 3 && no == 0 {
		s.record.say("RECOVER is broken: ready, but no new connection is taken for StableWindowMs")
		return broken
	}
	return held
}

// keep opens connections and sends one GET on each, whose answer it reads.
func keep(s *site, m *machine, count int) (kept []*client, answered int) {
	var mu sync.Mutex
	var next atomic.Int64
	var wait sync.WaitGroup
	for range 32 {
		wait.Go(func() {
			for next.Add(1) <= int64(count) {
				c := &client{address: m.outbound}
				var err error
				if c.conn, err = net.DialTimeout("tcp", m.outbound, time.Second); err != nil {
					s.record.log("client that keeps its connection: %v", err)
					continue
				}
				c.reader = bufio.NewReader(c.conn)
				a := keptRequest(c)
				mu.Lock()
				kept = append(kept, c)
				if a {
					answered++
				}
				mu.Unlock()
			}
		})
	}
	wait.Wait()
	return kept, answered
}

// keptRequest sends a GET and reads its answer within a second. The connection stays open in any case.
func keptRequest(c *client) bool {
	_ = c.conn.SetDeadline(time.Now().Add(time.Second))
	if _, err := c.conn.Write([]byte("GET /shop/kept HTTP/1.1\r\nHost: a.example\r\n" + line("id", newID()) + line("budget", "4000") + "\r\n")); err != nil {
		return false
	}
	res, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == 200
}

// readyWatch asks a node once a second whether it is ready, on one connection, as the platform does.
type readyWatch struct {
	mu      sync.Mutex
	yes, no int
	done    chan struct{}
}

func newReadyWatch(m *machine) *readyWatch {
	w := &readyWatch{done: make(chan struct{})}
	http := &http.Client{Timeout: time.Second, Transport: &http.Transport{IdleConnTimeout: time.Minute}}
	go func() {
		for {
			res, err := http.Get("http://" + m.ready + "/jayfold/v1/ready")
			w.mu.Lock()
			if err == nil && res.StatusCode == 200 {
				w.yes++
			} else {
				w.no++
			}
			w.mu.Unlock()
			if err == nil {
				_ = res.Body.Close()
			}
			select {
			case <-w.done:
				return
			case <-time.After(time.Second):
			}
		}
	}()
	return w
}

func (w *readyWatch) counts() (yes, no int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.yes, w.no
}

func (w *readyWatch) close() { close(w.done) }
