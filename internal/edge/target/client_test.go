package target_test

import (
	"bufio"
	"context"
	"errors"
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
	"jayfold.dev/jayfold/internal/core/fleet"
	"jayfold.dev/jayfold/internal/edge/target"
)

func newClient() *target.Client {
	return target.NewClient(target.NewProtocol(), target.NewDial(), time.Now, nil)
}

// newRun returns the effect that starts a run on the target at the address.
func newRun(address string, timeout time.Duration) effect.StartRun {
	return effect.StartRun{
		Attempt:     fleet.Attempt{ID: "r1.1", Deadline: time.Now().Add(timeout)},
		Address:     address,
		Connections: 2,
	}
}

// send runs a request and returns the whole body.
func send(ctx context.Context, c *target.Client, run effect.StartRun, r *http.Request) (string, error) {
	response, err := c.Run(ctx, run, r)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

func assertProblem(is *is.I, err error, cause fleet.Cause, verdict fleet.Verdict) {
	is.Helper()
	var problem fleet.Problem
	is.True(errors.As(err, &problem)) // the error is a problem
	is.Equal(problem.Cause, cause)
	is.Equal(problem.Verdict, verdict)
}

// serveConns serves the connections to a loopback port and returns its address.
func serveConns(t *testing.T, serve func(net.Conn)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return listener.Addr().String()
}

// TestClientNeverResends guards against net/http retrying a request when a reused connection breaks, which would run an order
// twice. The server responds to the first request on a connection and drops the connection after reading the second.
func TestClientNeverResends(t *testing.T) {
	cases := []struct{ name, method, body, key string }{
		{"get", http.MethodGet, "", ""},
		{"delete", http.MethodDelete, "", ""},
		{"get with key", http.MethodGet, "", "k"},
		{"post with key", http.MethodPost, "order", "k"},
		{"empty post with key", http.MethodPost, "", "k"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var runs atomic.Int64
			address := serveConns(t, func(conn net.Conn) {
				defer func() { _ = conn.Close() }()
				reader := bufio.NewReader(conn)
				for first := true; ; first = false {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, request.Body)
					if runs.Add(1); !first {
						return
					}
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nJayfold-Request: r1\r\nContent-Length: 2\r\n\r\nok")
				}
			})
			client := newClient()
			request := func() *http.Request {
				r, err := http.NewRequest(c.method, "http://shop/items", strings.NewReader(c.body))
				is.NoErr(err)
				if c.key != "" {
					r.Header.Set("Idempotency-Key", c.key)
				}
				return r
			}
			body, err := send(t.Context(), client, newRun(address, 5*time.Second), request())
			is.NoErr(err)
			is.Equal(body, "ok")
			_, err = send(t.Context(), client, newRun(address, 5*time.Second), request())
			assertProblem(is, err, fleet.Broken, fleet.MayHaveRun)
			time.Sleep(20 * time.Millisecond)
			is.Equal(runs.Load(), int64(2)) // one run per call of Run
		})
	}
}

