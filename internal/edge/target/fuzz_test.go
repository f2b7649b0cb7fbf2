package target_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/textproto"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/fleet"
	"jayfold.dev/jayfold/internal/edge/target"
)

// textConn is a connection to a target that sends some bytes and then ends the connection cleanly.
type textConn struct {
	net.Conn
	text *bytes.Reader
}

// Read implements io.Reader.
func (c textConn) Read(p []byte) (int, error) { return c.text.Read(p) }

// Write implements io.Writer.
func (c textConn) Write(p []byte) (int, error) { return len(p), nil }

// Close implements io.Closer.
func (c textConn) Close() error { return nil }

// anyResponse is a protocol in which each response counts as the one to the request.
func anyResponse() target.Protocol {
	return target.Protocol{
		SetHeaders:   func(http.Header, effect.StartRun, time.Duration) {},
		IsMismatched: func(effect.StartRun, *http.Response, bool) bool { return false },
		IsIdentified: func(*http.Response) bool { return false },
		CheckResponse: func(effect.StartRun, *http.Response) fleet.Option[fleet.Problem] {
			return fleet.Option[fleet.Problem]{}
		},
	}
}

// received is a response as the client returns it.
type received struct {
	status int
	header http.Header
	body   []byte
}

// receive returns the response of a target that sends the given bytes.
func receive(t *testing.T, method string, text []byte) (received, error) {
	client := target.NewClient(anyResponse(), func(context.Context, string, string) (net.Conn, error) {
		return textConn{text: bytes.NewReader(text)}, nil
	}, time.Now, nil)
	response, err := client.Run(t.Context(), newRun("target", time.Minute), httptest.NewRequest(method, "/", nil))
	if err != nil {
		return received{}, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return received{status: response.StatusCode, header: response.Header, body: body}, err
}

// The grammar of RFC 9112. A line may end with a line feed alone, and the blank after the status may be missing. A byte that is not
// valid in UTF-8 matches like the replacement character.
var (
	statusLine = regexp.MustCompile(`^HTTP/1\.([0-9]) ([1-5][0-9][0-9])(?: [\t\x{20}-\x{7e}\x{80}-\x{10ffff}]*)?\r?\n`)
	fieldLine  = regexp.MustCompile("^([!#$%&'*+\\-.^_`|~0-9A-Za-z]+):([\\t\\x{20}-\\x{7e}\\x{80}-\\x{10ffff}]*)\\r?\\n")
	emptyLine  = regexp.MustCompile(`^\r?\n`)
	lastChunk  = regexp.MustCompile(`^0+[\t ]*(?:;[^\r\n]*)?\r\n`)
	chunkLine  = regexp.MustCompile(`^([0-9A-Fa-f]{1,16})[\t ]*(?:;[^\r\n]*)?\r\n`)
)

// oracle is what a target's bytes are by the grammar.
type oracle struct {
	status int
	fields []string
	// rest are the bytes after the head, and body the whole body.
	rest, body string
	// chunked is true if the body is in chunks.
	chunked bool
}

// parse reads the final response from a text by the grammar. It returns false if the text holds no whole response.
func parse(text, method string) (o oracle, ok bool) {
	for {
		status := statusLine.FindStringSubmatch(text)
		if status == nil {
			return o, false
		}
		text = text[len(status[0]):]
		o = oracle{}
		o.status, _ = strconv.Atoi(status[2])
		lengths, encodings := []string(nil), []string(nil)
		for field := fieldLine.FindStringSubmatch(text); field != nil; field = fieldLine.FindStringSubmatch(text) {
			text = text[len(field[0]):]
			value := strings.Trim(field[2], " \t")
			switch strings.ToLower(field[1]) {
			case "content-length":
				lengths = append(lengths, value)
			case "transfer-encoding":
				encodings = append(encodings, strings.ToLower(value))
			default:
				o.fields = append(o.fields, field[1], value)
			}
		}
		end := emptyLine.FindString(text)
		if end == "" || len(lengths)+len(encodings) > 1 || len(encodings) == 1 && (encodings[0] != "chunked" || status[1] == "0") {
			return o, false
		}
		text = text[len(end):]
		length := int64(-1)
		if len(lengths) == 1 {
			parsed, err := strconv.ParseUint(lengths[0], 10, 63)
			if err != nil || strings.Trim(lengths[0], "0123456789") != "" {
				return o, false
			}
			length = int64(parsed)
		}
		o.rest, o.chunked = text, len(encodings) == 1
		switch {
		case o.status == http.StatusSwitchingProtocols:
			return o, false
		case o.status < http.StatusOK:
			continue
		case method == http.MethodHead || o.status == http.StatusNoContent || o.status == http.StatusNotModified:
			return o, true
		case o.chunked:
			o.body, ok = parseChunks(text)
			return o, ok
		case length >= 0:
			if length > int64(len(text)) {
				return o, false
			}
			o.body = text[:length]
			return o, true
		}
		o.body = text
		return o, true
	}
}

// parseChunks returns the body in a text of chunks, or false if the last chunk or the end of the trailer is missing.
func parseChunks(text string) (body string, ok bool) {
	for !lastChunk.MatchString(text) {
		line := chunkLine.FindStringSubmatch(text)
		if line == nil {
			return "", false
		}
		size, err := strconv.ParseUint(line[1], 16, 63)
		text = text[len(line[0]):]
		if err != nil || size > uint64(len(text)) || !strings.HasPrefix(text[size:], "\r\n") {
			return "", false
		}
		body += text[:size]
		text = text[size+2:]
	}
	text = text[len(lastChunk.FindString(text)):]
	// The fields of a trailer are read and dropped, so that only the end of the trailer counts.
	return body, strings.HasPrefix(text, "\r\n") || strings.Contains(text, "\r\n\r\n") || strings.Contains(text, "\n\n") ||
		strings.Contains(text, "\n\r\n")
}

// FuzzTargetResponse guards against bytes of a target that give the caller a response which is not the target's whole response by the
// grammar of HTTP, and against refusing one that is.
func FuzzTargetResponse(f *testing.F) {
	for _, c := range invalidHeads {
		f.Add(c.head+"four", false)
	}
	for _, head := range earlyHeads {
		f.Add(head+"part", false)
	}
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfour", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfou",
		"HTTP/1.1 204 No\r\nContent-Length: 4\r\n\r\n", "HTTP/1.1 304 No\r\nContent-Length: 4\r\n\r\n",
		"HTTP/1.1 103 Hi\r\nX: 1\r\n\r\nHTTP/1.1 404 No\nX:1\n\nbody",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;x=y\r\nfour\r\n0\r\nX: 1\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfour\r\n0\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nF\r\nfour\r\n0\r\n\r\n",
	} {
		f.Add(text, false)
		f.Add(text, true)
	}
	f.Fuzz(func(t *testing.T, text string, head bool) {
		method := http.MethodGet
		if head {
			method = http.MethodHead
		}
		got, err := receive(t, method, []byte(text))
		want, valid := parse(text, method)
		if err != nil {
			// net/http bounds the lines of chunks and the trailer, the reader bounds the head.
			if valid && !want.chunked && len(text) < 32<<10 {
				t.Fatalf("a valid response is refused: %v", err)
			}
			return
		}
		if !valid {
			t.Fatalf("status %d, body %q: not a whole response", got.status, got.body)
		}
		if got.status != want.status || string(got.body) != want.body {
			t.Fatalf("status %d, body %q; want %d, %q", got.status, got.body, want.status, want.body)
		}
		header := http.Header{}
		for i := 0; i < len(want.fields); i += 2 {
			header.Add(textproto.CanonicalMIMEHeaderKey(want.fields[i]), want.fields[i+1])
		}
		for name, values := range got.header {
			if name != "Content-Length" && strings.Join(values, "\n") != strings.Join(header[name], "\n") {
				t.Fatalf("header %s: %q; want %q", name, values, header[name])
			}
		}
	})
}
