package caller

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"net/textproto"
	"strings"
	"sync"
	"time"

	"jayfold.dev/jayfold/internal/core/fleet"
)

// maxEmptyLines is the number of empty lines before a request that are skipped (RFC 9112, section 2.2).
const maxEmptyLines = 4

var errEmptyLines = badRequest("empty lines before the request line")

// readHead reads the head of a request, whose first bytes have been received, and counts its lines. The result is valid until the next
// read. Errors of type fleet.Problem are refusals.
func (c *conn) readHead() (head []byte, lines int, err error) {
	limit, maxLines := c.server.maxHeadBytes(), c.server.maxHeadLines()
	line, empty, timed := 0, 0, false
	fill := func() error {
		if !timed {
			timed = true
			_ = c.socket.SetReadDeadline(time.Now().Add(c.server.headerTimeout))
		}
		return c.input.fill()
	}
	for {
		received := c.input.bytes()
		n := bytes.IndexByte(received[line:], '\n')
		switch {
		case n < 0 && len(received) > limit, n >= 0 && line+n >= limit:
			return nil, 0, errHeadersTooLarge
		case lines > maxLines:
			return nil, 0, errTooManyLines
		case n < 0:
			if err := fill(); err != nil {
				return nil, 0, err
			}
		case n > 1 || n == 1 && received[line] != '\r':
			line += n + 1
			lines++
		case line == 0:
			if empty++; empty > maxEmptyLines {
				return nil, 0, errEmptyLines
			}
			c.input.use(n + 1)
		default:
			return received[:line+n+1], lines, nil
		}
	}
}

// requestReader is the source of http.ReadRequest: first the head, and then the body from the connection.
type requestReader struct {
	head []byte
	body io.Reader
}

// Read implements io.Reader.
func (r *requestReader) Read(p []byte) (int, error) {
	if len(r.head) > 0 {
		n := copy(p, r.head)
		r.head = r.head[n:]
		return n, nil
	}
	if r.body == nil {
		return 0, io.EOF
	}
	return r.body.Read(p)
}

var requestReaders = sync.Pool{New: func() any { return bufio.NewReader(nil) }}

// parse parses a head and takes it from the input. The body is nil if the request has none.
func (c *conn) parse(head []byte) (*http.Request, *requestBody, error) {
	fields, detail := checkHead(head)
	if detail != "" {
		return nil, nil, badRequest(detail)
	}
	source := &requestReader{head: head}
	reader := requestReaders.Get().(*bufio.Reader)
	reader.Reset(source)
	request, err := http.ReadRequest(reader)
	if err != nil {
		return nil, nil, badRequest("the head of the request is malformed")
	}
	c.input.use(len(head))
	if detail := checkRequest(request, fields); detail != "" {
		return nil, nil, badRequest(detail)
	}
	request.RemoteAddr = c.remote
	request = request.WithContext(c.ctx)
	if request.ContentLength == 0 {
		request.Body = http.NoBody
		releaseReader(reader)
		return request, nil, nil
	}
	if c.bodyBuffered(request) {
		request.Body = io.NopCloser(bytes.NewReader(bytes.Clone(c.input.bytes()[:request.ContentLength])))
		c.input.use(int(request.ContentLength))
		releaseReader(reader)
		return request, nil, nil
	}
	source.body = &c.input
	body := newRequestBody(c, request, reader)
	request.Body = body
	return request, body, nil
}

// bodyBuffered reports whether the whole body of a request has been received already.
func (c *conn) bodyBuffered(r *http.Request) bool {
	return r.ContentLength > 0 && r.ContentLength <= int64(len(c.input.bytes())) && r.Header.Get("Expect") == ""
}

func releaseReader(r *bufio.Reader) {
	r.Reset(nil)
	requestReaders.Put(r)
}

// headFields counts the header lines on which the meaning of a request depends.
type headFields struct{ hosts, lengths, codings int }

