package peer

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/event"
	"jayfold.dev/jayfold/internal/core/fleet"
)

// silencingProxy is a TCP proxy that can stop forwarding on its open connections, without closing them, while new connections
// work.
type silencingProxy struct {
	address string
	mu      sync.Mutex
	// silent is the flag that the connections accepted since the last call of silenceOpen share.
	silent *atomic.Bool
	dials  int
	// paused holds back all bytes while it is locked.
	paused sync.RWMutex
}

func newSilencingProxy(t *testing.T, to string) *silencingProxy {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = listener.Close() })
	s := &silencingProxy{address: listener.Addr().String(), silent: new(atomic.Bool)}
	go func() {
		for {
			in, err := listener.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", to)
			if err != nil {
				return
			}
			silent := s.connAccepted()
			go s.pipe(in, out, silent)
			go s.pipe(out, in, silent)
		}
	}()
	return s
}

// connAccepted counts an accepted connection and returns its flag.
func (s *silencingProxy) connAccepted() *atomic.Bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dials++
	return s.silent
}

// silenceOpen permanently stops forwarding on the connections that are open.
func (s *silencingProxy) silenceOpen() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent.Store(true)
	s.silent = new(atomic.Bool)
}

// pause holds back all bytes for the given time.
func (s *silencingProxy) pause(d time.Duration) {
	s.paused.Lock()
	time.AfterFunc(d, s.paused.Unlock)
}

func (s *silencingProxy) pipe(from, to net.Conn, silent *atomic.Bool) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil && !silent.Load() {
			_ = to.Close()
		}
		if err != nil {
			return
		}
		s.paused.RLock()
		if !silent.Load() {
			_, _ = to.Write(buffer[:n])
		}
		s.paused.RUnlock()
	}
}

// TestOrderAvoidsSilentConnection guards against an order that is lost on a connection that went silent while it was idle.
func TestOrderAvoidsSilentConnection(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	proxy := newSilencingProxy(t, h.address)
	attempt := h.attempt()
	attempt.Address = proxy.address
	assertComplete(t, h.send(t.Context(), attempt, http.MethodPost, "1"), http.StatusOK, "hello")
	proxy.silenceOpen()
	time.Sleep(verificationTTL + 50*time.Millisecond)
	attempt.ID, attempt.Deadline = "r.2", time.Now().Add(2*time.Second)
	assertComplete(t, h.send(t.Context(), attempt, http.MethodPost, "1"), http.StatusOK, "hello")
	is.Equal(proxy.dials, 2)
}

// TestSlowVerificationKeepsRunningRequests guards against requests that are aborted because the verification of their connection
// for another request timed out.
func TestSlowVerificationKeepsRunningRequests(t *testing.T) {
	h := newHarness(t)
	proxy := newSilencingProxy(t, h.address)
	h.target = func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			time.Sleep(verificationTTL + 4*ownZoneTimeout)
		}
		_, _ = io.WriteString(w, "hello")
	}
	attempt := func(id fleet.AttemptID) fleet.Attempt {
		a := h.attempt()
		a.ID, a.Address, a.Deadline = id, proxy.address, time.Now().Add(5*time.Second)
		return a
	}
	// The first request opens the connection and completes before the others are sent.
	assertComplete(t, h.send(t.Context(), attempt("r.1"), http.MethodGet, ""), http.StatusOK, "hello")
	slow := make(chan forwardResult, 1)
	go func() { slow <- h.send(t.Context(), attempt("r.2"), http.MethodPost, "1") }()
	time.Sleep(verificationTTL + 50*time.Millisecond)
	proxy.pause(ownZoneTimeout + 50*time.Millisecond)
	assertComplete(t, h.send(t.Context(), attempt("r.3"), http.MethodGet, ""), http.StatusOK, "hello")
	assertComplete(t, <-slow, http.StatusOK, "hello")
}

