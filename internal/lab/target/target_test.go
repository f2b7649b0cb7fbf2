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

// harness is a stand-in target in the process of the test, with a fake node.
type harness struct {
	target *target.Target
	// heartbeats receives the method and the reported state of each request to the node.
	heartbeats chan string
	stop       context.CancelFunc
	ended      chan error
}

func start(t *testing.T, settings target.Settings) harness {
	t.Helper()
	h := harness{heartbeats: make(chan string, 100), ended: make(chan error, 1)}
	node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		var body struct{ State string }
		_ = json.NewDecoder(request.Body).Decode(&body)
		h.heartbeats <- request.Method + body.State
		w.WriteHeader(http.StatusNoContent)
	}))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	settings.Name, settings.Pool, settings.Node = "a", "catalogue", node.Listener.Addr().String()
	settings.Connections = 10
	h.target = target.New(settings, listener, target.NewInProcessSeams())
	ctx, stop := context.WithCancel(t.Context())
	h.stop = stop
	go func() { h.ended <- h.target.Run(ctx) }()
	t.Cleanup(func() {
		h.target.Kill()
		node.Close()
	})
	return h
}

// call sends a request with the token as both request id and token. It returns the status code, or 0 without a response.
func (h harness) call(path, token string, timeout string) int {
	request, err := http.NewRequest(http.MethodPost, "http://"+h.target.Address()+path, bytes.NewReader([]byte("order")))
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

func (h harness) callAsync(path, token, timeout string) chan int {
	status := make(chan int, 1)
	go func() { status <- h.call(path, token, timeout) }()
	return status
}

// waitLedger waits until n requests have been started.
func (h harness) waitLedger(t *testing.T, n int) []target.LedgerEntry {
	t.Helper()
	for range 200 {
		if entries := h.target.Ledger(); len(entries) >= n {
			return entries
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("fewer than %d requests were started", n)
	return nil
}

// TestLedgerCountsRuns guards against a ledger that misses a run. Every check of orders relies on it.
func TestLedgerCountsRuns(t *testing.T) {
	is := is.New(t)
	h := start(t, target.Settings{Slots: 2})
	is.Equal(h.call("/x", "t1", ""), http.StatusOK)
	is.Equal(h.call("/x", "t2", ""), http.StatusOK)
	is.Equal(h.call("/x", "t2", ""), http.StatusOK)
	is.Equal(h.waitLedger(t, 2), []target.LedgerEntry{{Request: "t1", Token: "t1", Runs: 1}, {Request: "t2", Token: "t2", Runs: 2}})
}

// TestFaults guards against an injected fault that does not have the effect that the scenarios rely on.
func TestFaults(t *testing.T) {
	t.Run("sheds requests when all slots are occupied", func(t *testing.T) {
		is := is.New(t)
		h := start(t, target.Settings{Slots: 1, ServiceTime: 300 * time.Millisecond})
		first := h.callAsync("/x", "t1", "")
		h.waitLedger(t, 1)
		is.Equal(h.call("/x", "t2", ""), http.StatusServiceUnavailable)
		is.Equal(<-first, http.StatusOK)
		is.Equal(len(h.target.Ledger()), 1) // the shed request did not run
	})
	t.Run("error rate", func(t *testing.T) {
		is := is.New(t)
		h := start(t, target.Settings{Slots: 1})
		h.target.SetFaults(target.Faults{ErrorRate: 1})
		is.Equal(h.call("/x", "t1", ""), http.StatusInternalServerError)
	})
	t.Run("error burst", func(t *testing.T) {
		is := is.New(t)
		h := start(t, target.Settings{Slots: 1})
		hour := target.Duration(time.Hour)
		h.target.SetFaults(target.Faults{BurstErrorRate: 1, BurstEvery: hour, BurstLength: hour})
		is.Equal(h.call("/x", "t1", ""), http.StatusInternalServerError)
	})
	t.Run("frozen target holds responses back", func(t *testing.T) {
		is := is.New(t)
		h := start(t, target.Settings{Slots: 2})
		h.target.SetFaults(target.Faults{Frozen: true})
		is.Equal(h.call("/x", "t1", "50ms"), http.StatusGatewayTimeout)
		status := h.callAsync("/x", "t2", "")
		h.waitLedger(t, 2)
		h.target.SetFaults(target.Faults{})
		is.Equal(<-status, http.StatusOK)
	})
	t.Run("slowdown and cold start", func(t *testing.T) {
		is := is.New(t)
		h := start(t, target.Settings{Slots: 1, ServiceTime: 10 * time.Millisecond, ColdStart: time.Hour})
		h.target.SetFaults(target.Faults{Slowdown: 10})
		is.Equal(h.call("/x", "t1", "300ms"), http.StatusGatewayTimeout) // 10 ms, times 10 for the slowdown, times 5 for the cold start
	})
	t.Run("crash on a marked request", func(t *testing.T) {
		is := is.New(t)
		h := start(t, target.Settings{Slots: 1})
		h.target.SetFaults(target.Faults{CrashMark: "poison"})
		is.Equal(h.call("/poison", "t1", ""), 0)
		is.True(<-h.ended != nil)
		is.Equal(len(h.target.Ledger()), 1) // the ledger survives the crash
	})
	t.Run("gray failure passes health probes", func(t *testing.T) {
		is := is.New(t)
		h := start(t, target.Settings{Slots: 1})
		h.target.SetFaults(target.Faults{ErrorRate: 0.5})
		response, err := http.Get("http://" + h.target.Address() + "/health")
		is.NoErr(err)
		is.NoErr(response.Body.Close())
		is.Equal(response.StatusCode, http.StatusOK)
	})
}

// TestDrainFinishesAndWithdraws guards against a stand-in that aborts requests during a drain, or that withdraws before they
// have finished.
func TestDrainFinishesAndWithdraws(t *testing.T) {
	is := is.New(t)
	h := start(t, target.Settings{Slots: 1, ServiceTime: 400 * time.Millisecond})
	status := h.callAsync("/x", "t1", "")
	h.waitLedger(t, 1)
	h.stop()
	is.Equal(<-status, http.StatusOK)
	is.NoErr(<-h.ended)
	var calls []string
	for len(h.heartbeats) > 0 {
		calls = append(calls, <-h.heartbeats)
	}
	is.Equal(calls[0], "PUTReady")
	is.Equal(calls[len(calls)-2], "PUTDraining")
	is.Equal(calls[len(calls)-1], "DELETE")
}
