package peer

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/event"
	"jayfold.dev/jayfold/internal/core/fleet"
	"jayfold.dev/jayfold/internal/edge/recovery"
)

const (
	// cancelTimeout is how long a canceled attempt waits for the sidecar's confirmation that it had not started.
	cancelTimeout = 200 * time.Millisecond
	// deadlineGrace is the time after an attempt's deadline in which the sidecar's own refusal can still arrive.
	deadlineGrace = 250 * time.Millisecond
	// continueTimeout bounds the wait for 100 Continue. It is the longest deadline that a route can have.
	continueTimeout = time.Minute
	// goAwayText is part of the error for a stream above the last stream id of a GOAWAY frame. The peer has not processed
	// such a stream (RFC 9113, section 6.8). net/http exports no error value for it.
	goAwayText = "received Server's graceful shutdown GOAWAY"
)

// ForwarderSeams are the external dependencies of a Forwarder.
type ForwarderSeams struct {
	Now  func() time.Time
	Post func(event.Body)
	// Dial opens a TCP connection. If it is nil, net.Dialer is used.
	Dial dialFunc
	// Recovery contains panics of timers; nil contains none.
	Recovery *recovery.Boundary
}

// Forwarder sends attempts to the sidecars of all nodes, including its own.
type Forwarder struct {
	self  fleet.NodeID
	seams ForwarderSeams
	conns *connPool
	// verifyInterval is the time without a response after which the connection of a waiting request is verified.
	verifyInterval time.Duration
}

// NewForwarder returns a forwarder for the given node. It opens connections on demand.
func NewForwarder(self fleet.NodeID, seams ForwarderSeams) *Forwarder {
	dial := seams.Dial
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	transport := &http.Transport{
		DialContext:        captureSocket(dial),
		DisableCompression: true,
		// The head of a target's response has at most 64 KiB.
		MaxResponseHeaderBytes: maxPeerHeaderBytes,
		// The body of a request is held back while the request waits in the sidecar's queue.
		ExpectContinueTimeout: continueTimeout,
		Protocols:             new(http.Protocols),
		// The HTTP/2 pings of net/http are off: they would also be sent on idle connections, which are the majority.
		HTTP2: &http.HTTP2Config{StrictMaxConcurrentRequests: true, MaxReceiveBufferPerStream: responseWindowBytes},
	}
	transport.Protocols.SetUnencryptedHTTP2(true)
	return &Forwarder{
		self:           self,
		seams:          seams,
		verifyInterval: defaultVerifyInterval,
		conns:          &connPool{transport: transport, now: seams.Now, open: make(map[string][]*forwardConn)},
	}
}

// Close closes all connections.
func (f *Forwarder) Close() { f.conns.close() }

// Forward sends an attempt at the caller's request r with the given body. It returns the target's response, whose body
// ends with an error if the response is truncated, and a function that returns the sidecar's report, which is complete once
// the body has ended. Errors are of type fleet.Problem. When ctx ends, the sidecar is asked to cancel the attempt.
func (f *Forwarder) Forward(
	ctx context.Context, forward effect.ForwardAttempt, r *http.Request, body []byte,
) (*http.Response, func() fleet.Option[fleet.TargetReport], error) {
	attempt := forward.Attempt
	c, err := f.connect(ctx, attempt, roundTripTimeout(forward.CrossZone))
	if err != nil {
		return nil, noReport, err
	}
	streamCtx, cancelStream := context.WithDeadline(context.WithoutCancel(ctx), attempt.Deadline.Add(deadlineGrace))
	stopCancel := context.AfterFunc(ctx, f.seams.Recovery.Func("cancel attempt", func() { f.cancelAttempt(c, attempt, cancelStream) }))
	stopMonitor := f.monitor(streamCtx, c, attempt, cancelStream)
	endStream := func() {
		stopCancel()
		stopMonitor()
		cancelStream()
	}
	var written atomic.Bool
	outgoing := f.sidecarRequest(withWriteTrace(streamCtx, &written), forward, r, body)
	response, err := c.conn.RoundTrip(outgoing)
	if err != nil {
		endStream()
		return nil, noReport, roundTripProblem(err, written.Load())
	}
	return f.checkResponse(c, attempt, response, endStream)
}

