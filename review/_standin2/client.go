package main

import (
	"bufio"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// answer is what a client got for one attempt.
type answer struct {
	// kept is true if the connection had carried an answer before.
	kept      bool
	sent      time.Time
	took      time.Duration
	id        string
	status    int
	signature string
	body      string
	err       error
}

func (a answer) String() string {
	if a.err != nil {
		return fmt.Sprintf("no answer (%v) after %d ms", a.err, a.took.Milliseconds())
	}
	return fmt.Sprintf("%d, signature %q, after %d ms", a.status, a.signature, a.took.Milliseconds())
}

func newID() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// client keeps one connection to the Outbound address of a machine.
type client struct {
	address string
	// headers are further header lines of each attempt.
	headers string
	conn    net.Conn
	reader  *bufio.Reader
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// send sends one attempt with the given request target, byte for byte, and waits for the answer until the time budget is over.
func (c *client) send(method, target, host, body string, deadline time.Duration) (a answer) {
	return c.sendID(method, target, host, body, deadline, newID())
}

// sendID is send with an id of the caller's choice.
func (c *client) sendID(method, target, host, body string, deadline time.Duration, id string) (a answer) {
	a.sent, a.id, a.kept = time.Now(), id, c.conn != nil
	defer func() {
		a.took = time.Since(a.sent)
		if a.err != nil {
			c.close()
		}
	}()
	if c.conn == nil {
		if c.conn, a.err = net.DialTimeout("tcp", c.address, time.Second); a.err != nil {
			c.conn = nil
			return a
		}
		c.reader = bufio.NewReader(c.conn)
	}
	_ = c.conn.SetDeadline(a.sent.Add(deadline))
	var head strings.Builder
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\n%s%s", method, target, host, line("id", a.id), line("budget", fmt.Sprint(deadline.Milliseconds())))
	if body != "" || method == http.MethodPost {
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(body))
	}
	head.WriteString(c.headers + "\r\n" + body)
	if _, a.err = io.WriteString(c.conn, head.String()); a.err != nil {
		return a
	}
	res, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		a.err = err
		return a
	}
	text, err := io.ReadAll(res.Body)
	if err != nil {
		a.err = err
		return a
	}
	a.status, a.signature, a.body = res.StatusCode, res.Header.Get(names["proof"]), string(text)
	if res.Close {
		c.close()
	}
	return a
}

// isReady asks the node whether it is ready, as the platform does once a second.
func (m *machine) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Get("http://" + m.ready + "/jayfold/v1/ready")
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}