// TestClientVerdicts guards against a NotRun verdict on an order that may have run, and against MayHaveRun when nothing was
// written.
func TestClientVerdicts(t *testing.T) {
	silent := func(conn net.Conn) { _, _ = io.Copy(io.Discard, conn) }
	order := func() *http.Request {
		return httptest.NewRequest(http.MethodPost, "/orders", strings.NewReader("order"))
	}
	t.Run("connection refused", func(t *testing.T) {
		_, err := send(t.Context(), newClient(), newRun("127.0.0.1:1", time.Second), order())
		assertProblem(is.New(t), err, fleet.Unreachable, fleet.NotRun)
	})
	t.Run("deadline has passed", func(t *testing.T) {
		_, err := send(t.Context(), newClient(), newRun(serveConns(t, silent), -time.Second), order())
		assertProblem(is.New(t), err, fleet.DeadlinePassed, fleet.NotRun)
	})
	t.Run("deadline passes without a response", func(t *testing.T) {
		_, err := send(t.Context(), newClient(), newRun(serveConns(t, silent), 30*time.Millisecond), order())
		assertProblem(is.New(t), err, fleet.DeadlinePassed, fleet.MayHaveRun)
	})
	t.Run("canceled without a response", func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(30*time.Millisecond, cancel)
		_, err := send(ctx, newClient(), newRun(serveConns(t, silent), time.Minute), order())
		assertProblem(is.New(t), err, fleet.Canceled, fleet.MayHaveRun)
	})
	t.Run("waits for a connection", func(t *testing.T) {
		client, run := newClient(), newRun(serveConns(t, silent), time.Second)
		run.Connections = 1
		first := run
		go func() { _, _ = send(t.Context(), client, first, order()) }()
		time.Sleep(50 * time.Millisecond)
		run.Attempt.Deadline = time.Now().Add(50 * time.Millisecond)
		_, err := send(t.Context(), client, run, order())
		assertProblem(is.New(t), err, fleet.DeadlinePassed, fleet.NotRun)
	})
	t.Run("connection breaks during the response", func(t *testing.T) {
		address := serveConns(t, func(conn net.Conn) {
			_, _ = http.ReadRequest(bufio.NewReader(conn))
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf")
			_ = conn.Close()
		})
		_, err := send(t.Context(), newClient(), newRun(address, time.Second), order())
		assertProblem(is.New(t), err, fleet.Broken, fleet.MayHaveRun)
	})
}

// TestClientBoundsConnections guards against more connections than the target allows.
func TestClientBoundsConnections(t *testing.T) {
	is := is.New(t)
	var opened atomic.Int64
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Jayfold-Request", r.Header.Get("Jayfold-Request"))
		time.Sleep(time.Millisecond)
	}))
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			opened.Add(1)
		}
	}
	server.Start()
	defer server.Close()
	client, run := newClient(), newRun(server.Listener.Addr().String(), 5*time.Second)
	// Many rounds are needed for a request to start just when another one releases its connection.
	for range 50 {
		var wait sync.WaitGroup
		for range 20 {
			wait.Go(func() {
				_, err := send(t.Context(), client, run, httptest.NewRequest(http.MethodGet, "/", nil))
				is.NoErr(err)
			})
		}
		wait.Wait()
	}
	is.True(opened.Load() <= int64(run.Connections)) // connections are kept alive and bounded
}

// TestClientHeaders guards against a target that does not receive the request id, timeout or caller, and against forwarding
// headers that are hop-by-hop or internal to the nodes.
func TestClientHeaders(t *testing.T) {
	is := is.New(t)
	got := make(chan *http.Request, 1)
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { got <- r }))
	defer server.Close()
	request := httptest.NewRequest(http.MethodGet, "http://shop.example/items?q=1", nil)
	for name, value := range map[string]string{
		"Jayfold-Caller": "forged", "Jayfold-Attempt": "r1.1", "Connection": "X-Hop", "X-Hop": "1", "X-Kept": "1",
	} {
		request.Header.Set(name, value)
	}
	run := newRun(server.Listener.Addr().String(), time.Second)
	run.Attempt.Caller = "acme"
	_, err := send(t.Context(), newClient(), run, request)
	is.NoErr(err)
	r := <-got
	timeout, err := time.ParseDuration(r.Header.Get("Jayfold-Timeout"))
	is.NoErr(err)
	is.True(timeout > 0 && timeout <= time.Second)
	is.Equal(r.Host, "shop.example")
	is.Equal(r.URL.String(), "/items?q=1")
	for name, want := range map[string]string{
		"Jayfold-Request": "r1", "Jayfold-Caller": "acme", "Jayfold-Attempt": "", "X-Hop": "", "X-Kept": "1",
	} {
		is.Equal(r.Header.Get(name), want) // header
	}
}

// TestClientCrashed guards against reporting a stopped or busy process as crashed, and against missing a crash, also while the
// process is exiting.
func TestClientCrashed(t *testing.T) {
	is := is.New(t)
	is.True(newClient().Crashed(t.Context(), "127.0.0.1:1"))
	is.True(!newClient().Crashed(t.Context(), serveConns(t, func(net.Conn) {})))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	time.AfterFunc(20*time.Millisecond, func() { _ = listener.Close() }) // resets the connections that it has not accepted
	is.True(newClient().Crashed(t.Context(), listener.Addr().String()))
}