// TestOrderOnConnectionThatFallsSilent guards against the verdict NotRun for an order, or a retry by net/http, when the
// connection goes silent after it was verified.
func TestOrderOnConnectionThatFallsSilent(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	proxy := newSilencingProxy(t, h.address)
	attempt := h.attempt()
	attempt.Address = proxy.address
	assertComplete(t, h.send(t.Context(), attempt, http.MethodPost, "1"), http.StatusOK, "hello")
	proxy.silenceOpen()
	attempt.ID, attempt.Deadline = "r.2", time.Now().Add(200*time.Millisecond)
	assertProblem(t, h.send(t.Context(), attempt, http.MethodPost, "1").err, fleet.Broken, fleet.MayHaveRun)
	is.Equal(proxy.dials, 1)
}

// TestConnectionIsVerifiedWhileARequestWaits guards against an idempotent request that waits until its deadline on a connection that has
// gone silent, although it could run elsewhere, and against one that is aborted because its target is slow.
func TestConnectionIsVerifiedWhileARequestWaits(t *testing.T) {
	for name, silent := range map[string]bool{"silent": true, "slow": false} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.forwarder.verifyInterval = 50 * time.Millisecond
			proxy := newSilencingProxy(t, h.address)
			running := make(chan struct{})
			h.target = func(w http.ResponseWriter, _ *http.Request) {
				close(running)
				time.Sleep(300 * time.Millisecond)
				_, _ = io.WriteString(w, "hello")
			}
			if silent {
				go func() {
					<-running
					proxy.silenceOpen()
				}()
			}
			attempt := h.attempt()
			attempt.Address, attempt.Deadline = proxy.address, time.Now().Add(10*time.Second)
			attempt.Idempotent = true
			started := time.Now()
			got := h.send(t.Context(), attempt, http.MethodGet, "")
			if !silent {
				assertComplete(t, got, http.StatusOK, "hello")
				return
			}
			assertProblem(t, got.err, fleet.Broken, fleet.MayHaveRun)
			is.New(t).True(time.Since(started) < 5*time.Second)
		})
	}
}

// TestOrderOutlastsSilence guards against an order that is given up because the node that runs it was suspended or cut off for a short
// time. It must not run elsewhere, so that the response which the node sends afterwards is the only one that it can get.
func TestOrderOutlastsSilence(t *testing.T) {
	h := newHarness(t)
	h.forwarder.verifyInterval = 50 * time.Millisecond
	proxy := newSilencingProxy(t, h.address)
	h.target = func(w http.ResponseWriter, _ *http.Request) {
		proxy.pause(time.Second)
		_, _ = io.WriteString(w, "hello")
	}
	attempt := h.attempt()
	attempt.Address, attempt.Deadline = proxy.address, time.Now().Add(10*time.Second)
	assertComplete(t, h.send(t.Context(), attempt, http.MethodPost, "1"), http.StatusOK, "hello")
}

// TestLibraryNeverSendsTwice guards against a retry by net/http when the connection breaks.
func TestLibraryNeverSendsTwice(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		t.Run(method, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t)
			var received atomic.Int32
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			server := &http.Server{Protocols: new(http.Protocols)}
			server.Protocols.SetUnencryptedHTTP2(true)
			server.Handler = http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				if r.Header.Get(headerAttempt) != "" {
					received.Add(1)
					_ = server.Close()
				}
			})
			go func() { _ = server.Serve(listener) }()
			attempt := h.attempt()
			attempt.Address, attempt.Key = listener.Addr().String(), "key"
			assertProblem(t, h.send(t.Context(), attempt, method, "1").err, fleet.Broken, fleet.MayHaveRun)
			is.Equal(received.Load(), int32(1))
		})
	}
}

// TestGracefulStopOfThePeer guards against orders that are aborted, or that get the verdict MayHaveRun, because of a graceful
// shutdown of the sidecar's node.
func TestGracefulStopOfThePeer(t *testing.T) {
	h := newHarness(t)
	h.target = func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(20 * time.Millisecond)
		_, _ = io.WriteString(w, "hello")
	}
	var group sync.WaitGroup
	for i := range 50 {
		group.Go(func() {
			time.Sleep(time.Duration(i) * 2 * time.Millisecond)
			attempt := h.attempt()
			attempt.ID = fleet.NewAttemptID(fleet.RequestID(rune('A'+i)), 1)
			got := h.send(t.Context(), attempt, http.MethodPost, "1")
			if got.err != nil {
				assertProblem(t, got.err, fleet.Unreachable, fleet.NotRun)
				return
			}
			assertComplete(t, got, http.StatusOK, "hello")
		})
	}
	time.Sleep(50 * time.Millisecond)
	is.New(t).NoErr(h.server.Shutdown(t.Context()))
	group.Wait()
}

