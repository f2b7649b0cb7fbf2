package platform_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"jayfold.dev/jayfold/internal/lab/platform"
)

// start starts a server with a constant clock and returns it with its URL.
func start(t *testing.T, limits platform.Limits) (*platform.Server, string) {
	t.Helper()
	now := time.Now()
	return startAt(t, limits, func() time.Time { return now })
}

// clock is a clock that a test advances.
type clock struct{ ns atomic.Int64 }

func newClock() *clock { return &clock{} }

// Now returns the time.
func (c *clock) Now() time.Time { return time.Unix(0, c.ns.Load()) }

// Advance adds d to the time.
func (c *clock) Advance(d time.Duration) { c.ns.Add(int64(d)) }

// startAt starts a server with a clock and returns it with its URL.
func startAt(t *testing.T, limits platform.Limits, now func() time.Time) (*platform.Server, string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	server := platform.New(limits, now)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(ctx, listener) }()
	t.Cleanup(func() {
		cancel()
		is.New(t).NoErr(<-ended)
	})
	return server, "http://" + listener.Addr().String()
}

// result is the response to a call, or the error if there was none.
type result struct {
	status int
	etag   string
	epoch  string
	body   string
	err    error
}

// call makes one API call. Headers are pairs of names and values.
func call(ctx context.Context, method, url, body string, headers ...string) result {
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return result{err: err}
	}
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return result{err: err}
	}
	defer func() { _ = res.Body.Close() }()
	content, err := io.ReadAll(res.Body)
	return result{status: res.StatusCode, etag: res.Header.Get("ETag"), epoch: res.Header.Get("Epoch"), body: string(content), err: err}
}

func assertResult(t *testing.T, got result, status int, etag, body string) {
	t.Helper()
	assert := is.New(t)
	assert.NoErr(got.err)
	assert.Equal(got.status, status)
	assert.Equal(got.etag, etag)
	if body != "" {
		assert.Equal(strings.TrimSpace(got.body), body)
	}
}

// TestObjects guards against a stand-in that is more lenient than the platform about conditions, sizes and parameters.
func TestObjects(t *testing.T) {
	_, base := start(t, platform.Limits{})
	ctx, one := t.Context(), base+"/v1/objects/a/one"
	assertResult(t, call(ctx, "GET", one, ""), 404, "", "")
	assertResult(t, call(ctx, "PUT", one, "x", "If-Match", `"1"`), 412, "", "")
	assertResult(t, call(ctx, "PUT", one, "x", "If-None-Match", "*"), 200, `"1"`, "")
	assertResult(t, call(ctx, "PUT", one, "y", "If-None-Match", "*"), 412, "", "")
	assertResult(t, call(ctx, "PUT", base+"/v1/objects/b", "z"), 200, `"2"`, "")
	assertResult(t, call(ctx, "PUT", one, "y", "If-Match", `"1"`), 200, `"3"`, "")
	assertResult(t, call(ctx, "GET", one, ""), 200, `"3"`, "y")
	assertResult(t, call(ctx, "GET", base+"/v1/objects?prefix=a/", ""),
		200, "", `{"Objects":[{"Key":"a/one","Version":3,"Value":"eQ=="}]}`)
	assertResult(t, call(ctx, "DELETE", one, "", "If-Match", `"1"`), 412, "", "")
	assertResult(t, call(ctx, "DELETE", one, ""), 200, `"4"`, "")
	assertResult(t, call(ctx, "DELETE", one, ""), 404, "", "")
	assertResult(t, call(ctx, "PUT", one, strings.Repeat("x", 1_000_000)), 200, `"5"`, "")
	assertResult(t, call(ctx, "PUT", one, strings.Repeat("x", 1_000_001)), 413, "", "")
	assertResult(t, call(ctx, "PUT", one, "x", "If-Match", "newest"), 400, "", "")
	assertResult(t, call(ctx, "GET", one+"?after=5&wait=1h", ""), 400, "", "")
}

