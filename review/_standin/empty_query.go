package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"time"
)

// emptyQuery looks for requests that reach an endpoint with a changed target: PATH? with an empty query becomes PATH without one.
func emptyQuery(s *site) int {
	const service = "wuno96b"
	s.store.configure(config(7, []string{service}, route("/puka111/", "non_idempotent", service)))
	var endpoints []*endpoint
	for _, zone := range []string{"palermo", "catania"} {
		n := s.addNode("sidecar-"+zone+"-1", zone, service)
		endpoints = append(endpoints, startEndpoint(s.record, n, "i-"+zone, service, 4, 50*time.Millisecond))
	}
	s.waitReady()
	time.Sleep(stableWindow + time.Second)
	sent := map[string]string{}
	for i := range 20 {
		n := s.nodes[i%2]
		id, uri := fmt.Sprintf("9c41d07be2a3%04x", i), fmt.Sprintf("/puka111/2f%d/?q=%d", i, i)
		if s.trouble {
			uri = fmt.Sprintf("/puka111/2f%d/?", i)
		}
		sent[id] = uri
		s.record.printf("client at %s: sends POST %s id %s got %s", n.name, uri, id, sendRaw(n, uri, id))
	}
	ran, changed := 0, 0
	for _, e := range endpoints {
		for _, a := range e.seen() {
			if a.ran {
				ran++
			}
			if a.ran && a.uri != sent[a.id] {
				changed++
				s.record.printf("id %s was sent with %q and ran with %q", a.id, sent[a.id], a.uri)
			}
		}
	}
	s.record.printf("20 orders sent, %d ran, %d with another path or query", ran, changed)
	switch {
	case ran < 15:
		return notRun
	case changed > 0:
		return broken
	default:
		return held
	}
}

// sendRaw sends a request with exactly the given target and returns the status of the answer.
func sendRaw(n *node, uri, id string) string {
	c, err := net.Dial("tcp", n.outbound)
	check(err)
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	_, _ = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: jepu9.example\r\n%s: %s\r\n%s: 4000\r\nContent-Length: 2\r\n\r\nok",
		uri, wire.RequestID, id, wire.Deadline)
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return err.Error()
	}
	_ = response.Body.Close()
	return response.Status
}
