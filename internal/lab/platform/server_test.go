package platform_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"jayfold.dev/jayfold/internal/lab/platform"
)

// start starts a server whose clock stands still and returns it with its URL.
func start(t *testing.T, limits platform.Limits) (*platform.Server, string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	now := time.Now()
	server := platform.New(limits, func() time.Time { return now })
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(ctx, listener) }()
	t.Cleanup(func() {
		cancel()
		is.New(t).NoErr(<-ended)
	})
	return server, "http://" + listener.Addr().String()
}

// answer is what came back from a call.
type answer struct {
	status int
	etag   string
	body   string
	err    error
}

// call makes one call. Headers are pairs of names and values.
func call(ctx context.Context, method, url, body string, headers ...string) answer {
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = res.Body.Close() }()
	content, err := io.ReadAll(res.Body)
	return answer{status: res.StatusCode, etag: res.Header.Get("ETag"), body: string(content), err: err}
}

func assertAnswer(t *testing.T, got answer, status int, etag, body string) {
	t.Helper()
	assert := is.New(t)
	assert.NoErr(got.err)
	assert.Equal(got.status, status)
	assert.Equal(got.etag, etag)
	if body != "" {
		assert.Equal(strings.TrimSpace(got.body), body)
	}
}

// TestObjects guards against a stand-in that is more lenient than the platform.
func TestObjects(t *testing.T) {
	_, base := start(t, platform.Limits{})
	ctx, one := t.Context(), base+"/v1/objects/a/one"
	assertAnswer(t, call(ctx, "GET", one, ""), 404, "", "")
	assertAnswer(t, call(ctx, "PUT", one, "x", "If-Match", `"1"`), 412, "", "")
	assertAnswer(t, call(ctx, "PUT", one, "x", "If-None-Match", "*"), 200, `"1"`, "")
	assertAnswer(t, call(ctx, "PUT", one, "y", "If-None-Match", "*"), 412, "", "")
	assertAnswer(t, call(ctx, "PUT", base+"/v1/objects/b", "z"), 200, `"2"`, "")
	assertAnswer(t, call(ctx, "PUT", one, "y", "If-Match", `"1"`), 200, `"3"`, "")
	assertAnswer(t, call(ctx, "GET", one, ""), 200, `"3"`, "y")
	assertAnswer(t, call(ctx, "GET", base+"/v1/objects?prefix=a/", ""), 200, "", `{"Objects":[{"Key":"a/one","Version":3,"Value":"eQ=="}]}`)
	assertAnswer(t, call(ctx, "DELETE", one, "", "If-Match", `"1"`), 412, "", "")
	assertAnswer(t, call(ctx, "DELETE", one, ""), 200, `"4"`, "")
	assertAnswer(t, call(ctx, "DELETE", one, ""), 404, "", "")
	assertAnswer(t, call(ctx, "PUT", one, strings.Repeat("x", 1_000_000)), 200, `"5"`, "")
	assertAnswer(t, call(ctx, "PUT", one, strings.Repeat("x", 1_000_001)), 413, "", "")
	assertAnswer(t, call(ctx, "PUT", one, "x", "If-Match", "newest"), 400, "", "")
	assertAnswer(t, call(ctx, "GET", one+"?after=5&wait=1h", ""), 400, "", "")
}

// TestWatch guards against a watch that misses a change or answers without one.
func TestWatch(t *testing.T) {
	server, base := start(t, platform.Limits{})
	ctx, url := t.Context(), base+"/v1/objects/k"
	assertAnswer(t, call(ctx, "GET", url+"?after=0&wait=1ms", ""), 304, "", "")
	answers := make(chan answer, 1)
	go func() { answers <- call(context.Background(), "GET", url+"?after=0&wait=30s", "") }()
	for server.Counters().Watches < 2 {
		time.Sleep(time.Millisecond)
	}
	assertAnswer(t, call(ctx, "PUT", url, "x"), 200, `"1"`, "")
	assertAnswer(t, <-answers, 200, `"1"`, "x")
	assertAnswer(t, call(ctx, "GET", url+"?after=1&wait=1ms", ""), 304, `"1"`, "")
	assertAnswer(t, call(ctx, "GET", url+"?after=7&wait=30s", ""), 200, `"1"`, "x")
}

// TestFaults guards against faults that do not do what an experiment believes.
func TestFaults(t *testing.T) {
	server, base := start(t, platform.Limits{ReadsPerSecond: 3, WritesPerSecond: 2})
	ctx, url := t.Context(), base+"/v1/objects/k"
	faults := func(content string) {
		t.Helper()
		assertAnswer(t, call(ctx, "PUT", base+"/admin/faults", content), 200, "", "")
	}
	faults(`{"LoseResponses": 1}`)
	is.New(t).True(call(ctx, "PUT", url, "x").err != nil)
	assertAnswer(t, call(ctx, "GET", url, ""), 200, `"1"`, "x")
	faults(`{"Outage": true}`)
	assertAnswer(t, call(ctx, "GET", url, ""), 503, "", "")
	faults(`{"Silent": true}`)
	short, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
	defer cancel()
	is.New(t).True(call(short, "GET", url, "").err != nil)
	faults(`{"Delay": "1ms"}`)
	assertAnswer(t, call(ctx, "GET", url, ""), 429, "", "")
	assertAnswer(t, call(ctx, "PUT", url, "y"), 200, `"2"`, "")
	assertAnswer(t, call(ctx, "PUT", url, "y"), 429, "", "")
	assertAnswer(t, call(ctx, "PUT", base+"/admin/faults", `{"Outrage": true}`), 400, "", "")
	is.New(t).Equal(server.Counters(), platform.Counters{Reads: 4, Writes: 3, Limited: 2, Lost: 1})
}
