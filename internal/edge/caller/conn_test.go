package caller

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestRefusesMalformedHeads guards against heads that a target could take for another request than the node does.
func TestRefusesMalformedHeads(t *testing.T) {
	for name, head := range map[string]string{
		"two lengths":               "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\nx",
		"different lengths":         "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\ncontent-length: 2\r\n\r\nxx",
		"list of lengths":           "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1, 1\r\n\r\nx",
		"negative length":           "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: -1\r\n\r\nx",
		"length and encoding":       "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"two encodings":             "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"unknown encoding":          "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip\r\n\r\n0\r\n\r\n",
		"encoding in HTTP/1.0":      "POST / HTTP/1.0\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"folded line":               "GET / HTTP/1.1\r\nHost: h\r\nA: b\r\n c\r\n\r\n",
		"blank before the colon":    "GET / HTTP/1.1\r\nHost: h\r\nContent-Length : 1\r\n\r\nx",
		"blank in a name":           "GET / HTTP/1.1\r\nHost: h\r\nA b: c\r\n\r\n",
		"no name":                   "GET / HTTP/1.1\r\nHost: h\r\n: c\r\n\r\n",
		"no colon":                  "GET / HTTP/1.1\r\nHost: h\r\nabc\r\n\r\n",
		"no host":                   "GET / HTTP/1.1\r\n\r\n",
		"two hosts":                 "GET / HTTP/1.1\r\nHost: h\r\nHost: h\r\n\r\n",
		"malformed host":            "GET / HTTP/1.1\r\nHost: h h\r\n\r\n",
		"carriage return in a line": "GET / HTTP/1.1\r\nHost: h\r\nA: b\rc\r\n\r\n",
		"zero byte in a value":      "GET / HTTP/1.1\r\nHost: h\r\nA: b\x00c\r\n\r\n",
		"unknown version":           "GET / HTTP/2.0\r\nHost: h\r\n\r\n",
		"no version":                "GET /\r\n\r\n",
		"empty lines":               strings.Repeat("\r\n", maxEmptyLines+1) + "GET / HTTP/1.1\r\nHost: h\r\n\r\n",
		"unknown expectation":       "GET / HTTP/1.1\r\nHost: h\r\nExpect: more\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			ts := newTestServer(t)
			c := ts.dial(t)
			c.send(head)
			got, closes := c.response(http.MethodGet)
			assertRefusal(t, got, http.StatusBadRequest, "NotRun")
			is.New(t).True(closes)
			c.wantEnd()
			is.New(t).Equal(len(ts.events), 0)
		})
	}
}

