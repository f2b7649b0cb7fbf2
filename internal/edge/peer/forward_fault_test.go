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

// silencingProxy is a TCP forwarder whose open connections can go silent for ever while new ones work.
type silencingProxy struct {
	address string
	mu      sync.Mutex
	silent  *atomic.Bool
	dials   int
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

func (s *silencingProxy) connAccepted() *atomic.Bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dials++
	return s.silent
}

// silenceOpen makes the open connections silent.
func (s *silencingProxy) silenceOpen() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent.Store(true)
	s.silent = new(atomic.Bool)
}

// pause holds back all bytes for a time.
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

// Guards against an order that is lost on a connection that went silent while nobody looked.
func TestOrderAvoidsSilentConnection(t *testing.T) {
	is := is.New(t)
	b := newHarness(t)
	through := newSilencingProxy(t, b.address)
	attempt := b.attempt()
	attempt.Address = through.address
	wantWhole(t, b.send(t.Context(), attempt, http.MethodPost, "1"), http.StatusOK, "hello")
	through.silenceOpen()
	time.Sleep(verificationTTL + 50*time.Millisecond)
	attempt.ID, attempt.Deadline = "r.2", time.Now().Add(2*time.Second)
	wantWhole(t, b.send(t.Context(), attempt, http.MethodPost, "1"), http.StatusOK, "hello")
	is.Equal(through.dials, 2)
}

// Guards against requests that are cut off because the connection that carries them was too slow to verify for another one.
func TestSlowVerificationKeepsRunningRequests(t *testing.T) {
	b := newHarness(t)
	through := newSilencingProxy(t, b.address)
	b.target = func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			time.Sleep(verificationTTL + 4*ownZoneTimeout)
		}
		_, _ = io.WriteString(w, "hello")
	}
	attempt := func(id fleet.AttemptID) fleet.Attempt {
		a := b.attempt()
		a.ID, a.Address, a.Deadline = id, through.address, time.Now().Add(5*time.Second)
		return a
	}
	// The connection is opened by a request that ends.
	wantWhole(t, b.send(t.Context(), attempt("r.1"), http.MethodGet, ""), http.StatusOK, "hello")
	slow := make(chan forwarded, 1)
	go func() { slow <- b.send(t.Context(), attempt("r.2"), http.MethodPost, "1") }()
	time.Sleep(verificationTTL + 50*time.Millisecond)
	through.pause(ownZoneTimeout + 50*time.Millisecond)
	wantWhole(t, b.send(t.Context(), attempt("r.3"), http.MethodGet, ""), http.StatusOK, "hello")
	wantWhole(t, <-slow, http.StatusOK, "hello")
}

// Guards against a claim that an order did not run, or a second try of the library, when the connection falls silent after
// it was verified.
func TestOrderOnConnectionThatFallsSilent(t *testing.T) {
	is := is.New(t)
	b := newHarness(t)
	through := newSilencingProxy(t, b.address)
	attempt := b.attempt()
	attempt.Address = through.address
	wantWhole(t, b.send(t.Context(), attempt, http.MethodPost, "1"), http.StatusOK, "hello")
	through.silenceOpen()
	attempt.ID, attempt.Deadline = "r.2", time.Now().Add(200*time.Millisecond)
	wantProblem(t, b.send(t.Context(), attempt, http.MethodPost, "1").err, fleet.Broken, fleet.MayHaveRun)
	is.Equal(through.dials, 1)
}

// Guards against a request that waits for its deadline on a connection that has fallen silent, and against one that is cut
// off because its target takes long.
func TestConnectionIsVerifiedWhileARequestWaits(t *testing.T) {
	for name, silent := range map[string]bool{"silent": true, "slow": false} {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t)
			b.forwarder.verifyInterval = 50 * time.Millisecond
			through := newSilencingProxy(t, b.address)
			running := make(chan struct{})
			b.target = func(w http.ResponseWriter, _ *http.Request) {
				close(running)
				time.Sleep(300 * time.Millisecond)
				_, _ = io.WriteString(w, "hello")
			}
			if silent {
				go func() {
					<-running
					through.silenceOpen()
				}()
			}
			attempt := b.attempt()
			attempt.Address, attempt.Deadline = through.address, time.Now().Add(10*time.Second)
			started := time.Now()
			got := b.send(t.Context(), attempt, http.MethodGet, "")
			if !silent {
				wantWhole(t, got, http.StatusOK, "hello")
				return
			}
			wantProblem(t, got.err, fleet.Broken, fleet.MayHaveRun)
			is.New(t).True(time.Since(started) < 5*time.Second)
		})
	}
}

