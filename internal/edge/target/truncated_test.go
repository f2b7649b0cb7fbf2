package target_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"jayfold.dev/jayfold/internal/core/fleet"
)

const (
	// uploadBytes exceeds what the buffers of a loopback connection hold, so that the request is still being written when its response
	// arrives.
	uploadBytes = 16 << 20
	// partBytes is what a target reads of a request, and writes of a response, before it gives up.
	partBytes = 32 << 10
	// truncatedRuns is the number of runs of each case. Without the checks at the end of a body, a case looked complete in 1 to 26 of
	// 40 runs.
	truncatedRuns = 20
)

// earlyHeads are heads of responses whose bodies end with the connection.
var earlyHeads = map[string]string{
	"HTTP 1.0":          "HTTP/1.0 200 OK\r\n\r\n",
	"Connection: close": "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
	"no length":         "HTTP/1.1 200 OK\r\n\r\n",
}

// truncation is the way in which a target breaks off a response.
type truncation struct {
	// requestBytes is the size of the request's body.
	requestBytes int
	// readAll is true if the target reads the whole request before it responds.
	readAll bool
	// halfClose is true if the target ends its direction of the connection before it resets it.
	halfClose bool
	// wait is the time between the last byte of the response and the reset.
	wait time.Duration
}

var truncations = map[string]truncation{
	"reset at once during the upload":      {requestBytes: uploadBytes},
	"reset after 20 ms of the upload":      {requestBytes: uploadBytes, wait: 20 * time.Millisecond},
	"reset with the request in buffers":    {requestBytes: 256 << 10, wait: 5 * time.Millisecond},
	"reset after the whole request":        {requestBytes: 256 << 10, readAll: true},
	"end and reset during the upload":      {requestBytes: uploadBytes, halfClose: true},
	"end and late reset of the upload":     {requestBytes: uploadBytes, halfClose: true, wait: 20 * time.Millisecond},
	"late reset after the whole request":   {requestBytes: 256 << 10, readAll: true, wait: 20 * time.Millisecond},
	"end with the request in buffers":      {requestBytes: 256 << 10, halfClose: true, wait: 20 * time.Millisecond},
	"reset after a request without upload": {readAll: true, wait: time.Millisecond},
}

// serve responds to one request with a part of a response, which it breaks off.
func (c truncation) serve(head string) func(net.Conn) {
	return func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		reader := bufio.NewReader(conn)
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		limit := int64(partBytes)
		if c.readAll {
			limit = request.ContentLength
		}
		_, _ = io.CopyN(io.Discard, request.Body, limit)
		_, _ = io.WriteString(conn, head+strings.Repeat("x", partBytes))
		socket := conn.(*net.TCPConn)
		if c.halfClose {
			_ = socket.CloseWrite()
		}
		time.Sleep(c.wait)
		_ = socket.SetLinger(0)
	}
}

// upload returns a request with a body of the given size.
func upload(size int) *http.Request {
	if size == 0 {
		return httptest.NewRequest(http.MethodGet, "/", nil)
	}
	return httptest.NewRequest(http.MethodPost, "/", strings.NewReader(strings.Repeat("u", size)))
}

// TestTruncatedBodyWithoutLength guards against a response that looks complete although its target has reset the connection: the
// writer of the request may take the socket's error, after which the reader gets an end of file.
func TestTruncatedBodyWithoutLength(t *testing.T) {
	for headName, head := range earlyHeads {
		for name, c := range truncations {
			t.Run(headName+", "+name, func(t *testing.T) {
				t.Parallel()
				address := serveConns(t, c.serve(head))
				complete := 0
				for range truncatedRuns {
					_, err := send(t.Context(), newClient(), newRun(address, 10*time.Second), upload(c.requestBytes))
					if err == nil {
						complete++
						continue
					}
					assertProblem(is.New(t), err, fleet.Broken, fleet.MayHaveRun)
				}
				is.New(t).Equal(complete, 0) // responses that look complete
			})
		}
	}
}

// TestWholeBodyWithoutLength guards against breaking off a response that is complete: its target has read the whole request before it
// closes the connection, whether or not the goroutine that wrote the request has noted so by then.
func TestWholeBodyWithoutLength(t *testing.T) {
	for name, head := range earlyHeads {
		for _, size := range []int{0, 100, 3 << 10, 256 << 10, uploadBytes} {
			t.Run(fmt.Sprint(name, ", ", size), func(t *testing.T) {
				t.Parallel()
				address := serveConns(t, func(conn net.Conn) {
					defer func() { _ = conn.Close() }()
					request, err := http.ReadRequest(bufio.NewReader(conn))
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, request.Body)
					_, _ = io.WriteString(conn, head+"whole")
				})
				for range truncatedRuns {
					body, err := send(t.Context(), newClient(), newRun(address, 10*time.Second), upload(size))
					is.New(t).NoErr(err)
					is.New(t).Equal(body, "whole")
				}
			})
		}
	}
}

// TestReadAfterTheEnd guards against a whole body that turns into a truncated one when it is read again after its end.
func TestReadAfterTheEnd(t *testing.T) {
	is := is.New(t)
	address := serveConns(t, func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			_, _ = io.WriteString(conn, "HTTP/1.0 200 OK\r\n\r\nwhole")
		}
	})
	response, err := newClient().Run(t.Context(), newRun(address, 5*time.Second), upload(0))
	is.NoErr(err)
	defer func() { _ = response.Body.Close() }()
	_, err = io.ReadAll(response.Body)
	is.NoErr(err)
	_, err = response.Body.Read(make([]byte, 1))
	is.Equal(err, io.EOF)
}

// TestEarlyResponseWithLength guards against breaking off a response that is complete by its length or its last chunk, although its
// target never reads the rest of the request.
func TestEarlyResponseWithLength(t *testing.T) {
	for name, response := range map[string]string{
		"a length": "HTTP/1.1 413 Too Large\r\nContent-Length: 5\r\n\r\nearly",
		"chunks":   "HTTP/1.1 413 Too Large\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nearly\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			address := serveConns(t, func(conn net.Conn) {
				defer func() { _ = conn.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
					return
				}
				_, _ = io.WriteString(conn, response)
				time.Sleep(20 * time.Millisecond)
			})
			for range truncatedRuns {
				body, err := send(t.Context(), newClient(), newRun(address, 10*time.Second), upload(uploadBytes))
				is.New(t).NoErr(err)
				is.New(t).Equal(body, "early")
			}
		})
	}
}