func noReport() fleet.Option[fleet.TargetReport] { return fleet.Option[fleet.TargetReport]{} }

// withWriteTrace returns a context that sets written as soon as any part of the request may have been written.
func withWriteTrace(ctx context.Context, written *atomic.Bool) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		WroteHeaderField: func(string, []string) { written.Store(true) },
	})
}

// roundTripProblem returns the problem for a round trip that ended without a response.
func roundTripProblem(err error, written bool) fleet.Problem {
	if !written || strings.Contains(err.Error(), goAwayText) {
		return fleet.NewProblem(fleet.Unreachable, fleet.NotRun, err.Error())
	}
	return fleet.NewProblem(fleet.Broken, fleet.MayHaveRun, err.Error())
}

// connect returns a connection on which the attempt can be sent. A connection without a recent response is verified first, so
// that no request is lost on it. If the peer does not respond, although it has responded on this connection before, another
// connection is opened. Opening a connection takes a round trip and thereby verifies it; for a request that is not idempotent,
// the peer itself must also have responded.
func (f *Forwarder) connect(ctx context.Context, attempt fleet.Attempt, timeout time.Duration) (*forwardConn, error) {
	c, err := f.conns.reserve(ctx, attempt.Address, timeout)
	if err != nil {
		return nil, notSentProblem(err)
	}
	if err = f.ensureVerified(ctx, c, attempt, timeout); err == nil {
		return c, nil
	}
	if !c.hasResponded.Load() {
		return nil, notSentProblem(err)
	}
	if c, err = f.conns.dial(ctx, attempt.Address, timeout); err != nil {
		return nil, notSentProblem(err)
	}
	if err = f.ensureVerified(ctx, c, attempt, timeout); err != nil {
		return nil, notSentProblem(err)
	}
	return c, nil
}

// ensureVerified verifies a connection if the attempt requires it. A connection that does not respond takes no further requests.
func (f *Forwarder) ensureVerified(ctx context.Context, c *forwardConn, attempt fleet.Attempt, timeout time.Duration) error {
	if c.canSkipVerification(f.seams.Now(), attempt.Idempotent) {
		return nil
	}
	err := f.verify(ctx, c, attempt.Address, timeout)
	if err != nil {
		f.conns.retire(attempt.Address, c)
	}
	return err
}

func notSentProblem(err error) fleet.Problem {
	return fleet.NewProblem(fleet.Unreachable, fleet.NotRun, err.Error())
}

// monitor verifies a connection periodically while a request waits on it. If the peer does not respond, no new request is sent on the
// connection, and an idempotent request gives up its stream, so that it can run elsewhere before its deadline. Any other request goes
// on waiting: the peer may only be suspended, and its response is the only one that the request can get. monitor returns a function
// that stops the monitoring.
func (f *Forwarder) monitor(ctx context.Context, c *forwardConn, attempt fleet.Attempt, cancelStream context.CancelFunc) func() {
	var timer *time.Timer
	var mu sync.Mutex
	stopped := false
	check := func() {
		if f.seams.Now().Sub(c.lastResponse()) >= f.verifyInterval {
			verifyCtx, cancel := context.WithTimeout(ctx, f.verifyInterval)
			defer cancel()
			if f.sendControl(verifyCtx, c, attempt.Address, headerVerify, string(f.self)) != nil && ctx.Err() == nil {
				f.conns.retire(attempt.Address, c)
				if attempt.Idempotent {
					cancelStream()
				}
				return
			}
		}
		mu.Lock()
		defer mu.Unlock()
		if !stopped {
			timer.Reset(f.verifyInterval)
		}
	}
	mu.Lock()
	defer mu.Unlock()
	timer = time.AfterFunc(f.verifyInterval, f.seams.Recovery.Func("verify connection", check))
	return func() {
		mu.Lock()
		defer mu.Unlock()
		stopped = true
		timer.Stop()
	}
}