// TestWatch guards against a watch that misses a change, or that ends before a change or its timeout.
func TestWatch(t *testing.T) {
	server, base := start(t, platform.Limits{})
	ctx, url := t.Context(), base+"/v1/objects/k"
	assertResult(t, call(ctx, "GET", url+"?after=0&wait=1ms", ""), 304, "", "")
	results := make(chan result, 1)
	go func() { results <- call(context.Background(), "GET", url+"?after=0&wait=30s", "") }()
	for server.Counters().Watches < 2 {
		time.Sleep(time.Millisecond)
	}
	assertResult(t, call(ctx, "PUT", url, "x"), 200, `"1"`, "")
	assertResult(t, <-results, 200, `"1"`, "x")
	assertResult(t, call(ctx, "GET", url+"?after=1&wait=1ms", ""), 304, `"1"`, "")
	assertResult(t, call(ctx, "GET", url+"?after=7&wait=30s", ""), 200, `"1"`, "x")
}

// TestFaults guards against an injected fault that does not have the effect that the experiments rely on.
func TestFaults(t *testing.T) {
	server, base := start(t, platform.Limits{ReadsPerSecond: 3, WritesPerSecond: 2})
	ctx, url := t.Context(), base+"/v1/objects/k"
	faults := func(content string) {
		t.Helper()
		assertResult(t, call(ctx, "PUT", base+"/admin/faults", content), 200, "", "")
	}
	faults(`{"LoseResponses": 1}`)
	is.New(t).True(call(ctx, "PUT", url, "x").err != nil)
	assertResult(t, call(ctx, "GET", url, ""), 200, `"1"`, "x")
	faults(`{"Outage": true}`)
	assertResult(t, call(ctx, "GET", url, ""), 503, "", "")
	faults(`{"Silent": true}`)
	short, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
	defer cancel()
	is.New(t).True(call(short, "GET", url, "").err != nil)
	faults(`{"Delay": "1ms"}`)
	assertResult(t, call(ctx, "GET", url, ""), 429, "", "")
	assertResult(t, call(ctx, "PUT", url, "y"), 200, `"2"`, "")
	assertResult(t, call(ctx, "PUT", url, "y"), 429, "", "")
	assertResult(t, call(ctx, "PUT", base+"/admin/faults", `{"Outrage": true}`), 400, "", "")
	is.New(t).Equal(server.Counters(), platform.Counters{Reads: 4, Writes: 3, Limited: 2, Lost: 1})
}

// TestRestore guards against a stand-in that loses more than the writes since the copy, keeps some of them, or doesn't count the
// restoration.
func TestRestore(t *testing.T) {
	clock := newClock()
	server, base := startAt(t, platform.Limits{}, clock.Now)
	ctx, one := t.Context(), base+"/v1/objects/one"
	for version, value := range []string{"a", "b", "c"} {
		assertResult(t, call(ctx, "PUT", one, value), 200, strconv.Quote(strconv.Itoa(version+1)), "")
		clock.Advance(time.Second)
	}
	assertResult(t, call(ctx, "GET", one, ""), 200, `"3"`, "c")
	server.Restore(1500 * time.Millisecond)
	assertResult(t, call(ctx, "GET", one, ""), 200, `"2"`, "b")
	assertResult(t, call(ctx, "PUT", one, "other", "If-Match", `"2"`), 200, `"3"`, "")
	server.Restore(time.Second)
	assertResult(t, call(ctx, "GET", one, ""), 200, `"2"`, "b")
	server.Restore(0)
	assertResult(t, call(ctx, "GET", one, ""), 200, `"2"`, "b")
	assertResult(t, call(ctx, "PUT", base+"/admin/restore", `{"Age": "1h"}`), 200, "", "")
	assertResult(t, call(ctx, "GET", one, ""), 404, "", "")
	is.New(t).Equal(call(ctx, "GET", one, "").epoch, "5")
}