// checkHead checks the lines of a head. It also returns a description of the first fault, or "".
func checkHead(head []byte) (fields headFields, fault string) {
	_, rest, _ := bytes.Cut(head, []byte("\n"))
	for {
		var line []byte
		line, rest, _ = bytes.Cut(rest, []byte("\n"))
		line = bytes.TrimSuffix(line, []byte("\r"))
		if len(line) == 0 {
			break
		}
		if line[0] == ' ' || line[0] == '\t' {
			return fields, "a folded header line"
		}
		name, value, found := bytes.Cut(line, []byte(":"))
		if !found || !isToken(name) {
			return fields, "a header line without a valid name"
		}
		if !isFieldValue(value) {
			return fields, "a header value with a control character"
		}
		switch {
		case equalFold(name, "Host"):
			fields.hosts++
		case equalFold(name, "Content-Length"):
			fields.lengths++
		case equalFold(name, "Transfer-Encoding"):
			fields.codings++
		}
	}
	switch {
	case fields.hosts > 1:
		return fields, "more than one Host header"
	case fields.lengths+fields.codings > 1:
		return fields, "more than one length of the body"
	default:
		return fields, ""
	}
}

func equalFold(name []byte, want string) bool {
	return len(name) == len(want) && strings.EqualFold(string(name), want)
}

// checkRequest checks what http.ReadRequest allows and HTTP does not.
func checkRequest(r *http.Request, fields headFields) string {
	switch {
	case r.ProtoMajor != 1:
		return "want HTTP/1.0 or HTTP/1.1"
	case r.ProtoAtLeast(1, 1) && fields.hosts == 0:
		return "the Host header is missing"
	case !r.ProtoAtLeast(1, 1) && fields.codings > 0:
		return "a Transfer-Encoding header in HTTP/1.0"
	case !isHost(r.Host):
		return "the Host header is malformed"
	}
	expect := textproto.TrimString(r.Header.Get("Expect"))
	if expect != "" && !strings.EqualFold(expect, "100-continue") {
		return "the Expect header is not supported"
	}
	return ""
}

// isToken reports whether a header name consists of the characters that HTTP allows.
func isToken(name []byte) bool {
	for _, b := range name {
		if !tokenBytes[b] {
			return false
		}
	}
	return len(name) > 0
}

// tokenBytes has the characters of tokens (RFC 9110, section 5.6.2).
var tokenBytes = func() (allowed [256]bool) {
	for _, b := range []byte("!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ") {
		allowed[b] = true
	}
	return allowed
}()

// isHost reports whether a Host header has only characters that a host and a port can have. An empty one is valid.
func isHost(host string) bool {
	for i := range len(host) {
		if b := host[i]; !tokenBytes[b] && !strings.ContainsRune("():;,=[]", rune(b)) || b == '^' || b == '`' || b == '|' || b == '#' {
			return false
		}
	}
	return true
}

func isFieldValue(value []byte) bool {
	for _, b := range value {
		if b < ' ' && b != '\t' || b == 0x7f {
			return false
		}
	}
	return true
}

// refuseHead handles an error in reading a head. A problem is the response to the last request of the connection.
func (c *conn) refuseHead(err error) error {
	problem, ok := errors.AsType[fleet.Problem](err)
	if !ok {
		return err
	}
	c.server.limitReached(reasonOf(problem))
	request := &http.Request{Method: http.MethodGet, ProtoMajor: 1, ProtoMinor: 1, Header: http.Header{}, Body: http.NoBody}
	x := newResponseFor(c, request, nil)
	x.last, x.concurrent = true, true
	c.setLinger()
	if err := c.start(x, func() { c.server.protocol.Refuse(x, c.server.seams.NewRequestID(), problem) }); err != nil {
		return err
	}
	return errStopped
}

// reasonOf returns the reason under which the refusal of a head is counted.
func reasonOf(problem fleet.Problem) string {
	switch problem {
	case errNoMemory:
		return "memory"
	case errHeadersTooLarge:
		return "head_bytes"
	case errTooManyLines:
		return "head_lines"
	case errEmptyLines:
		return "empty_lines"
	default:
		return "head_syntax"
	}
}
