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
)

const (
	// cancelTimeout is how long a canceled attempt waits for the sidecar to confirm that it had not started.
	cancelTimeout = 200 * time.Millisecond
	// deadlineGrace lets the sidecar's own refusal at the deadline arrive.
	deadlineGrace = 250 * time.Millisecond
	// continueTimeout is the longest deadline of a route.
	continueTimeout = time.Minute
	// goAwayText is the error of a stream above the last stream id of a GOAWAY frame, which the peer never processed
	// (RFC 9113, section 6.8). net/http exports no error value for it.
	goAwayText = "received Server's graceful shutdown GOAWAY"
)

// ForwarderSeams are what a Forwarder needs from outside.
type ForwarderSeams struct {
	Now  func() time.Time
	Post func(event.Body)
	// Dial opens a TCP connection; nil means net.Dialer.
	Dial dialFunc
}

// Forwarder sends attempts to the sidecars of other nodes.
type Forwarder struct {
	self  fleet.NodeID
	seams ForwarderSeams
	conns *connPool
	// verifyInterval is how long a request waits before its connection is verified.
	verifyInterval time.Duration
}

// NewForwarder returns the forwarder of the given node, without any connection.
func NewForwarder(self fleet.NodeID, seams ForwarderSeams) *Forwarder {
	dial := seams.Dial
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	transport := &http.Transport{
		DialContext:        captureSocket(dial),
		DisableCompression: true,
		// A request that waits in a queue keeps its body back for all that time.
		ExpectContinueTimeout: continueTimeout,
		Protocols:             new(http.Protocols),
		// Pings of the library would go out on idle connections as well, which is most of them.
		HTTP2: &http.HTTP2Config{StrictMaxConcurrentRequests: true},
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

// Forward sends an attempt at the caller's request r with the given body. It returns the target's answer, whose body
// ends with an error when the answer is truncated, and the sidecar's report, which is complete once the body has
// ended. Errors are fleet.Problem. When ctx ends, the sidecar is asked to cancel the attempt.
func (f *Forwarder) Forward(
	ctx context.Context, forward effect.ForwardAttempt, r *http.Request, body []byte,
) (*http.Response, func() fleet.Option[fleet.TargetReport], error) {
	attempt := forward.Attempt
	l, err := f.connect(ctx, attempt, roundTripTimeout(forward.CrossZone))
	if err != nil {
		return nil, noReport, err
	}
	stream, cancel := context.WithDeadline(context.WithoutCancel(ctx), attempt.Deadline.Add(deadlineGrace))
	stop := context.AfterFunc(ctx, func() { f.cancelAttempt(l, attempt, cancel) })
	unwatch := f.monitor(stream, l, attempt.Address)
	end := func() {
		stop()
		unwatch()
		cancel()
	}
	var written atomic.Bool
	outgoing := f.sidecarRequest(withWriteTrace(stream, &written), forward, r, body)
	response, err := l.conn.RoundTrip(outgoing)
	if err != nil {
		end()
		return nil, noReport, roundTripProblem(err, written.Load())
	}
	return f.checkResponse(l, attempt, response, end)
}

func noReport() fleet.Option[fleet.TargetReport] { return fleet.Option[fleet.TargetReport]{} }

// withWriteTrace records whether any part of the request may have been written.
func withWriteTrace(ctx context.Context, written *atomic.Bool) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		WroteHeaderField: func(string, []string) { written.Store(true) },
	})
}

// roundTripProblem returns the problem of a round trip without an answer.
func roundTripProblem(err error, written bool) fleet.Problem {
	if !written || strings.Contains(err.Error(), goAwayText) {
		return fleet.NewProblem(fleet.Unreachable, fleet.NotRun, err.Error())
	}
	return fleet.NewProblem(fleet.Broken, fleet.MayHaveRun, err.Error())
}

// connect returns a connection on which the attempt can be sent. One that has not answered lately is verified first, and
// replaced where it has gone silent, so that no request is lost on it. A new one is verified by its opening, which takes a
// round trip; for a request that must not run twice the peer itself has to answer.
func (f *Forwarder) connect(ctx context.Context, attempt fleet.Attempt, timeout time.Duration) (*forwardConn, error) {
	l, err := f.conns.reserve(ctx, attempt.Address, timeout)
	if err != nil {
		return nil, notSentProblem(err)
	}
	if err = f.ensureVerified(ctx, l, attempt, timeout); err == nil {
		return l, nil
	}
	if !l.hasResponded.Load() {
		return nil, notSentProblem(err)
	}
	if l, err = f.conns.dial(ctx, attempt.Address, timeout); err != nil {
		return nil, notSentProblem(err)
	}
	if err = f.ensureVerified(ctx, l, attempt, timeout); err != nil {
		return nil, notSentProblem(err)
	}
	return l, nil
}

// ensureVerified verifies a connection for an attempt where that is needed. One that does not answer takes no further requests.
func (f *Forwarder) ensureVerified(ctx context.Context, l *forwardConn, attempt fleet.Attempt, timeout time.Duration) error {
	if l.canSkipVerification(f.seams.Now(), attempt.Idempotent) {
		return nil
	}
	err := f.verify(ctx, l, attempt.Address, timeout)
	if err != nil {
		f.conns.retire(attempt.Address, l)
	}
	return err
}