// Guards against net/http sending a request again by itself when its connection breaks.
func TestLibraryNeverSendsTwice(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		t.Run(method, func(t *testing.T) {
			is := is.New(t)
			b := newHarness(t)
			var asked atomic.Int32
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			server := &http.Server{Protocols: new(http.Protocols)}
			server.Protocols.SetUnencryptedHTTP2(true)
			server.Handler = http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				if r.Header.Get(headerAttempt) != "" {
					asked.Add(1)
					_ = server.Close()
				}
			})
			go func() { _ = server.Serve(listener) }()
			attempt := b.attempt()
			attempt.Address, attempt.Key = listener.Addr().String(), "key"
			wantProblem(t, b.send(t.Context(), attempt, method, "1").err, fleet.Broken, fleet.MayHaveRun)
			is.Equal(asked.Load(), int32(1))
		})
	}
}

// Guards against orders that a graceful stop of the sidecar's node interrupts or leaves in doubt.
func TestGracefulStopOfThePeer(t *testing.T) {
	b := newHarness(t)
	b.target = func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(20 * time.Millisecond)
		_, _ = io.WriteString(w, "hello")
	}
	var group sync.WaitGroup
	for i := range 50 {
		group.Go(func() {
			time.Sleep(time.Duration(i) * 2 * time.Millisecond)
			attempt := b.attempt()
			attempt.ID = fleet.NewAttemptID(fleet.RequestID(rune('A'+i)), 1)
			got := b.send(t.Context(), attempt, http.MethodPost, "1")
			if got.err != nil {
				wantProblem(t, got.err, fleet.Unreachable, fleet.NotRun)
				return
			}
			wantWhole(t, got, http.StatusOK, "hello")
		})
	}
	time.Sleep(50 * time.Millisecond)
	is.New(t).NoErr(b.server.Shutdown(t.Context()))
	group.Wait()
}

// sendAndCancel forwards an order whose context ends as soon as the sidecar has started on it.
func (b *harness) sendAndCancel(t *testing.T, started <-chan struct{}) forwarded {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() {
		<-started
		cancel()
	}()
	return b.send(ctx, b.attempt(), http.MethodPost, "1")
}

// Guards against orders in doubt although the sidecar knows that they did not start, and against the reverse.
func TestCancel(t *testing.T) {
	t.Run("before the start", func(t *testing.T) {
		b := newHarness(t)
		queued := make(chan struct{}, 1)
		b.decide = func(s *Sidecar, body event.Body) {
			switch body := body.(type) {
			case event.AdmissionRequested:
				queued <- struct{}{}
			case event.AdmissionCanceled:
				problem := fleet.NewProblem(fleet.Canceled, fleet.NotRun, "not started")
				s.RefuseAttempt(effect.RefuseAttempt{Attempt: body.Attempt, Problem: problem, Report: testReport})
			}
		}
		wantProblem(t, b.sendAndCancel(t, queued).err, fleet.Canceled, fleet.NotRun)
	})
	t.Run("while it runs", func(t *testing.T) {
		b := newHarness(t)
		running := make(chan struct{}, 1)
		b.target = func(_ http.ResponseWriter, r *http.Request) {
			// net/http notices that the other side is gone once the body is read.
			_, _ = io.Copy(io.Discard, r.Body)
			running <- struct{}{}
			<-r.Context().Done()
		}
		b.decide = func(s *Sidecar, body event.Body) {
			if canceled, ok := body.(event.AdmissionCanceled); ok {
				s.CancelRun(effect.CancelRun{Attempt: canceled.Attempt})
			}
			admitAll(s, body)
		}
		wantProblem(t, b.sendAndCancel(t, running).err, fleet.Canceled, fleet.MayHaveRun)
		wantProblem(t, b.waitForOutcome(t).Problem.Or(fleet.Problem{}), fleet.Canceled, fleet.MayHaveRun)
	})
	t.Run("without a word of the sidecar", func(t *testing.T) {
		b := newHarness(t)
		queued := make(chan struct{}, 1)
		b.decide = func(_ *Sidecar, body event.Body) {
			if _, ok := body.(event.AdmissionRequested); ok {
				queued <- struct{}{}
			}
		}
		wantProblem(t, b.sendAndCancel(t, queued).err, fleet.Broken, fleet.MayHaveRun)
	})
	t.Run("before a late Run", func(t *testing.T) {
		b := newHarness(t)
		b.sidecar.StartRun(effect.StartRun{Attempt: b.attempt()})
		wantProblem(t, b.waitForOutcome(t).Problem.Or(fleet.Problem{}), fleet.Canceled, fleet.NotRun)
	})
}

