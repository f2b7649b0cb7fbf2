package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// answer is what a client got; status 0 means that the connection ended without an answer.
type answer struct {
	id     string
	sent   time.Time
	took   time.Duration
	status int
	signed bool
	body   string
}

var requestNumber atomic.Int64

// client sends requests to the Outbound address of one node.
type client struct {
	record *record
	node   *node
	http   http.Client
}

func newClient(rec *record, n *node) *client {
	transport := &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 64, IdleConnTimeout: 10 * time.Second}
	return &client{record: rec, node: n, http: http.Client{Transport: transport}}
}

// send makes one client attempt. A client waits for its deadline and a little longer.
func (c *client) send(method, path string, deadline time.Duration, bodyBytes int) answer {
	a := answer{id: fmt.Sprintf("%016x", 0x1c41d07b00000000+requestNumber.Add(1)), sent: time.Now()}
	request, err := http.NewRequest(method, "http://"+c.node.outbound+path, strings.NewReader(strings.Repeat("o", bodyBytes)))
	check(err)
	// The client of net/http must not send an attempt twice by itself.
	request.GetBody = nil
	request.Host = "jepu9.example"
	request.Header.Set(wire.RequestID, a.id)
	request.Header.Set(wire.Deadline, fmt.Sprint(deadline.Milliseconds()))
	c.http.Timeout = deadline + 500*time.Millisecond
	c.record.printf("client at %s: sends %s %s id %s", c.node.name, method, path, a.id)
	response, err := c.http.Do(request)
	if err == nil {
		var body []byte
		body, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
		a.status, a.signed, a.body = response.StatusCode, response.Header.Get(wire.Signature) != "", strings.TrimSpace(string(body))
	}
	a.took = time.Since(a.sent)
	if err != nil {
		a.status = 0
		c.record.printf("client at %s: id %s has no answer after %v: %v", c.node.name, a.id, a.took.Round(time.Millisecond), err)
		return a
	}
	c.record.printf("client at %s: id %s got %d signed=%v after %v: %s", c.node.name, a.id, a.status, a.signed, a.took.Round(time.Millisecond), a.body)
	return a
}
