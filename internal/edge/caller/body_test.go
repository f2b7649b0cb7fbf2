package caller

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"jayfold.dev/jayfold/internal/core/fleet"
)

// endlessReader returns bytes without end.
type endlessReader struct{}

// Read implements io.Reader.
func (endlessReader) Read(p []byte) (int, error) { return len(p), nil }

// TestBodiesAreBounded guards against bodies of callers that fill the memory of a node together, although each is within its own limit,
// and against memory that is not freed after a request.
func TestBodiesAreBounded(t *testing.T) {
	const bodyLimit, bufferLimit = 8 << 20, 1 << 20
	newServer := func(t *testing.T) *testServer {
		ts := newTestServer(t)
		ts.server.SetTablesLimits(fleet.Limits{BodyBytes: bodyLimit})
		ts.server.bodies = newBodyMemory(bufferLimit)
		ts.server.bodyTimeout = 5 * time.Second
		ts.server.seams.NewRequestID = RandomRequestID
		return ts
	}
	post := func(ts *testServer, body io.Reader) int {
		response, err := http.Post(ts.url+"/orders", "text/plain", body)
		if err != nil {
			return 0 // the server closed the connection before the client had written the whole body
		}
		_ = response.Body.Close()
		return response.StatusCode
	}
	t.Run("a body without end", func(t *testing.T) {
		ts := newServer(t)
		status := post(ts, endlessReader{})
		is.New(t).True(status == http.StatusRequestEntityTooLarge || status == 0)
		ts.waitForFreeMemory(t)
		is.New(t).Equal(post(ts, strings.NewReader("order")), http.StatusOK)
	})
	t.Run("a body that could never be held", func(t *testing.T) {
		ts := newServer(t)
		started := time.Now()
		status := post(ts, bytes.NewReader(make([]byte, bodyLimit-1)))
		is.New(t).True(status == http.StatusRequestEntityTooLarge || status == 0)
		is.New(t).True(time.Since(started) < time.Second)
	})
	t.Run("bodies of several requests", func(t *testing.T) {
		is := is.New(t)
		ts := newServer(t)
		held, release := make(chan struct{}, 1), make(chan struct{})
		ts.forward = func(_ context.Context, body []byte) (*http.Response, error) {
			if len(body) > 1<<10 {
				held <- struct{}{}
				<-release
			}
			return newResponse(http.StatusOK, strings.NewReader("hello")), nil
		}
		first := make(chan int)
		large := bytes.Repeat([]byte("x"), bufferLimit*3/4)
		go func() { first <- post(ts, bytes.NewReader(large)) }()
		<-held
		is.Equal(post(ts, bytes.NewReader(large[:bufferLimit/2])), http.StatusServiceUnavailable)
		is.Equal(post(ts, strings.NewReader("order")), http.StatusOK)
		close(release)
		is.Equal(<-first, http.StatusOK)
		ts.waitForFreeMemory(t)
		is.Equal(post(ts, bytes.NewReader(large)), http.StatusOK) // the memory of the first is free again
		ts.waitForFreeMemory(t)
	})
}

// waitForFreeMemory fails the test unless no body is held within 2 s. A caller may have its response before its body is released.
func (ts *testServer) waitForFreeMemory(t *testing.T) {
	t.Helper()
	for range 200 {
		if ts.server.bodies.used.Load() == 0 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("%d bytes are held", ts.server.bodies.used.Load())
}
