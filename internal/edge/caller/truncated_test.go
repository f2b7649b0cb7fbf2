package caller

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestTruncatedToCaller guards against a truncated response that looks complete to a caller for which the end of the connection ends the
// response: it must see a reset.
func TestTruncatedToCaller(t *testing.T) {
	for name, request := range map[string]string{
		"HTTP 1.0":                    "GET /a HTTP/1.0\r\nHost: h\r\n\r\n",
		"HTTP 1.0 with keep-alive":    "GET /a HTTP/1.0\r\nHost: h\r\nConnection: keep-alive\r\n\r\n",
		"HTTP 1.1 that asks to close": "GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
		"HTTP 1.1":                    "GET /a HTTP/1.1\r\nHost: h\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ts := newTestServer(t)
			ts.forward = func(context.Context, []byte) (*http.Response, error) {
				return newResponse(http.StatusOK, brokenReader{strings.NewReader(strings.Repeat("x", 4*maxBufferedBytes))}), nil
			}
			conn, err := net.Dial("tcp", strings.TrimPrefix(ts.url, "http://"))
			is.NoErr(err)
			defer func() { _ = conn.Close() }()
			_, err = io.WriteString(conn, request)
			is.NoErr(err)
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				return // a reset discards what has not been read
			}
			defer func() { _ = response.Body.Close() }()
			_, err = io.Copy(io.Discard, response.Body)
			is.True(err != nil) // the response does not look complete
		})
	}
}

// TestWholeToOldCaller guards against a reset after a response that is complete.
func TestWholeToOldCaller(t *testing.T) {
	is := is.New(t)
	ts := newTestServer(t)
	ts.forward = func(context.Context, []byte) (*http.Response, error) {
		return newResponse(http.StatusOK, strings.NewReader(strings.Repeat("x", 4*maxBufferedBytes))), nil
	}
	conn, err := net.Dial("tcp", strings.TrimPrefix(ts.url, "http://"))
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "GET /a HTTP/1.0\r\nHost: h\r\n\r\n")
	is.NoErr(err)
	read, err := io.ReadAll(conn)
	is.NoErr(err)
	_, body, _ := strings.Cut(string(read), "\r\n\r\n")
	is.Equal(len(body), 4*maxBufferedBytes)
}