func notSentProblem(err error) fleet.Problem {
	return fleet.NewProblem(fleet.Unreachable, fleet.NotRun, err.Error())
}

// monitor verifies a connection while a request waits on it for long, and closes it when it has gone silent, so that the
// request does not wait for its deadline. It returns the function that ends the monitor.
func (f *Forwarder) monitor(ctx context.Context, l *forwardConn, address string) func() {
	var timer *time.Timer
	var mu sync.Mutex
	check := func() {
		if f.seams.Now().Sub(l.lastResponse()) >= f.verifyInterval {
			asked, cancel := context.WithTimeout(ctx, f.verifyInterval)
			defer cancel()
			if f.sendControl(asked, l, address, headerVerify, string(f.self)) != nil && ctx.Err() == nil {
				f.conns.drop(address, l)
				return
			}
		}
		mu.Lock()
		defer mu.Unlock()
		timer.Reset(f.verifyInterval)
	}
	mu.Lock()
	defer mu.Unlock()
	timer = time.AfterFunc(f.verifyInterval, check)
	return func() {
		mu.Lock()
		defer mu.Unlock()
		timer.Stop()
	}
}

// verify asks the peer for a sign of life on this very connection.
func (f *Forwarder) verify(ctx context.Context, l *forwardConn, address string, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return f.sendControl(ctx, l, address, headerVerify, string(f.self))
}

// cancelAttempt asks the sidecar to cancelAttempt an attempt, waits for its answer on the attempt's own stream and then ends that.
func (f *Forwarder) cancelAttempt(l *forwardConn, attempt fleet.Attempt, end context.CancelFunc) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	_ = f.sendControl(ctx, l, attempt.Address, headerCancel, string(attempt.ID))
	<-ctx.Done()
	end()
}

// sendControl sends a request to the sidecar itself.
func (f *Forwarder) sendControl(ctx context.Context, l *forwardConn, address, header, value string) error {
	request := &http.Request{
		Method: http.MethodGet,
		URL:    &url.URL{Scheme: "http", Host: address, Path: "/"},
		Header: http.Header{header: {value}},
	}
	response, err := l.conn.RoundTrip(request.WithContext(ctx))
	if err != nil {
		return err
	}
	l.recordResponse(f.seams.Now())
	return response.Body.Close()
}

// sidecarRequest builds the request to the sidecar. It has no GetBody, so that no library can send it twice.
func (f *Forwarder) sidecarRequest(ctx context.Context, forward effect.ForwardAttempt, r *http.Request, body []byte) *http.Request {
	attempt := forward.Attempt
	request := &http.Request{
		Method:        r.Method,
		URL:           &url.URL{Scheme: "http", Host: attempt.Address, Path: r.URL.Path, RawPath: r.URL.RawPath, RawQuery: r.URL.RawQuery},
		Host:          r.Host,
		Header:        r.Header.Clone(),
		Body:          io.NopCloser(bytes.NewReader(body)),
		ContentLength: int64(len(body)),
	}
	if len(body) == 0 {
		request.Body = http.NoBody
	}
	stripHeaders(request.Header)
	if forward.CrossZone && len(body) > 0 {
		// The body goes out once the target is ready for it. Most probes of a busy fleet are refused.
		request.Header.Set("Expect", "100-continue")
	}
	wire := wireAttempt{Attempt: attempt, From: f.self, Revision: forward.Revision}
	encodeAttempt(request.Header, wire, f.seams.Now())
	return request.WithContext(ctx)
}

// checkResponse checks the head of an answer.
func (f *Forwarder) checkResponse(
	l *forwardConn, attempt fleet.Attempt, response *http.Response, end func(),
) (*http.Response, func() fleet.Option[fleet.TargetReport], error) {
	l.recordResponse(f.seams.Now())
	if response.Header.Get(headerEcho) != echoValue(attempt.ID) {
		end()
		_ = response.Body.Close()
		return nil, noReport, fleet.NewProblem(fleet.Broken, fleet.MayHaveRun, "the answer names another attempt")
	}
	if problem, refused := decodeProblem(response.Header); refused {
		report := decodeReport(response.Header)
		end()
		_ = response.Body.Close()
		f.postRevision(attempt, report)
		return nil, func() fleet.Option[fleet.TargetReport] { return report }, problem
	}
	answer := &responseBody{response: response, body: response.Body, endStream: end}
	answer.onComplete = func(report fleet.Option[fleet.TargetReport]) {
		l.recordResponse(f.seams.Now())
		f.postRevision(attempt, report)
	}
	response.Body = answer
	if response.Request.Method == http.MethodHead {
		answer.readTrailer(response.Header.Clone())
	}
	stripHeaders(response.Header)
	return response, answer.targetReport, nil
}

func (f *Forwarder) postRevision(attempt fleet.Attempt, report fleet.Option[fleet.TargetReport]) {
	if r, ok := report.Get(); ok {
		f.seams.Post(event.PeerRevisionSeen{From: attempt.Node, Revision: r.Revision})
	}
}