// verify checks with a request to the sidecar that the peer responds on this connection.
func (f *Forwarder) verify(ctx context.Context, c *forwardConn, address string, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return f.sendControl(ctx, c, address, headerVerify, string(f.self))
}

// cancelAttempt asks the sidecar to cancel an attempt, leaves it cancelTimeout to respond on the attempt's own stream and then
// cancels the stream.
func (f *Forwarder) cancelAttempt(c *forwardConn, attempt fleet.Attempt, cancelStream context.CancelFunc) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	_ = f.sendControl(ctx, c, attempt.Address, headerCancel, string(attempt.ID))
	<-ctx.Done()
	cancelStream()
}

// sendControl sends a request that is meant for the sidecar itself and not for a target.
func (f *Forwarder) sendControl(ctx context.Context, c *forwardConn, address, header, value string) error {
	request := &http.Request{
		Method: http.MethodGet,
		URL:    &url.URL{Scheme: "http", Host: address, Path: "/"},
		Header: http.Header{header: {value}},
	}
	response, err := c.conn.RoundTrip(request.WithContext(ctx))
	if err != nil {
		return err
	}
	c.recordResponse(f.seams.Now())
	return response.Body.Close()
}

// sidecarRequest returns the request to the sidecar. GetBody is not set, so that net/http cannot send the request twice.
func (f *Forwarder) sidecarRequest(ctx context.Context, forward effect.ForwardAttempt, r *http.Request, body []byte) *http.Request {
	attempt := forward.Attempt
	request := &http.Request{
		Method: r.Method,
		URL: &url.URL{
			Scheme: "http", Host: attempt.Address, Path: r.URL.Path, RawPath: r.URL.RawPath, RawQuery: r.URL.RawQuery,
			ForceQuery: r.URL.ForceQuery,
		},
		Host:          r.Host,
		Header:        r.Header.Clone(),
		Body:          io.NopCloser(bytes.NewReader(body)),
		ContentLength: int64(len(body)),
	}
	if len(body) == 0 {
		request.Body = http.NoBody
	}
	stripHeaders(request.Header)
	if forward.CrossZone && len(body) > 0 || len(body) > maxUnaskedBytes {
		// The body is sent only once the target is ready for it: most probes are refused when the fleet is busy.
		request.Header.Set("Expect", "100-continue")
	}
	wire := wireAttempt{Attempt: attempt.WithIngress(f.self), Revision: forward.Revision}
	encodeAttempt(request.Header, wire, f.seams.Now())
	return request.WithContext(ctx)
}

// checkResponse checks the headers of a sidecar's response and returns the results of Forward.
func (f *Forwarder) checkResponse(
	c *forwardConn, attempt fleet.Attempt, response *http.Response, endStream func(),
) (*http.Response, func() fleet.Option[fleet.TargetReport], error) {
	c.recordResponse(f.seams.Now())
	if response.Header.Get(headerEcho) != echoValue(attempt.ID) {
		endStream()
		_ = response.Body.Close()
		return nil, noReport, fleet.NewProblem(fleet.Broken, fleet.MayHaveRun, "the response belongs to another attempt")
	}
	if problem, refused := decodeProblem(response.Header); refused {
		report := decodeReport(response.Header)
		endStream()
		_ = response.Body.Close()
		f.postRevision(attempt, report)
		return nil, func() fleet.Option[fleet.TargetReport] { return report }, problem
	}
	body := &responseBody{response: response, body: response.Body, endStream: endStream}
	body.onComplete = func(report fleet.Option[fleet.TargetReport]) {
		c.recordResponse(f.seams.Now())
		f.postRevision(attempt, report)
	}
	response.Body = body
	if response.Request.Method == http.MethodHead {
		body.readTrailer(response.Header.Clone())
	}
	stripHeaders(response.Header)
	return response, body.targetReport, nil
}

func (f *Forwarder) postRevision(attempt fleet.Attempt, report fleet.Option[fleet.TargetReport]) {
	if r, ok := report.Get(); ok {
		f.seams.Post(event.PeerRevisionSeen{From: attempt.Node, Revision: r.Revision})
	}
}
