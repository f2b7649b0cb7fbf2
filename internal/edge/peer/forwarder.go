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
	// cancelWait is how long a canceled attempt waits for the sidecar to confirm that it had not started.
	cancelWait = 200 * time.Millisecond
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
	links *links
	// silent is how long a request waits before its connection is verified.
	silent time.Duration
}

// NewForwarder returns the forwarder of the given node, without any connection.
func NewForwarder(self fleet.NodeID, seams ForwarderSeams) *Forwarder {
	dial := seams.Dial
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	transport := &http.Transport{
		DialContext:        keepSocket(dial),
		DisableCompression: true,
		// A request that waits in a queue keeps its body back for all that time.
		ExpectContinueTimeout: continueTimeout,
		Protocols:             new(http.Protocols),
		// Pings of the library would go out on idle connections as well, which is most of them.
		HTTP2: &http.HTTP2Config{StrictMaxConcurrentRequests: true},
	}
	transport.Protocols.SetUnencryptedHTTP2(true)
	return &Forwarder{
		self:   self,
		seams:  seams,
		silent: silentAfter,
		links:  &links{transport: transport, now: seams.Now, open: make(map[string][]*link)},
	}
}

// Close closes all connections.
func (f *Forwarder) Close() { f.links.close() }

// Forward sends an attempt at the caller's request r with the given body. It returns the target's answer, whose body
// ends with an error when the answer is truncated, and the sidecar's report, which is complete once the body has
// ended. Errors are fleet.Problem. When ctx ends, the sidecar is asked to cancel the attempt.
func (f *Forwarder) Forward(
	ctx context.Context, forward effect.ForwardAttempt, r *http.Request, body []byte,
) (*http.Response, func() fleet.Option[fleet.TargetReport], error) {
	attempt := forward.Attempt
	l, err := f.connect(ctx, attempt, timeoutOf(forward.CrossZone))
	if err != nil {
		return nil, noReport, err
	}
	stream, cancel := context.WithDeadline(context.WithoutCancel(ctx), attempt.Deadline.Add(deadlineGrace))
	stop := context.AfterFunc(ctx, func() { f.cancel(l, attempt, cancel) })
	unwatch := f.watch(stream, l, attempt.Address)
	end := func() {
		stop()
		unwatch()
		cancel()
	}
	var written atomic.Bool
	outgoing := f.outgoing(traced(stream, &written), forward, r, body)
	response, err := l.conn.RoundTrip(outgoing)
	if err != nil {
		end()
		return nil, noReport, broken(err, written.Load())
	}
	return f.received(l, attempt, response, end)
}

func noReport() fleet.Option[fleet.TargetReport] { return fleet.Option[fleet.TargetReport]{} }

// traced records whether any part of the request may have been written.
func traced(ctx context.Context, written *atomic.Bool) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		WroteHeaderField: func(string, []string) { written.Store(true) },
	})
}

// broken returns the problem of a round trip without an answer.
func broken(err error, written bool) fleet.Problem {
	if !written || strings.Contains(err.Error(), goAwayText) {
		return fleet.NewProblem(fleet.Unreachable, fleet.NotRun, err.Error())
	}
	return fleet.NewProblem(fleet.Broken, fleet.MayHaveRun, err.Error())
}

// connect returns a connection on which the attempt can be sent. One that has not answered lately is verified first, and
// replaced where it has gone silent, so that no request is lost on it. A new one is verified by its opening, which takes a
// round trip; for a request that must not run twice the peer itself has to answer.
func (f *Forwarder) connect(ctx context.Context, attempt fleet.Attempt, timeout time.Duration) (*link, error) {
	l, err := f.links.reserve(ctx, attempt.Address, timeout)
	if err != nil {
		return nil, notSent(err)
	}
	if err = f.ready(ctx, l, attempt, timeout); err == nil {
		return l, nil
	}
	if !l.proven.Load() {
		return nil, notSent(err)
	}
	if l, err = f.links.dial(ctx, attempt.Address, timeout); err != nil {
		return nil, notSent(err)
	}
	if err = f.ready(ctx, l, attempt, timeout); err != nil {
		return nil, notSent(err)
	}
	return l, nil
}

