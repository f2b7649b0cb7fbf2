package platform_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"jayfold.dev/jayfold/internal/edge/platform"
)

// serveText responds to every request with a text and closes the connection, with a reset if reset is true. It returns the URL.
func serveText(t *testing.T, text string, reset bool) string {
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
			go func() {
				defer func() { _ = conn.Close() }()
				request, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, request.Body)
				_, _ = io.WriteString(conn, text)
				if reset {
					_ = conn.(*net.TCPConn).SetLinger(0)
				}
			}()
		}
	}()
	return "http://" + listener.Addr().String()
}

// calls holds one call of each kind.
var calls = map[string]func(context.Context, platform.Store) error{
	"get": func(ctx context.Context, s platform.Store) error {
		_, err := s.Get(ctx, "members/a")
		return err
	},
	"list": func(ctx context.Context, s platform.Store) error {
		_, err := s.List(ctx, "members/")
		return err
	},
	"put": func(ctx context.Context, s platform.Store) error {
		_, err := s.Put(ctx, "members/a", []byte("{}"), platform.Condition{})
		return err
	},
	"delete": func(ctx context.Context, s platform.Store) error {
		_, err := s.Delete(ctx, "members/a", platform.Condition{})
		return err
	},
}

// TestInvalidResponses guards against a response of the platform that counts as a result although its head is invalid or its end is that
// of a failed connection.
func TestInvalidResponses(t *testing.T) {
	const list, etag = `{"Objects":[]}`, "ETag: \"3\"\r\n"
	for name, c := range map[string]struct {
		text  string
		reset bool
	}{
		"status 000":             {text: "HTTP/1.1 000 OK\r\n" + etag + "Content-Length: 14\r\n\r\n" + list},
		"status 099":             {text: "HTTP/1.1 099 OK\r\n" + etag + "Content-Length: 14\r\n\r\n" + list},
		"status 101":             {text: "HTTP/1.1 101 Switching\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n"},
		"status 600":             {text: "HTTP/1.1 600 OK\r\n" + etag + "Content-Length: 14\r\n\r\n" + list},
		"blank before the colon": {text: "HTTP/1.1 200 OK\r\n" + etag + "Content-Length : 2\r\nContent-Length: 14\r\n\r\n" + list},
		"folded line":            {text: "HTTP/1.1 200 OK\r\n" + etag + "X: 1\r\n Content-Length: 2\r\nContent-Length: 14\r\n\r\n" + list},
		"two lengths":            {text: "HTTP/1.1 200 OK\r\n" + etag + "Content-Length: 14\r\nContent-Length: 14\r\n\r\n" + list},
		"length and encoding": {
			text: "HTTP/1.1 200 OK\r\n" + etag + "Content-Length: 14\r\nTransfer-Encoding: chunked\r\n\r\ne\r\n" + list + "\r\n0\r\n\r\n",
		},
		"HTTP 2.0":                         {text: "HTTP/2.0 200 OK\r\n" + etag + "Content-Length: 14\r\n\r\n" + list},
		"invalid informational response":   {text: "HTTP/1.1 103 Hi\r\nX : 1\r\n\r\nHTTP/1.1 200 OK\r\n" + etag + "Content-Length: 14\r\n\r\n" + list},
		"cut in the body":                  {text: "HTTP/1.1 200 OK\r\n" + etag + "Content-Length: 15\r\n\r\n" + list},
		"cut in the chunks":                {text: "HTTP/1.1 200 OK\r\n" + etag + "Transfer-Encoding: chunked\r\n\r\ne\r\n" + list + "\r\n"},
		"reset of a body without a length": {text: "HTTP/1.1 200 OK\r\n" + etag + "\r\n" + list, reset: true},
	} {
		for call, run := range calls {
			t.Run(name+", "+call, func(t *testing.T) {
				is := is.New(t)
				store := platform.NewStore(serveText(t, c.text, c.reset), &http.Client{Transport: platform.NewTransport()})
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
				defer cancel()
				err := run(ctx, store)
				var failed platform.CallError
				is.True(errors.As(err, &failed))                                   // the call fails
				is.Equal(failed.OutcomeUnknown, call == "put" || call == "delete") // a write may have taken effect
				is.NoErr(ctx.Err())
			})
		}
	}
}

// TestOddStatuses guards against a write that counts as done because its status is below 300.
func TestOddStatuses(t *testing.T) {
	for _, status := range []string{"000", "099", "101"} {
		for _, call := range []string{"put", "delete"} {
			t.Run(status+", "+call, func(t *testing.T) {
				is := is.New(t)
				store := platform.NewStore(serveText(t, "HTTP/1.1 "+status+" OK\r\nContent-Length: 0\r\n\r\n", false), &http.Client{})
				var failed platform.CallError
				is.True(errors.As(calls[call](t.Context(), store), &failed))
				is.True(failed.OutcomeUnknown)
			})
		}
	}
}

// TestValidResponses guards against refusing what the grammar allows.
func TestValidResponses(t *testing.T) {
	for name, text := range map[string]string{
		"with a length":                   "HTTP/1.1 200 OK\r\nETag: \"3\"\r\nContent-Length: 14\r\n\r\n" + `{"Objects":[]}`,
		"without a length":                "HTTP/1.0 200 OK\r\nETag: \"3\"\r\n\r\n" + `{"Objects":[]}`,
		"chunked":                         "HTTP/1.1 200 OK\r\nETag: \"3\"\r\nTransfer-Encoding: chunked\r\n\r\ne\r\n" + `{"Objects":[]}` + "\r\n0\r\n\r\n",
		"after an informational response": "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nETag: \"3\"\r\nContent-Length: 14\r\n\r\n" + `{"Objects":[]}`,
	} {
		for call, run := range calls {
			t.Run(name+", "+call, func(t *testing.T) {
				store := platform.NewStore(serveText(t, text, false), &http.Client{Transport: platform.NewTransport()})
				is.New(t).NoErr(run(t.Context(), store))
			})
		}
	}
}
