package target_test

import (
	"bufio"
	"errors"
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

// secret stands for content of a response that must not appear in a log line.
const secret = "s3cr3t"

// invalidHeads are heads that the grammar of HTTP does not allow, each with the start of the fault that is told about it.
var invalidHeads = map[string]struct{ head, fault string }{
	"status 000":             {"HTTP/1.1 000 s3cr3t\r\nContent-Length: 4\r\n\r\n", "the status"},
	"status 000, then 200":   {"HTTP/1.1 000 No\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n", "the status"},
	"status 099":             {"HTTP/1.1 099 No\r\nContent-Length: 4\r\n\r\n", "the status"},
	"status 600":             {"HTTP/1.1 600 No\r\nContent-Length: 4\r\n\r\n", "the status"},
	"status 999":             {"HTTP/1.1 999 No\r\nContent-Length: 4\r\n\r\n", "the status"},
	"status of two digits":   {"HTTP/1.1 20 OK\r\nContent-Length: 4\r\n\r\n", "the status"},
	"status of four digits":  {"HTTP/1.1 2000 OK\r\nContent-Length: 4\r\n\r\n", "the status"},
	"status with a sign":     {"HTTP/1.1 +20 OK\r\nContent-Length: 4\r\n\r\n", "the status"},
	"status after a blank":   {"HTTP/1.1  200 OK\r\nContent-Length: 4\r\n\r\n", "the status"},
	"no status":              {"HTTP/1.1\r\nContent-Length: 4\r\n\r\n", "the status"},
	"control byte in reason": {"HTTP/1.1 200 O\x01K\r\nContent-Length: 4\r\n\r\n", "the status"},
	"HTTP 2.0":               {"HTTP/2.0 200 OK\r\nContent-Length: 4\r\n\r\n", "the version"},
	"HTTP 0.9":               {"HTTP/0.9 200 OK\r\nContent-Length: 4\r\n\r\n", "the version"},
	"HTTP 1.10":              {"HTTP/1.10 200 OK\r\nContent-Length: 4\r\n\r\n", "the version"},
	"another protocol":       {"SSH-2.0-OpenSSH_9.6\r\n", "the version"},
	"empty line first":       {"\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n", "the version"},
	"blank in a name":        {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nX s3cr3t: 1\r\n\r\n", "a field name"},
	"blank before the colon": {"HTTP/1.1 200 OK\r\nContent-Length : 1\r\nContent-Length: 4\r\n\r\n", "a field name"},
	"tab before the colon":   {"HTTP/1.1 200 OK\r\nContent-Length\t: 1\r\nContent-Length: 4\r\n\r\n", "a field name"},
	"control byte in a name": {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nX\x01s3cr3t: 1\r\n\r\n", "a field name"},
	"NUL in a name":          {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nX\x00Y: 1\r\n\r\n", "a field name"},
	"no name":                {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n: 1\r\n\r\n", "a field name"},
	"non-ASCII in a name":    {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nX\xc3\xa9: 1\r\n\r\n", "a field name"},
	"no colon":               {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\ns3cr3t\r\n\r\n", "a field without"},
	"folded line":            {"HTTP/1.1 200 OK\r\nX-Long: a\r\n s3cr3t\r\nContent-Length: 4\r\n\r\n", "a folded"},
	"folded length":          {"HTTP/1.1 200 OK\r\nContent-Length:\r\n\t4\r\n\r\n", "Content-Length is not"},
	"folded first line":      {"HTTP/1.1 200 OK\r\n X: 1\r\nContent-Length: 4\r\n\r\n", "a folded"},
	"two lengths":            {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 2\r\n\r\n", "more than one"},
	"the same length twice":  {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 4\r\n\r\n", "more than one"},
	"a list of lengths":      {"HTTP/1.1 200 OK\r\nContent-Length: 4, 4\r\n\r\n", "Content-Length is not"},
	"a length with a sign":   {"HTTP/1.1 200 OK\r\nContent-Length: +4\r\n\r\n", "Content-Length is not"},
	"an empty length":        {"HTTP/1.1 200 OK\r\nContent-Length:\r\n\r\n", "Content-Length is not"},
	"a huge length":          {"HTTP/1.1 200 OK\r\nContent-Length: 99999999999999999999\r\n\r\n", "Content-Length is not"},
	"length and encoding": {
		"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfour\r\n0\r\n\r\n", "Content-Length beside",
	},
	"encoding and length": {
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n4\r\nfour\r\n0\r\n\r\n", "Content-Length beside",
	},
	"encoding in HTTP 1.0": {"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfour\r\n0\r\n\r\n", "Transfer-Encoding in"},
	"unknown encoding":     {"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n", "Transfer-Encoding is not"},
	"two encodings":        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n4\r\nfour\r\n0\r\n\r\n", "Transfer-Encoding is not"},
	"the encoding twice": {
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfour\r\n0\r\n\r\n", "more than one",
	},
	"control byte in a value": {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nX: a\x01b\r\n\r\n", "a field value"},
	"NUL in a value":          {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nX: a\x00b\r\n\r\n", "a field value"},
	"DEL in a value":          {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nX: a\x7fb\r\n\r\n", "a field value"},
	"bare CR in a value":      {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nX: a\rY: b\r\n\r\n", "a field value"},
	"informational response with a bad name": {
		"HTTP/1.1 103 Early Hints\r\nX : 1\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n", "a field name",
	},
	"response with status 000 after an informational one": {
		"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 000 OK\r\nContent-Length: 4\r\n\r\n", "the status",
	},
}

// respondOnce serves each connection by reading a request and writing a text. It keeps the connection open until the client closes it,
// and sends true to closed when the client has.
func respondOnce(text string, closed chan<- bool) func(net.Conn) {
	return func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		reader := bufio.NewReader(conn)
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		_, _ = io.WriteString(conn, text)
		_, _ = reader.ReadByte()
		closed <- true
	}
}

// TestInvalidHeads guards against a head that is passed on although it is not valid: its lines mean another thing to the next reader,
// or the bytes after it are taken for a response that the target did not send.
func TestInvalidHeads(t *testing.T) {
	for name, c := range invalidHeads {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			closed := make(chan bool, 1)
			address := serveConns(t, respondOnce(c.head+"four", closed))
			_, err := send(t.Context(), newClient(), newRun(address, 2*time.Second), httptest.NewRequest(http.MethodGet, "/", nil))
			assertProblem(is, err, fleet.Broken, fleet.MayHaveRun)
			var problem fleet.Problem
			is.True(errors.As(err, &problem))
			is.True(strings.HasPrefix(problem.Detail, "the response is invalid: "+c.fault)) // the fault is named
			is.True(!strings.Contains(problem.Detail, secret))                              // without raw bytes
			is.True(len(problem.Detail) < 200)
			select {
			case <-closed:
			case <-time.After(2 * time.Second):
				t.Fatal("the connection is open")
			}
		})
	}
}

// TestLongReason guards against a reason of any length in log lines.
func TestLongReason(t *testing.T) {
	is := is.New(t)
	text := "HTTP/1.1 500 " + strings.Repeat("long ", 1000) + "\r\nContent-Length: 0\r\n\r\n"
	address := serveConns(t, respondOnce(text, make(chan bool, 1)))
	response, err := newClient().Run(t.Context(), newRun(address, 2*time.Second), httptest.NewRequest(http.MethodGet, "/", nil))
	is.NoErr(err)
	is.NoErr(response.Body.Close())
	is.True(len(response.Status) < 200)
}

// TestValidHeads guards against refusing what the grammar allows.
func TestValidHeads(t *testing.T) {
	for name, head := range map[string]string{
		"no reason":                "HTTP/1.1 200\r\nContent-Length: 4\r\n\r\n",
		"empty reason":             "HTTP/1.1 200 \r\nContent-Length: 4\r\n\r\n",
		"reason with a tab":        "HTTP/1.1 200 O\tK \xc3\xa9\r\nContent-Length: 4\r\n\r\n",
		"lines that end with LF":   "HTTP/1.1 200 OK\nContent-Length: 4\n\n",
		"every byte of a token":    "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09azAZ: 1\r\nContent-Length: 4\r\n\r\n",
		"non-ASCII in a value":     "HTTP/1.1 200 OK\r\nX: caf\xc3\xa9 \xff\r\nContent-Length: 4\r\n\r\n",
		"blanks around a value":    "HTTP/1.1 200 OK\r\nX:\t a\tb \t\r\nContent-Length:  4\t\r\n\r\n",
		"empty value":              "HTTP/1.1 200 OK\r\nX:\r\ncontent-length: 4\r\n\r\n",
		"length with zeros":        "HTTP/1.1 200 OK\r\nContent-Length: 0004\r\n\r\n",
		"no blank after the colon": "HTTP/1.1 200 OK\r\nContent-Length:4\r\n\r\n",
		"status 599":               "HTTP/1.1 599 Odd\r\nContent-Length: 4\r\n\r\n",
		"informational responses":  "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 199 Odd\r\nX: 1\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n",
		"HTTP 1.0 with a length":   "HTTP/1.0 200 OK\r\nContent-Length: 4\r\n\r\n",
		"chunks":                   "HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n4\r\nfour\r\n0\r\nX: 1\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			text := head
			if !strings.Contains(head, "four") {
				text += "four"
			}
			address := serveConns(t, respondOnce(text, make(chan bool, 1)))
			body, err := send(t.Context(), newClient(), newRun(address, 2*time.Second), httptest.NewRequest(http.MethodGet, "/", nil))
			is.NoErr(err)
			is.Equal(body, "four")
		})
	}
}