// ready verifies a connection for an attempt where that is needed. One that does not answer takes no further requests.
func (f *Forwarder) ready(ctx context.Context, l *link, attempt fleet.Attempt, timeout time.Duration) error {
	if l.usable(f.seams.Now(), attempt.Idempotent) {
		return nil
	}
	err := f.verify(ctx, l, attempt.Address, timeout)
	if err != nil {
		f.links.retire(attempt.Address, l)
	}
	return err
}

func notSent(err error) fleet.Problem {
	return fleet.NewProblem(fleet.Unreachable, fleet.NotRun, err.Error())
}

// watch verifies a connection while a request waits on it for long, and closes it when it has gone silent, so that the
// request does not wait for its deadline. It returns the function that ends the watch.
func (f *Forwarder) watch(ctx context.Context, l *link, address string) func() {
	var timer *time.Timer
	var mu sync.Mutex
	check := func() {
		if f.seams.Now().Sub(l.lastAnswer()) >= f.silent {
			asked, cancel := context.WithTimeout(ctx, f.silent)
			defer cancel()
			if f.control(asked, l, address, headerVerify, string(f.self)) != nil && ctx.Err() == nil {
				f.links.drop(address, l)
				return
			}
		}
		mu.Lock()
		defer mu.Unlock()
		timer.Reset(f.silent)
	}
	mu.Lock()
	defer mu.Unlock()
	timer = time.AfterFunc(f.silent, check)
	return func() {
		mu.Lock()
		defer mu.Unlock()
		timer.Stop()
	}
}

// verify asks the peer for a sign of life on this very connection.
func (f *Forwarder) verify(ctx context.Context, l *link, address string, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return f.control(ctx, l, address, headerVerify, string(f.self))
}

// cancel asks the sidecar to cancel an attempt, waits for its answer on the attempt's own stream and then ends that.
func (f *Forwarder) cancel(l *link, attempt fleet.Attempt, end context.CancelFunc) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelWait)
	defer cancel()
	_ = f.control(ctx, l, attempt.Address, headerCancel, string(attempt.ID))
	<-ctx.Done()
	end()
}

// control sends a request to the sidecar itself.
func (f *Forwarder) control(ctx context.Context, l *link, address, header, value string) error {
	request := &http.Request{
		Method: http.MethodGet,
		URL:    &url.URL{Scheme: "http", Host: address, Path: "/"},
		Header: http.Header{header: {value}},
	}
	response, err := l.conn.RoundTrip(request.WithContext(ctx))
	if err != nil {
		return err
	}
	l.touch(f.seams.Now())
	return response.Body.Close()
}

// outgoing builds the request to the sidecar. It has no GetBody, so that no library can send it twice.
func (f *Forwarder) outgoing(ctx context.Context, forward effect.ForwardAttempt, r *http.Request, body []byte) *http.Request {
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

// received checks the head of an answer.
func (f *Forwarder) received(
	l *link, attempt fleet.Attempt, response *http.Response, end func(),
) (*http.Response, func() fleet.Option[fleet.TargetReport], error) {
	l.touch(f.seams.Now())
	if response.Header.Get(headerEcho) != echoOf(attempt.ID) {
		end()
		_ = response.Body.Close()
		return nil, noReport, fleet.NewProblem(fleet.Broken, fleet.MayHaveRun, "the answer names another attempt")
	}
	if problem, refused := decodeProblem(response.Header); refused {
		report := decodeReport(response.Header)
		end()
		_ = response.Body.Close()
		f.seen(attempt, report)
		return nil, func() fleet.Option[fleet.TargetReport] { return report }, problem
	}
	answer := &answerBody{response: response, body: response.Body, end: end}
	answer.ended = func(report fleet.Option[fleet.TargetReport]) {
		l.touch(f.seams.Now())
		f.seen(attempt, report)
	}
	response.Body = answer
	if response.Request.Method == http.MethodHead {
		answer.finish(response.Header.Clone())
	}
	stripHeaders(response.Header)
	return response, answer.reported, nil
}

func (f *Forwarder) seen(attempt fleet.Attempt, report fleet.Option[fleet.TargetReport]) {
	if r, ok := report.Get(); ok {
		f.seams.Post(event.PeerRevisionSeen{From: attempt.Node, Revision: r.Revision})
	}
}
