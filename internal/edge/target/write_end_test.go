package target_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"jayfold.dev/jayfold/internal/core/fleet"
	"jayfold.dev/jayfold/internal/edge/target"
)

// TestUnwrittenRequest guards against a response without a length that counts as whole although a part of the request, which has not
// arrived from the ingress, was never written: nothing on the connection to the target has failed.
func TestUnwrittenRequest(t *testing.T) {
	const written = 100 << 10
	address := serveConns(t, func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		request, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		_, _ = io.CopyN(io.Discard, request.Body, written)
		_, _ = io.WriteString(conn, "HTTP/1.0 200 OK\r\n\r\npart")
	})
	body, ingress := io.Pipe()
	t.Cleanup(func() { _ = ingress.Close() })
	go func() { _, _ = io.WriteString(ingress, strings.Repeat("u", written)) }()
	request := httptest.NewRequest(http.MethodPost, "/", body)
	request.ContentLength = 2 * written
	_, err := send(t.Context(), newClient(), newRun(address, 10*time.Second), request)
	assertProblem(is.New(t), err, fleet.Broken, fleet.MayHaveRun)
}

// lateConn is a connection whose writes return some time after they are done, as on a busy host.
type lateConn struct{ *net.TCPConn }

// Write implements io.Writer.
func (c lateConn) Write(p []byte) (int, error) {
	n, err := c.TCPConn.Write(p)
	time.Sleep(20 * time.Millisecond)
	return n, err
}

// TestWriteIsNotedLate guards against breaking off a whole response that ends before the goroutine that wrote the request has noted so.
func TestWriteIsNotedLate(t *testing.T) {
	is := is.New(t)
	address := serveConns(t, func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		request, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		_, _ = io.WriteString(conn, "HTTP/1.0 200 OK\r\n\r\nwhole")
	})
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := new(net.Dialer).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return lateConn{conn.(*net.TCPConn)}, nil
	}
	client := target.NewClient(target.NewProtocol(), dial, time.Now, nil)
	body, err := send(t.Context(), client, newRun(address, 10*time.Second), upload(16<<10))
	is.NoErr(err)
	is.Equal(body, "whole")
}
