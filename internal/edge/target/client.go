package target

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/fleet"
)

const (
	// dialTimeout bounds the dial of a connection, which stays within the host.
	dialTimeout = time.Second
	// crashCheckTimeout bounds the dial that tells a dead process from a busy one.
	crashCheckTimeout = 250 * time.Millisecond
	// dropTimeout is how long a new connection must stay open for its process to count as alive.
	dropTimeout = 50 * time.Millisecond
	// redialDelay is the time between two dials to a process that drops new connections.
	redialDelay = 10 * time.Millisecond
	// maxEndpoints bounds the endpoints that are kept. A host has about 15 targets, each with a new port per start.
	maxEndpoints = 128
)

// keepAlive finds connections that went silent: three probes without an answer, 5 s after the last byte.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 3}

// Dial opens a connection to a target.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// NewDial returns the dial function of the operating system.
func NewDial() Dial {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAlive}
	return dialer.DialContext
}

// Client sends admitted attempts to the targets on this host. It keeps connections open per target.
type Client struct {
	protocol  Protocol
	dial      Dial
	now       func() time.Time
	mu        sync.Mutex
	endpoints map[endpointKey]*endpoint
}

// NewClient returns a client without connections.
func NewClient(protocol Protocol, dial Dial, now func() time.Time) *Client {
	return &Client{protocol: protocol, dial: dial, now: now, endpoints: map[endpointKey]*endpoint{}}
}

// Run sends the request to the target and returns its response. The caller must close the body. ctx cancels the run.
func (c *Client) Run(ctx context.Context, run effect.StartRun, request *http.Request) (*http.Response, error) {
	remaining := run.Attempt.Deadline.Sub(c.now())
	if remaining <= 0 {
		return nil, fleet.NewProblem(fleet.DeadlinePassed, fleet.NotRun, "the deadline passed before the run started")
	}
	ctx, cancel := context.WithTimeout(ctx, remaining)
	conn, err := c.endpoint(run).acquire(ctx, run.Attempt.Idempotent)
	if err != nil {
		cancel()
		return nil, problemOf(err, fleet.NotRun)
	}
	s := newExchange(ctx, cancel, conn)
	response, err := s.roundTrip(c.outgoingRequest(ctx, run, request), func(r *http.Response) bool { return c.protocol.IsMismatched(run, r) })
	if err != nil {
		return nil, problemOf(err, s.abort())
	}
	if problem, ok := c.protocol.CheckResponse(run, response).Get(); ok {
		s.discard(response)
		return nil, problem
	}
	return response, nil
}

// outgoingRequest returns the request as the target gets it.
func (c *Client) outgoingRequest(ctx context.Context, run effect.StartRun, request *http.Request) *http.Request {
	out := request.Clone(ctx)
	out.RequestURI = ""
	out.URL.Scheme = "http"
	out.URL.Host = run.Address
	out.Host = request.Host
	out.GetBody = nil
	out.TransferEncoding = nil
	out.Trailer = nil
	out.Close = false
	if out.ContentLength == 0 {
		out.Body = http.NoBody
	}
	removeHopHeaders(out.Header)
	if _, ok := out.Header["User-Agent"]; !ok {
		// An empty value keeps net/http from adding its own.
		out.Header.Set("User-Agent", "")
	}
	// The time left is read last, so that the target never gets more than the caller has.
	c.protocol.SetHeaders(out.Header, run, max(run.Attempt.Deadline.Sub(c.now()), 0))
	return out
}

var hopHeaders = []string{
	"Connection", "Expect", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade",
}

// removeHopHeaders removes the headers that concern one connection only, and those that nodes set for one another.
func removeHopHeaders(header http.Header) {
	for _, line := range header.Values("Connection") {
		for name := range strings.SplitSeq(line, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		header.Del(name)
	}
	for name := range header {
		if strings.HasPrefix(name, headerPrefix) {
			header.Del(name)
		}
	}
}

// problemOf returns the problem of a request without a response.
func problemOf(err error, verdict fleet.Verdict) fleet.Problem {
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		return fleet.NewProblem(fleet.DeadlinePassed, verdict, "the target gave no response before the deadline")
	case errors.Is(err, context.Canceled):
		return fleet.NewProblem(fleet.Canceled, verdict, "the run was canceled")
	case verdict == fleet.NotRun:
		return fleet.NewProblem(fleet.Unreachable, verdict, err.Error())
	default:
		return fleet.NewProblem(fleet.Broken, verdict, err.Error())
	}
}

// Crashed reports whether no process listens at the address any more. A process that is slow or stopped has not crashed. One
// that is ending may still take a connection, but drops it at once, so that a dropped connection is followed by another dial.
func (c *Client) Crashed(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, crashCheckTimeout)
	defer cancel()
	for {
		conn, err := c.dial(ctx, "tcp", address)
		if err != nil {
			return errors.Is(err, syscall.ECONNREFUSED)
		}
		dropped := dropsConnection(conn)
		_ = conn.Close()
		if !dropped || !sleep(ctx, redialDelay) {
			return false
		}
	}
}

// sleep waits, and reports whether it came to the end.
func sleep(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// dropsConnection reports whether the peer closes an idle connection at once. A server leaves it open for a request.
func dropsConnection(conn net.Conn) bool {
	_ = conn.SetReadDeadline(time.Now().Add(dropTimeout))
	_, err := conn.Read(make([]byte, 1))
	return err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
}

// endpoint returns the connections to the target of a run.
func (c *Client) endpoint(run effect.StartRun) *endpoint {
	key := endpointKey{address: run.Address, connections: run.Connections}
	c.mu.Lock()
	defer c.mu.Unlock()
	if e, ok := c.endpoints[key]; ok {
		return e
	}
	for old, e := range c.endpoints {
		// An address whose bound has changed has another process behind it. Too many endpoints are forgotten together.
		if old.address == key.address || len(c.endpoints) >= maxEndpoints {
			e.closeIdle()
			delete(c.endpoints, old)
		}
	}
	e := newEndpoint(key, c.dial, c.now)
	c.endpoints[key] = e
	return e
}