// sendAndCancel forwards an order and cancels its context as soon as started receives a value.
func (h *harness) sendAndCancel(t *testing.T, started <-chan struct{}) forwardResult {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() {
		<-started
		cancel()
	}()
	return h.send(ctx, h.attempt(), http.MethodPost, "1")
}

// TestCancel guards against the verdict MayHaveRun for canceled orders that did not start, and against NotRun for those that did.
func TestCancel(t *testing.T) {
	t.Run("before the start", func(t *testing.T) {
		h := newHarness(t)
		queued := make(chan struct{}, 1)
		h.decide = func(s *Sidecar, body event.Body) {
			switch body := body.(type) {
			case event.AdmissionRequested:
				queued <- struct{}{}
			case event.AdmissionCanceled:
				problem := fleet.NewProblem(fleet.Canceled, fleet.NotRun, "not started")
				s.RefuseAttempt(effect.RefuseAttempt{Attempt: body.Attempt, Problem: problem, Report: testReport})
			}
		}
		assertProblem(t, h.sendAndCancel(t, queued).err, fleet.Canceled, fleet.NotRun)
	})
	t.Run("while running", func(t *testing.T) {
		h := newHarness(t)
		running := make(chan struct{}, 1)
		h.target = func(_ http.ResponseWriter, r *http.Request) {
			// net/http detects the end of the client's connection only once the body has been read.
			_, _ = io.Copy(io.Discard, r.Body)
			running <- struct{}{}
			<-r.Context().Done()
		}
		h.decide = func(s *Sidecar, body event.Body) {
			if canceled, ok := body.(event.AdmissionCanceled); ok {
				s.CancelRun(effect.CancelRun{Attempt: canceled.Attempt})
			}
			admitAll(s, body)
		}
		assertProblem(t, h.sendAndCancel(t, running).err, fleet.Canceled, fleet.MayHaveRun)
		assertProblem(t, h.waitForOutcome(t).Problem.Or(fleet.Problem{}), fleet.Canceled, fleet.MayHaveRun)
	})
	t.Run("without a response of the sidecar", func(t *testing.T) {
		h := newHarness(t)
		queued := make(chan struct{}, 1)
		h.decide = func(_ *Sidecar, body event.Body) {
			if _, ok := body.(event.AdmissionRequested); ok {
				queued <- struct{}{}
			}
		}
		assertProblem(t, h.sendAndCancel(t, queued).err, fleet.Broken, fleet.MayHaveRun)
	})
	t.Run("before a late StartRun", func(t *testing.T) {
		h := newHarness(t)
		h.sidecar.StartRun(effect.StartRun{Attempt: h.attempt()})
		assertProblem(t, h.waitForOutcome(t).Problem.Or(fleet.Problem{}), fleet.Canceled, fleet.NotRun)
	})
}

// TestDuplicateAttempt guards against a second copy of an attempt that runs or is reported as NotRun.
func TestDuplicateAttempt(t *testing.T) {
	h := newHarness(t)
	running := make(chan struct{})
	release := make(chan struct{})
	h.target = func(w http.ResponseWriter, _ *http.Request) {
		close(running)
		<-release
		_, _ = io.WriteString(w, "hello")
	}
	first := make(chan forwardResult, 1)
	go func() { first <- h.send(t.Context(), h.attempt(), http.MethodPost, "1") }()
	<-running
	assertProblem(t, h.send(t.Context(), h.attempt(), http.MethodPost, "1").err, fleet.Duplicate, fleet.MayHaveRun)
	close(release)
	assertComplete(t, <-first, http.StatusOK, "hello")
}

