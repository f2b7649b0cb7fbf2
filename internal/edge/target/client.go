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
	"jayfold.dev/jayfold/internal/edge/recovery"
)

const (
	// dialTimeout bounds the dial of a connection to a target on the same host.
	dialTimeout = time.Second
	// crashCheckTimeout bounds the dials that check whether a process has crashed.
	crashCheckTimeout = 250 * time.Millisecond
	// dropTimeout is the time for which a new connection must stay open before its process counts as alive.
	dropTimeout = 50 * time.Millisecond
	// redialDelay is the delay before another dial to a process that drops new connections.
	redialDelay = 10 * time.Millisecond
	// maxEndpoints bounds the stored endpoints. A host has about 15 targets, each of which gets a new port when it starts.
	maxEndpoints = 128
)

// keepAlive detects dead connections 5 s after the last byte, when three keep-alive probes have had no response.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 3}

// Dial opens a connection to a target.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// NewDial returns a Dial that uses the operating system's network.
func NewDial() Dial {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAlive}
	return dialer.DialContext
}

// Client sends admitted attempts to the targets on this host. It reuses connections to each target.
type Client struct {
	protocol  Protocol
	dial      Dial
	now       func() time.Time
	recovery  *recovery.Boundary
	mu        sync.Mutex
	endpoints map[endpointKey]*endpoint
}

// NewClient returns a client without connections. The boundary contains panics of the goroutines that write requests; nil contains
// none.
func NewClient(protocol Protocol, dial Dial, now func() time.Time, boundary *recovery.Boundary) *Client {
	return &Client{protocol: protocol, dial: dial, now: now, recovery: boundary, endpoints: map[endpointKey]*endpoint{}}
}

// Run sends the request to the target and returns its response, whose body must be closed. Canceling ctx cancels the run.
func (c *Client) Run(ctx context.Context, run effect.StartRun, request *http.Request) (*http.Response, error) {
	remaining := run.Attempt.Deadline.Sub(c.now())
	if remaining <= 0 {
		return nil, fleet.NewProblem(fleet.DeadlinePassed, fleet.NotRun, "the deadline passed before the attempt started")
	}
	ctx, cancel := context.WithTimeout(ctx, remaining)
	endpoint, id := c.endpoint(run), run.Attempt.ID.Request()
	conn, err := endpoint.acquire(ctx, id, run.Attempt.Idempotent)
	if err != nil {
		cancel()
		return nil, problemOf(err, fleet.NotRun)
	}
	e := newExchange(ctx, cancel, conn, c.recovery)
	isMismatched := func(r *http.Response, reused bool) bool { return c.protocol.IsMismatched(run, r, reused) }
	e.isIdentified = c.protocol.IsIdentified
	response, err := e.roundTrip(c.outgoingRequest(ctx, run, request), isMismatched)
	if err != nil {
		return nil, problemOf(err, e.abort())
	}
	if problem, ok := c.protocol.CheckResponse(run, response).Get(); ok {
		// A faulty target may write a refusal once more, where it would count as the response to a later attempt.
		e.end(false)
		if problem.Verdict == fleet.NotRun {
			endpoint.addRefused(id)
		}
		return nil, problem
	}
	return response, nil
}

// outgoingRequest returns the request that is sent to the target.
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
	stripHeaders(out.Header)
	if _, ok := out.Header["User-Agent"]; !ok {
		// An empty value prevents net/http from adding its own User-Agent.
		out.Header.Set("User-Agent", "")
	}
	// The remaining time is computed last, so that the target never gets more time than the caller has.
	c.protocol.SetHeaders(out.Header, run, max(run.Attempt.Deadline.Sub(c.now()), 0))
	return out
}

var hopByHopHeaders = []string{
	"Connection", "Expect", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade",
}

// stripHeaders removes the hop-by-hop headers and the headers that nodes add.
func stripHeaders(header http.Header) {
	for _, line := range header.Values("Connection") {
		for name := range strings.SplitSeq(line, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		header.Del(name)
	}
	for name := range header {
		if strings.HasPrefix(name, headerPrefix) {
			header.Del(name)
		}
	}
}

// problemOf converts the error of a request without a response to a problem with the given verdict.
func problemOf(err error, verdict fleet.Verdict) fleet.Problem {
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		return fleet.NewProblem(fleet.DeadlinePassed, verdict, "the target did not respond before the deadline")
	case errors.Is(err, context.Canceled):
		return fleet.NewProblem(fleet.Canceled, verdict, "the run was canceled")
	case verdict == fleet.NotRun:
		return fleet.NewProblem(fleet.Unreachable, verdict, err.Error())
	default:
		return fleet.NewProblem(fleet.Broken, verdict, err.Error())
	}
}

// Crashed reports whether no process listens at the address. A slow or stopped process has not crashed. An exiting process may
// still accept a connection and drop it at once, so after a dropped connection the address is dialed again.
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

// sleep waits for d and returns true, or returns false as soon as ctx is done.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// dropsConnection reports whether the process closes a new connection at once. A working server keeps it open for a request.
func dropsConnection(conn net.Conn) bool {
	_ = conn.SetReadDeadline(time.Now().Add(dropTimeout))
	_, err := conn.Read(make([]byte, 1))
	return err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
}

// endpoint returns the endpoint for the target of a run.
func (c *Client) endpoint(run effect.StartRun) *endpoint {
	key := endpointKey{address: run.Address, connections: run.Connections}
	c.mu.Lock()
	defer c.mu.Unlock()
	if e, ok := c.endpoints[key]; ok {
		return e
	}
	for old, e := range c.endpoints {
		// An address with another connection limit belongs to a new process. If there are too many endpoints, all are removed.
		if old.address == key.address || len(c.endpoints) >= maxEndpoints {
			e.close()
			delete(c.endpoints, old)
		}
	}
	e := newEndpoint(key, c.dial, c.now)
	c.endpoints[key] = e
	return e
}
