package target_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"jayfold.dev/jayfold/internal/lab/target"
)

// rig is a stand-in that runs in the test's process beside a stand-in node.
type rig struct {
	target *target.Target
	// announced receives the method and the announced state of each request to the node.
	announced chan string
	stop      context.CancelFunc
	ended     chan error
}

func start(t *testing.T, settings target.Settings) rig {
	t.Helper()
	r := rig{announced: make(chan string, 100), ended: make(chan error, 1)}
	node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		var body struct{ State string }
		_ = json.NewDecoder(request.Body).Decode(&body)
		r.announced <- request.Method + body.State
		w.WriteHeader(http.StatusNoContent)
	}))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	settings.Name, settings.Pool, settings.Node = "a", "catalogue", node.Listener.Addr().String()
	settings.Connections = 10
	r.target = target.New(settings, listener, target.NewInProcessSeams())
	ctx, stop := context.WithCancel(t.Context())
	r.stop = stop
	go func() { r.ended <- r.target.Run(ctx) }()
	t.Cleanup(func() {
		r.target.Kill()
		node.Close()
	})
	return r
}

// call sends a request with the given token as request id and token, and returns the status, or 0 without an answer.
func (r rig) call(path, token string, timeout string) int {
	request, err := http.NewRequest(http.MethodPost, "http://"+r.target.Address()+path, bytes.NewReader([]byte("order")))
	if err != nil {
		return 0
	}
	request.Header.Set("Lab-Token", token)
	request.Header.Set("Jayfold-Request", token)
	if timeout != "" {
		request.Header.Set("Jayfold-Timeout", timeout)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

func (r rig) background(path, token, timeout string) chan int {
	status := make(chan int, 1)
	go func() { status <- r.call(path, token, timeout) }()
	return status
}

// waitLedger waits until n requests were started.
func (r rig) waitLedger(t *testing.T, n int) []target.LedgerEntry {
	t.Helper()
	for range 200 {
		if entries := r.target.Ledger(); len(entries) >= n {
			return entries
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("fewer than %d requests were started", n)
	return nil
}

// Guards against a ledger that misses a run, on which every check of orders rests.
func TestLedgerCountsRuns(t *testing.T) {
	is := is.New(t)
	r := start(t, target.Settings{Slots: 2})
	is.Equal(r.call("/x", "t1", ""), http.StatusOK)
	is.Equal(r.call("/x", "t2", ""), http.StatusOK)
	is.Equal(r.call("/x", "t2", ""), http.StatusOK)
	is.Equal(r.waitLedger(t, 2), []target.LedgerEntry{{Request: "t1", Token: "t1", Runs: 1}, {Request: "t2", Token: "t2", Runs: 2}})
}

// Guards against a stand-in that does not fail as the scenarios think it does.
func TestFaults(t *testing.T) {
	t.Run("sheds beyond its slots", func(t *testing.T) {
		is := is.New(t)
		r := start(t, target.Settings{Slots: 1, ServiceTime: 300 * time.Millisecond})
		first := r.background("/x", "t1", "")
		r.waitLedger(t, 1)
		is.Equal(r.call("/x", "t2", ""), http.StatusServiceUnavailable)
		is.Equal(<-first, http.StatusOK)
		is.Equal(len(r.target.Ledger()), 1) // what was shed did not run
	})
	t.Run("errors", func(t *testing.T) {
		is := is.New(t)
		r := start(t, target.Settings{Slots: 1})
		r.target.SetFaults(target.Faults{ErrorRate: 1})
		is.Equal(r.call("/x", "t1", ""), http.StatusInternalServerError)
	})
	t.Run("correlated burst", func(t *testing.T) {
		is := is.New(t)
		r := start(t, target.Settings{Slots: 1})
		hour := target.Duration(time.Hour)
		r.target.SetFaults(target.Faults{BurstErrorRate: 1, BurstEvery: hour, BurstLength: hour})
		is.Equal(r.call("/x", "t1", ""), http.StatusInternalServerError)
	})
	t.Run("freeze holds answers until the thaw", func(t *testing.T) {
		is := is.New(t)
		r := start(t, target.Settings{Slots: 2})
		r.target.SetFaults(target.Faults{Frozen: true})
		is.Equal(r.call("/x", "t1", "50ms"), http.StatusGatewayTimeout)
		status := r.background("/x", "t2", "")
		r.waitLedger(t, 2)
		r.target.SetFaults(target.Faults{})
		is.Equal(<-status, http.StatusOK)
	})
	t.Run("slowdown and cold start", func(t *testing.T) {
		is := is.New(t)
		r := start(t, target.Settings{Slots: 1, ServiceTime: 10 * time.Millisecond, ColdStart: time.Hour})
		r.target.SetFaults(target.Faults{Slowdown: 10})
		is.Equal(r.call("/x", "t1", "300ms"), http.StatusGatewayTimeout) // 10 ms, ten times, five times when cold
	})
	t.Run("crash on a mark", func(t *testing.T) {
		is := is.New(t)
		r := start(t, target.Settings{Slots: 1})
		r.target.SetFaults(target.Faults{CrashMark: "poison"})
		is.Equal(r.call("/poison", "t1", ""), 0)
		is.True(<-r.ended != nil)
		is.Equal(len(r.target.Ledger()), 1) // the ledger outlives the crash
	})
	t.Run("gray failure passes its probes", func(t *testing.T) {
		is := is.New(t)
		r := start(t, target.Settings{Slots: 1})
		r.target.SetFaults(target.Faults{ErrorRate: 0.5})
		response, err := http.Get("http://" + r.target.Address() + "/health")
		is.NoErr(err)
		is.NoErr(response.Body.Close())
		is.Equal(response.StatusCode, http.StatusOK)
	})
}

// Guards against a stand-in that cuts off requests when it drains, or that withdraws before they are finished.
func TestDrainFinishesAndWithdraws(t *testing.T) {
	is := is.New(t)
	r := start(t, target.Settings{Slots: 1, ServiceTime: 400 * time.Millisecond})
	status := r.background("/x", "t1", "")
	r.waitLedger(t, 1)
	r.stop()
	is.Equal(<-status, http.StatusOK)
	is.NoErr(<-r.ended)
	var said []string
	for len(r.announced) > 0 {
		said = append(said, <-r.announced)
	}
	is.Equal(said[0], "PUTReady")
	is.Equal(said[len(said)-2], "PUTDraining")
	is.Equal(said[len(said)-1], "DELETE")
}
