package httpresponse

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
)

const (
	// maxHeadBytes bounds the status line and headers of a response, together with the informational responses before it. It equals the
	// default limit for a caller's headers. A server that writes a head without end would otherwise fill the memory of the node.
	maxHeadBytes = 64 << 10
	// bufferBytes is enough for the head of a typical response. A longer head doubles the buffer as often as necessary.
	bufferBytes = 4 << 10
	// maxStatusBytes bounds the status with its reason, which appears in log lines.
	maxStatusBytes = 128
)

var (
	errHeadTooLarge      = fmt.Errorf("the head of the response exceeds %d bytes", maxHeadBytes)
	errSwitchedProtocols = errors.New("the target switched protocols without a request to do so")
)

// Reader reads the responses on one connection.
type Reader struct {
	source   io.Reader
	buffered *bufio.Reader
}

// NewReader returns a reader of the responses from source.
func NewReader(source io.Reader) *Reader {
	return &Reader{source: source, buffered: bufio.NewReaderSize(source, bufferBytes)}
}

// Buffered returns the number of bytes that have been read from the source and belong to no response so far.
func (r *Reader) Buffered() int { return r.buffered.Buffered() }

// ReadResponse reads the head of the next response that is not informational. Its body must be read to the end before the next call.
func (r *Reader) ReadResponse(request *http.Request) (*http.Response, error) {
	for allowed := maxHeadBytes; ; {
		size, _, err := r.peekHead(0, allowed)
		if err != nil {
			return nil, err
		}
		allowed -= size
		response, err := http.ReadResponse(r.buffered, request)
		switch {
		case err != nil:
			return nil, errUnparsed
		case response.StatusCode == http.StatusSwitchingProtocols:
			return nil, errSwitchedProtocols
		case response.StatusCode >= http.StatusOK:
			response.Status = response.Status[:min(len(response.Status), maxStatusBytes)]
			return response, nil
		}
	}
}

// peekHead reads a head into the buffer, without consuming it, and checks it line by line. The head begins at the given offset and has
// at most the allowed number of bytes. peekHead returns its size and its status.
func (r *Reader) peekHead(offset, allowed int) (size, status int, err error) {
	var check headCheck
	for end := offset; ; {
		line, err := r.peekLine(end, offset+allowed)
		if err != nil {
			return 0, 0, err
		}
		done, err := check.addLine(line)
		if err != nil {
			return 0, 0, err
		}
		end += len(line)
		if done {
			return end - offset, check.status, nil
		}
	}
}

// peekLine reads the line that begins at an offset into the buffer, without consuming it. The line ends before the limit.
func (r *Reader) peekLine(offset, limit int) ([]byte, error) {
	for searched := offset; ; {
		peeked, err := r.buffered.Peek(r.buffered.Buffered())
		if err != nil {
			return nil, err
		}
		if searched < len(peeked) {
			if i := bytes.IndexByte(peeked[searched:], '\n'); i >= 0 && searched+i < limit {
				return peeked[offset : searched+i+1], nil
			}
		}
		searched = max(searched, len(peeked))
		if searched >= limit {
			return nil, errHeadTooLarge
		}
		if len(peeked) == r.buffered.Size() {
			r.grow(peeked)
		}
		if _, err := r.buffered.Peek(len(peeked) + 1); err != nil {
			return nil, unexpectedEnd(err)
		}
	}
}

// grow doubles the buffer, which holds the given bytes.
func (r *Reader) grow(held []byte) {
	rest := io.MultiReader(bytes.NewReader(bytes.Clone(held)), r.source)
	r.buffered = bufio.NewReaderSize(rest, 2*len(held))
}

// unexpectedEnd returns the error for a head that is cut off.
func unexpectedEnd(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