// Guards against a second copy of an attempt that runs, or that is told as not run.
func TestDuplicateAttempt(t *testing.T) {
	b := newHarness(t)
	running := make(chan struct{})
	release := make(chan struct{})
	b.target = func(w http.ResponseWriter, _ *http.Request) {
		close(running)
		<-release
		_, _ = io.WriteString(w, "hello")
	}
	first := make(chan forwarded, 1)
	go func() { first <- b.send(t.Context(), b.attempt(), http.MethodPost, "1") }()
	<-running
	wantProblem(t, b.send(t.Context(), b.attempt(), http.MethodPost, "1").err, fleet.Duplicate, fleet.MayHaveRun)
	close(release)
	wantWhole(t, <-first, http.StatusOK, "hello")
}

// Guards against malformed attempts that reach the reducer.
func TestMalformedAttempt(t *testing.T) {
	const own, shared = "r.1 250 100 1000 00000000000000ff", "b/t p a Order false 3 7"
	long := strings.Repeat("t", maxNameBytes+1)
	for name, headers := range map[string]http.Header{
		"no attempt":         {headerTarget: {shared}},
		"no target":          {headerAttempt: {own}},
		"two attempts":       {headerAttempt: {own, own}, headerTarget: {shared}},
		"a field too few":    {headerAttempt: {own}, headerTarget: {"b/t p a Order false 3"}},
		"a field too many":   {headerAttempt: {own + " 1"}, headerTarget: {shared}},
		"id empty":           {headerAttempt: {" 250 100 1000 ff"}, headerTarget: {shared}},
		"id without number":  {headerAttempt: {"r 250 100 1000 ff"}, headerTarget: {shared}},
		"budget negative":    {headerAttempt: {"r.1 -1 100 1000 ff"}, headerTarget: {shared}},
		"goal not a number":  {headerAttempt: {"r.1 250 soon 1000 ff"}, headerTarget: {shared}},
		"baseline too long":  {headerAttempt: {"r.1 250 100 99999999999999 ff"}, headerTarget: {shared}},
		"fingerprint no hex": {headerAttempt: {"r.1 250 100 1000 xyz"}, headerTarget: {shared}},
		"target too long":    {headerAttempt: {own}, headerTarget: {long + " p a Order false 3 7"}},
		"pool empty":         {headerAttempt: {own}, headerTarget: {"b/t  a Order false 3 7"}},
		"pool not escaped":   {headerAttempt: {own}, headerTarget: {"b/t %zz a Order false 3 7"}},
		"sender empty":       {headerAttempt: {own}, headerTarget: {"b/t p  Order false 3 7"}},
		"class unknown":      {headerAttempt: {own}, headerTarget: {"b/t p a Best false 3 7"}},
		"idempotent unknown": {headerAttempt: {own}, headerTarget: {"b/t p a Order maybe 3 7"}},
		"priority negative":  {headerAttempt: {own}, headerTarget: {"b/t p a Order false -3 7"}},
		"revision broken":    {headerAttempt: {own}, headerTarget: {"b/t p a Order false 3 1.5"}},
		"caller too long":    {headerAttempt: {own}, headerTarget: {shared}, headerCaller: {long}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newHarness(t)
			r := httptest.NewRequest(http.MethodPost, "/", nil)
			r.Header = headers
			recorder := httptest.NewRecorder()
			b.sidecar.ServeHTTP(recorder, r)
			is.Equal(recorder.Code, http.StatusBadRequest)
			is.Equal(recorder.Header().Get(headerVerdict), "NotRun")
			is.Equal(len(b.events), 0)
		})
	}
}

