package httpresponse_test

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"

	"jayfold.dev/jayfold/internal/edge/httpresponse"
)

// readNext reads the next response and its body.
func readNext(reader *httpresponse.Reader) error {
	response, err := reader.ReadResponse(nil)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return err
}

// TestReaderSplits guards against a head that is read in another way because its bytes arrive one by one, or is longer than the buffer.
func TestReaderSplits(t *testing.T) {
	long := strings.Repeat("X-Long: "+strings.Repeat("v", 100)+"\r\n", 400)
	responses := "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n" + long + "Content-Length: 5\r\n\r\nfirst" +
		"HTTP/1.1 404 No\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nsecond\r\n0\r\n\r\n"
	for name, source := range map[string]io.Reader{
		"byte by byte": iotest.OneByteReader(strings.NewReader(responses)),
		"in halves":    iotest.HalfReader(strings.NewReader(responses)),
		"at once":      strings.NewReader(responses),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			reader := httpresponse.NewReader(source)
			for _, want := range []struct {
				status int
				body   string
			}{{200, "first"}, {404, "second"}} {
				response, err := reader.ReadResponse(nil)
				is.NoErr(err)
				body, err := io.ReadAll(response.Body)
				is.NoErr(err)
				is.NoErr(response.Body.Close())
				is.Equal(response.StatusCode, want.status)
				is.Equal(string(body), want.body)
			}
			is.Equal(reader.Buffered(), 0)
			is.Equal(readNext(reader), io.ErrUnexpectedEOF)
		})
	}
}

// TestHeadBound guards against a bound that is off by some bytes, or that the informational responses do not count for.
func TestHeadBound(t *testing.T) {
	const bound = 64 << 10
	head := func(size int) string {
		rest := "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX: \r\n\r\n"
		return strings.Replace(rest, "X: ", "X: "+strings.Repeat("v", size-len(rest)), 1)
	}
	const hint = "HTTP/1.1 103 Early Hints\r\n\r\n"
	for name, c := range map[string]struct {
		text string
		ok   bool
	}{
		"at the bound":                  {head(bound), true},
		"over the bound":                {head(bound + 1), false},
		"informational, at the bound":   {hint + head(bound-len(hint)), true},
		"informational, over the bound": {hint + head(bound-len(hint)+1), false},
		"a status line over the bound":  {"HTTP/1.1 200 " + strings.Repeat("x", bound), false},
		"informational responses only":  {strings.Repeat(hint, bound), false},
	} {
		t.Run(name, func(t *testing.T) {
			err := readNext(httpresponse.NewReader(strings.NewReader(c.text)))
			is.New(t).Equal(err == nil, c.ok)
		})
	}
}

// TestCheckedDial guards against a checked connection that changes, delays or withholds valid bytes.
func TestCheckedDial(t *testing.T) {
	const text = "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfour and\x00more: 1\r\n"
	for name, c := range map[string]struct {
		text string
		ok   bool
	}{
		"valid":             {text, true},
		"invalid":           {"HTTP/1.1 000 OK\r\n" + text, false},
		"invalid after 103": {"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nX : 1\r\n\r\n", false},
		"cut":               {text[:40], false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			dial := httpresponse.CheckedDial(func(context.Context, string, string) (net.Conn, error) {
				ours, theirs := net.Pipe()
				go func() {
					_, _ = io.WriteString(theirs, c.text)
					_ = theirs.Close()
				}()
				return ours, nil
			})
			conn, err := dial(t.Context(), "tcp", "")
			is.NoErr(err)
			read, err := io.ReadAll(conn)
			is.Equal(err == nil, c.ok)
			if c.ok {
				is.Equal(string(read), c.text)
				return
			}
			is.Equal(len(read), 0)
		})
	}
}