// TestHeadsAreBounded guards against heads without end that fill the memory or occupy a connection.
func TestHeadsAreBounded(t *testing.T) {
	t.Run("size", func(t *testing.T) {
		ts := newTestServer(t)
		c := ts.dial(t)
		c.send("GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("A: b\r\n", 3000))
		got, closes := c.response(http.MethodGet)
		assertRefusal(t, got, http.StatusRequestHeaderFieldsTooLarge, "NotRun")
		is.New(t).True(closes)
	})
	t.Run("time", func(t *testing.T) {
		ts := newTestServer(t)
		c := ts.dial(t)
		c.send("GET / HTTP/1.1\r\nHost: h\r\n")
		c.wantEnd()
	})
}

// TestConnectionReuse guards against connections that are closed although the caller goes on using them, and the other way round.
func TestConnectionReuse(t *testing.T) {
	for name, c := range map[string]struct {
		request string
		reused  bool
	}{
		"HTTP/1.1":            {"GET / HTTP/1.1\r\nHost: h\r\n\r\n", true},
		"HTTP/1.1 and close":  {"GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", false},
		"HTTP/1.0":            {"GET / HTTP/1.0\r\n\r\n", false},
		"HTTP/1.0 keep-alive": {"GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n", true},
		"POST":                {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody", true},
		"empty lines":         {"\r\n\nGET / HTTP/1.1\r\nHost: h\r\n\r\n", true},
	} {
		t.Run(name, func(t *testing.T) {
			ts := newTestServer(t)
			conn := ts.dial(t)
			for range 3 {
				conn.send(c.request)
				conn.wantBody("hello", !c.reused)
				if !c.reused {
					conn.wantEnd()
					return
				}
			}
		})
	}
}

// TestResponseFraming guards against responses whose end the caller cannot find.
func TestResponseFraming(t *testing.T) {
	serve := func(t *testing.T, status int, header http.Header, body string) *rawCaller {
		ts := newTestServer(t)
		ts.server.seams.NewRequestID = RandomRequestID
		ts.forward = func(context.Context, []byte) (*http.Response, error) {
			return &http.Response{StatusCode: status, Header: header.Clone(), Body: io.NopCloser(strings.NewReader(body))}, nil
		}
		return ts.dial(t)
	}
	long := strings.Repeat("x", 10000)
	t.Run("chunks", func(t *testing.T) {
		c := serve(t, 200, http.Header{}, long)
		c.get("/", "/")
		c.wantBody(long, false)
		c.wantBody(long, false)
	})
	t.Run("length of the target", func(t *testing.T) {
		c := serve(t, 200, http.Header{"Content-Length": {"10000"}}, long)
		c.get("/", "/")
		c.wantBody(long, false)
		c.wantBody(long, false)
	})
	t.Run("HTTP/1.0 without a length", func(t *testing.T) {
		c := serve(t, 200, http.Header{}, long)
		c.send("GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n")
		c.wantBody(long, true)
		c.wantEnd()
	})
	t.Run("HEAD", func(t *testing.T) {
		c := serve(t, 200, http.Header{"Content-Length": {"10000"}}, "")
		for range 2 {
			c.send("HEAD / HTTP/1.1\r\nHost: h\r\n\r\n")
			got, closes := c.response(http.MethodHead)
			is.New(t).Equal(got.header.Get("Content-Length"), "10000")
			is.New(t).True(!closes)
		}
	})
	for _, status := range []int{http.StatusNoContent, http.StatusNotModified} {
		t.Run(http.StatusText(status), func(t *testing.T) {
			c := serve(t, status, http.Header{}, "")
			for range 2 {
				c.get("/")
				got, closes := c.response(http.MethodGet)
				is.New(t).Equal(got.status, status)
				is.New(t).Equal(got.header.Get("Transfer-Encoding")+got.header.Get("Content-Length"), "")
				is.New(t).True(!closes)
			}
		})
	}
	t.Run("a body shorter than its length", func(t *testing.T) {
		c := serve(t, 200, http.Header{"Content-Length": {"10001"}}, long)
		c.get("/")
		got, _ := c.response(http.MethodGet)
		is.New(t).True(got.err != nil)
	})
}

// TestExpectContinue guards against callers that wait in vain to be told to send their body.
func TestExpectContinue(t *testing.T) {
	is := is.New(t)
	ts := newTestServer(t)
	c := ts.dial(t)
	c.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nExpect: 100-continue\r\n\r\n")
	line, err := c.reader.ReadString('\n')
	is.NoErr(err)
	is.Equal(line, "HTTP/1.1 100 Continue\r\n")
	_, err = c.reader.ReadString('\n')
	is.NoErr(err)
	c.send("body")
	c.wantBody("hello", false)
	c.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4000000\r\nExpect: 100-continue\r\n\r\n")
	got, closes := c.response(http.MethodPost)
	assertRefusal(t, got, http.StatusRequestEntityTooLarge, "NotRun")
	is.True(closes)
}

// TestHTTP2 guards against HTTP/2 connections that the HTTP/1 loop doesn't hand over.
func TestHTTP2(t *testing.T) {
	is := is.New(t)
	ts := newTestServer(t)
	transport := &http.Transport{Protocols: new(http.Protocols)}
	transport.Protocols.SetUnencryptedHTTP2(true)
	defer transport.CloseIdleConnections()
	for range 2 {
		response, err := transport.RoundTrip(ts.request(t, "POST", "/a", "body"))
		is.NoErr(err)
		body, err := io.ReadAll(response.Body)
		is.NoErr(err)
		is.NoErr(response.Body.Close())
		is.Equal(response.ProtoMajor, 2)
		is.Equal(string(body), "hello")
	}
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	is.NoErr(ts.server.Shutdown(ctx))
}