// FuzzDecodeAttempt guards against headers that crash the decoder, and against attempts that change on their way.
func FuzzDecodeAttempt(f *testing.F) {
	f.Add("r.1 250 100 1000 00000000000000ff", "b/t p a Order false 3 7", "acme", "key", "forced probe")
	f.Add("r.1 250 - 1000 ff", "b/a%20b %E2%82%AC a Lookup true 0 0", "", "", "")
	f.Add("   - ", "-1 1e9 g no \x00 \xff 18446744073709551616", "", "", "")
	f.Fuzz(func(t *testing.T, own, shared, caller, key, mode string) {
		now := time.Unix(1_800_000_000, 0)
		header := http.Header{
			headerAttempt: {own}, headerTarget: {shared}, headerCaller: {caller}, headerKey: {key}, headerMode: {mode},
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
		wire := wireAttempt{From: fleet.NodeID(node)}
		wire.Attempt.ID, wire.Attempt.Pool = "r.1", fleet.PoolName(pool)
		wire.Attempt.Target = fleet.NewTargetID(fleet.NodeID(node), target)
		header := http.Header{}
		encodeAttempt(header, wire, time.Unix(1_800_000_000, 0))
		decoded, err := decodeAttempt(header, time.Unix(1_800_000_000, 0))
		if err != nil || decoded.Attempt.Target != wire.Attempt.Target || decoded.Attempt.Pool != wire.Attempt.Pool || decoded.From != wire.From {
			t.Fatalf("%+v became %+v (%v)", wire, decoded, err)
		}
	})
}

// gatedConn is a connection whose bytes, and whose end, are read only once the gate is open.
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

// Guards against an order that is lost on the connection to a node that has just died: the end of the connection had
// arrived, and this process had not read it yet. CI saw it as 502 MayHaveRun for an order that another node could answer.
func TestForwardAvoidsEndedConnection(t *testing.T) {
	b := newHarness(t)
	var gate sync.RWMutex
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		var dialer net.Dialer
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return gatedConn{conn.(*net.TCPConn), &gate}, nil
	}
	b.forwarder = NewForwarder("a", ForwarderSeams{Now: time.Now, Post: b.post, Dial: dial})
	t.Cleanup(b.forwarder.Close)
	attempt := b.attempt()
	wantWhole(t, b.send(t.Context(), attempt, http.MethodPost, "1"), http.StatusOK, "hello")

	gate.Lock()
	defer gate.Unlock()
	is.New(t).NoErr(b.server.Close())
	attempt.ID, attempt.Deadline = "r.2", time.Now().Add(time.Second)
	wantProblem(t, b.send(t.Context(), attempt, http.MethodPost, "1").err, fleet.Unreachable, fleet.NotRun)
}

// Guards against an order that is lost on a new connection to a node that hangs or has gone: its system, or what stands
// before it, still opens connections.
func TestOrderNeedsRespondingPeer(t *testing.T) {
	for name, handle := range map[string]func(net.Conn){
		"hangs":  func(net.Conn) {},
		"closes": func(conn net.Conn) { time.AfterFunc(time.Millisecond, func() { _ = conn.Close() }) },
	} {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t)
			attempt := b.attempt()
			attempt.Address = listenSilently(t, handle)
			attempt.Deadline = time.Now().Add(time.Second)
			wantProblem(t, b.send(t.Context(), attempt, http.MethodPost, "1").err, fleet.Unreachable, fleet.NotRun)
		})
	}
}

// listenSilently returns the address of a listener that passes its connections to a function and answers nothing.
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
