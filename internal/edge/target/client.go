package target

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/fleet"
)

// The headers that the client sets on each request to a target.
const (
	headerRequest = "Jayfold-Request"
	headerTimeout = "Jayfold-Timeout"
	headerCaller  = "Jayfold-Caller"
	headerPrefix  = "Jayfold-"
)

const (
	// idleTimeout closes connections that have been silent for longer: an order must not be lost to a connection that
	// the target is about to close. A new one costs about 1 ms.
	idleTimeout = 500 * time.Millisecond
	// dialTimeout bounds the dial of a connection, which stays within the host.
	dialTimeout = time.Second
	// probeTimeout bounds the dial that tells a dead process from a busy one.
	probeTimeout = 250 * time.Millisecond
	// dropWait is how long a new connection must stay open for its process to count as alive.
	dropWait = 50 * time.Millisecond
	// redialWait is the time between two dials to a process that drops new connections.
	redialWait = 10 * time.Millisecond
	// maxResponseHeader bounds the headers of a response, in bytes.
	maxResponseHeader = 256 << 10
	// maxTransports bounds the endpoints that are kept. A host has about 15 targets, each with a new port per start.
	maxTransports = 128
	// maxFreshTries bounds how often a request of which nothing was written moves on from a connection that was closed.
	maxFreshTries = 3
)

// Dial opens a connection to a target.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// NewDial returns the dial function of the operating system.
func NewDial() Dial {
	dialer := net.Dialer{Timeout: dialTimeout}
	return dialer.DialContext
}

// Client sends admitted attempts to the targets on this host. It keeps connections open per target.
type Client struct {
	dial Dial
	now  func() time.Time

	mu         sync.Mutex
	transports map[endpoint]*http.Transport
}

// endpoint is a target's address with the connections that it allows.
type endpoint struct {
	address     string
	connections int
}

// NewClient returns a client without connections.
func NewClient(dial Dial, now func() time.Time) *Client {
	return &Client{dial: dial, now: now, transports: map[endpoint]*http.Transport{}}
}

// Run sends the request to the target and returns its response. The caller must close the body. ctx cancels the run.
func (c *Client) Run(ctx context.Context, run effect.Run, request *http.Request) (*http.Response, error) {
	remaining := run.Attempt.Deadline.Sub(c.now())
	if remaining <= 0 {
		return nil, fleet.NewProblem(fleet.DeadlinePassed, fleet.NotRun, "the deadline passed before the run started")
	}
	ctx, cancel := context.WithTimeout(ctx, remaining)
	transport := c.transport(endpoint{address: run.Address, connections: run.Connections})
	for tries := 1; ; tries++ {
		response, sent, err := c.roundTrip(ctx, transport, run, request, remaining)
		if err == nil {
			response.Body = &responseBody{ReadCloser: response.Body, cancel: cancel}
			return response, nil
		}
		if !sent.movesOn() || tries == maxFreshTries || ctx.Err() != nil {
			cancel()
			return nil, problemOf(err, sent)
		}
	}
}

// roundTrip tries the request on one connection.
func (c *Client) roundTrip(
	ctx context.Context, transport *http.Transport, run effect.Run, request *http.Request, remaining time.Duration,
) (*http.Response, *sending, error) {
	sent := &sending{body: request.Body}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: sent.gotConn})
	response, err := transport.RoundTrip(outgoing(ctx, run, request, sent, remaining))
	if err != nil {
		sent.stop()
	}
	return response, sent, err
}

// outgoing returns the request as the target gets it. Its body is never nil and has no GetBody, so that the transport
// never sends the request a second time by itself.
func outgoing(
	ctx context.Context, run effect.Run, request *http.Request, body *sending, remaining time.Duration,
) *http.Request {
	out := request.Clone(ctx)
	out.RequestURI = ""
	out.URL.Scheme = "http"
	out.URL.Host = run.Address
	out.Host = request.Host
	out.Body = body
	out.GetBody = nil
	out.TransferEncoding = nil
	out.Trailer = nil
	out.Close = false
	caller := request.Header.Get(headerCaller)
	removeHopHeaders(out.Header)
	if caller != "" {
		out.Header.Set(headerCaller, caller)
	}
	out.Header.Set(headerRequest, string(run.Attempt.ID.Request()))
	out.Header.Set(headerTimeout, remaining.Round(time.Microsecond).String())
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
func problemOf(err error, sent *sending) fleet.Problem {
	verdict := fleet.MayHaveRun
	if sent.nothingWritten() {
		verdict = fleet.NotRun
	}
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
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	for {
		conn, err := c.dial(ctx, "tcp", address)
		if err != nil {
			return errors.Is(err, syscall.ECONNREFUSED)
		}
		dropped := drops(conn)
		_ = conn.Close()
		if !dropped || !pause(ctx, redialWait) {
			return false
		}
	}
}

// pause waits, and reports whether it came to the end.
func pause(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// drops reports whether the peer closes an idle connection at once. A server leaves it open for a request.
func drops(conn net.Conn) bool {
	_ = conn.SetReadDeadline(time.Now().Add(dropWait))
	_, err := conn.Read(make([]byte, 1))
	return err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
}

// transport returns the transport with the connections to a target.
func (c *Client) transport(to endpoint) *http.Transport {
	c.mu.Lock()
	defer c.mu.Unlock()
	if transport, ok := c.transports[to]; ok {
		return transport
	}
	c.forget(to.address)
	if len(c.transports) >= maxTransports {
		c.forgetAll()
	}
	transport := &http.Transport{
		DialContext:            c.dialTracked,
		DisableCompression:     true,
		MaxConnsPerHost:        to.connections,
		MaxIdleConnsPerHost:    to.connections,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxResponseHeader,
	}
	c.transports[to] = transport
	return transport
}

// forget drops the transports of an address whose bound has changed. Runs on their connections go on.
func (c *Client) forget(address string) {
	for old, transport := range c.transports {
		if old.address == address {
			transport.CloseIdleConnections()
			delete(c.transports, old)
		}
	}
}

// forgetAll drops all transports. Runs on their connections go on.
func (c *Client) forgetAll() {
	for _, transport := range c.transports {
		transport.CloseIdleConnections()
	}
	clear(c.transports)
}