// TestMalformedAttempt guards against malformed attempts that reach the reducer.
func TestMalformedAttempt(t *testing.T) {
	const attemptHeader, targetHeader = "r.1 250 100 1000 00000000000000ff", "b/t p a Order false 3 7"
	long := strings.Repeat("t", maxNameBytes+1)
	for name, headers := range map[string]http.Header{
		"no attempt":         {headerTarget: {targetHeader}},
		"no target":          {headerAttempt: {attemptHeader}},
		"two attempts":       {headerAttempt: {attemptHeader, attemptHeader}, headerTarget: {targetHeader}},
		"a field too few":    {headerAttempt: {attemptHeader}, headerTarget: {"b/t p a Order false 3"}},
		"a field too many":   {headerAttempt: {attemptHeader + " 1"}, headerTarget: {targetHeader}},
		"id empty":           {headerAttempt: {" 250 100 1000 ff"}, headerTarget: {targetHeader}},
		"id without number":  {headerAttempt: {"r 250 100 1000 ff"}, headerTarget: {targetHeader}},
		"budget negative":    {headerAttempt: {"r.1 -1 100 1000 ff"}, headerTarget: {targetHeader}},
		"goal not a number":  {headerAttempt: {"r.1 250 soon 1000 ff"}, headerTarget: {targetHeader}},
		"baseline too long":  {headerAttempt: {"r.1 250 100 99999999999999 ff"}, headerTarget: {targetHeader}},
		"fingerprint no hex": {headerAttempt: {"r.1 250 100 1000 xyz"}, headerTarget: {targetHeader}},
		"target too long":    {headerAttempt: {attemptHeader}, headerTarget: {long + " p a Order false 3 7"}},
		"pool empty":         {headerAttempt: {attemptHeader}, headerTarget: {"b/t  a Order false 3 7"}},
		"pool not escaped":   {headerAttempt: {attemptHeader}, headerTarget: {"b/t %zz a Order false 3 7"}},
		"sender empty":       {headerAttempt: {attemptHeader}, headerTarget: {"b/t p  Order false 3 7"}},
		"class unknown":      {headerAttempt: {attemptHeader}, headerTarget: {"b/t p a Best false 3 7"}},
		"idempotent unknown": {headerAttempt: {attemptHeader}, headerTarget: {"b/t p a Order maybe 3 7"}},
		"priority negative":  {headerAttempt: {attemptHeader}, headerTarget: {"b/t p a Order false -3 7"}},
		"revision broken":    {headerAttempt: {attemptHeader}, headerTarget: {"b/t p a Order false 3 1.5"}},
		"caller too long":    {headerAttempt: {attemptHeader}, headerTarget: {targetHeader}, headerCaller: {long}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t)
			r := httptest.NewRequest(http.MethodPost, "/", nil)
			r.Header = headers
			recorder := httptest.NewRecorder()
			h.sidecar.ServeHTTP(recorder, r)
			is.Equal(recorder.Code, http.StatusBadRequest)
			is.Equal(recorder.Header().Get(headerVerdict), "NotRun")
			is.Equal(len(h.events), 0)
		})
	}
}

// FuzzDecodeAttempt guards against headers that crash the decoder, and against attempts that change when they are encoded again.
func FuzzDecodeAttempt(f *testing.F) {
	f.Add("r.1 250 100 1000 00000000000000ff", "b/t p a Order false 3 7", "acme", "key", "forced probe")
	f.Add("r.1 250 - 1000 ff", "b/a%20b %E2%82%AC a Lookup true 0 0", "", "", "")
	f.Add("   - ", "-1 1e9 g no \x00 \xff 18446744073709551616", "", "", "")
	f.Fuzz(func(t *testing.T, attemptHeader, targetHeader, caller, key, mode string) {
		now := time.Unix(1_800_000_000, 0)
		header := http.Header{
			headerAttempt: {attemptHeader}, headerTarget: {targetHeader}, headerCaller: {caller}, headerKey: {key}, headerMode: {mode},
		}
		wire, err := decodeAttempt(header, now)
		if err != nil {
			return
		}
		again := http.Header{}
		encodeAttempt(again, wire, now)
		decoded, err := decodeAttempt(again, now)
		if err != nil || decoded != wire {
			t.Fatalf("%+v became %+v (%v)", wire, decoded, err)
		}
	})
}

// FuzzNames guards against names that a packed header cannot carry.
func FuzzNames(f *testing.F) {
	f.Add("node", "a target", "pool/one")
	f.Add("%2F", "ü", "\n")
	f.Fuzz(func(t *testing.T, node, target, pool string) {
		if node == "" || target == "" || pool == "" || max(len(node)+len(target)+1, len(pool)) > maxNameBytes {
			return
		}
		wire := wireAttempt{Attempt: fleet.Attempt{Ingress: fleet.NodeID(node)}}
		wire.Attempt.ID, wire.Attempt.Pool = "r.1", fleet.PoolName(pool)
		wire.Attempt.Target = fleet.NewTargetID(fleet.NodeID(node), target)
		header := http.Header{}
		encodeAttempt(header, wire, time.Unix(1_800_000_000, 0))
		decoded, err := decodeAttempt(header, time.Unix(1_800_000_000, 0))
		if err != nil || decoded.Attempt.Target != wire.Attempt.Target || decoded.Attempt.Pool != wire.Attempt.Pool ||
			decoded.Attempt.Ingress != wire.Attempt.Ingress {
			t.Fatalf("%+v became %+v (%v)", wire, decoded, err)
		}
	})
}

// gatedConn is a connection whose reads return only once the gate is unlocked.
type gatedConn struct {
	*net.TCPConn
	gate *sync.RWMutex
}

func (c gatedConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	c.gate.RLock()
	defer c.gate.RUnlock()
	return n, err
}

// TestForwardAvoidsEndedConnection guards against an order that is lost on a connection to a node that has just died: the end of
// the connection has arrived, but this process has not read it yet. The caller then received 502 MayHaveRun for an order that
// another node could have served.
func TestForwardAvoidsEndedConnection(t *testing.T) {
	h := newHarness(t)
	var gate sync.RWMutex
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		var dialer net.Dialer
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return gatedConn{conn.(*net.TCPConn), &gate}, nil
	}
	h.forwarder = NewForwarder("a", ForwarderSeams{Now: time.Now, Post: h.post, Dial: dial})
	t.Cleanup(h.forwarder.Close)
	attempt := h.attempt()
	assertComplete(t, h.send(t.Context(), attempt, http.MethodPost, "1"), http.StatusOK, "hello")

	gate.Lock()
	defer gate.Unlock()
	is.New(t).NoErr(h.server.Close())
	attempt.ID, attempt.Deadline = "r.2", time.Now().Add(time.Second)
	assertProblem(t, h.send(t.Context(), attempt, http.MethodPost, "1").err, fleet.Unreachable, fleet.NotRun)
}

// TestOrderNeedsRespondingPeer guards against an order that is lost on a new connection to a node that hangs or has died: its
// operating system, or a proxy in front of it, still accepts connections.
func TestOrderNeedsRespondingPeer(t *testing.T) {
	for name, handle := range map[string]func(net.Conn){
		"hangs":  func(net.Conn) {},
		"closes": func(conn net.Conn) { time.AfterFunc(time.Millisecond, func() { _ = conn.Close() }) },
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			attempt := h.attempt()
			attempt.Address = listenSilently(t, handle)
			attempt.Deadline = time.Now().Add(time.Second)
			assertProblem(t, h.send(t.Context(), attempt, http.MethodPost, "1").err, fleet.Unreachable, fleet.NotRun)
		})
	}
}

// listenSilently returns the address of a listener that passes its connections to a function and never responds.
func listenSilently(t *testing.T, handle func(net.Conn)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			handle(conn)
		}
	}()
	return listener.Addr().String()
}

// TestMonitorStopsDuringCheck guards against the timer of a request that ends while its connection is being checked, which then fires
// until the process ends.
func TestMonitorStopsDuringCheck(t *testing.T) {
	var checks atomic.Int64
	checking, proceed := make(chan struct{}), make(chan struct{})
	started := time.Now()
	f := NewForwarder("a", ForwarderSeams{Now: func() time.Time {
		if checks.Add(1) == 1 {
			close(checking)
			<-proceed
		}
		return started
	}})
	defer f.Close()
	f.verifyInterval = 5 * time.Millisecond
	c := &forwardConn{}
	c.lastResponseNanos.Store(started.UnixNano())
	stop := f.monitor(t.Context(), c, fleet.Attempt{Address: "b"}, func() {})
	<-checking
	stop()
	close(proceed)
	time.Sleep(10 * f.verifyInterval)
	is.New(t).Equal(checks.Load(), int64(1))
}
