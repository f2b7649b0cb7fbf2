package caller

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
)

// requestBody is the body of a request while its handler reads it.
type requestBody struct {
	conn   *conn
	body   io.ReadCloser
	source *bufio.Reader
	// wantsContinue is true until the caller that asked for it was told to send the body.
	wantsContinue bool
	// ended is closed when the handler reads no more. complete is true if it has read the whole body.
	ended    chan struct{}
	once     sync.Once
	complete atomic.Bool
}

func newRequestBody(c *conn, r *http.Request, source *bufio.Reader) *requestBody {
	return &requestBody{
		conn: c, body: r.Body, source: source, ended: make(chan struct{}),
		wantsContinue: r.ProtoAtLeast(1, 1) && r.Header.Get("Expect") != "",
	}
}

// Read implements io.Reader.
func (b *requestBody) Read(p []byte) (int, error) {
	select {
	case <-b.ended:
		if b.complete.Load() {
			return 0, io.EOF
		}
		return 0, http.ErrBodyReadAfterClose
	default:
	}
	if b.wantsContinue {
		b.wantsContinue = false
		if _, err := io.WriteString(b.conn, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return 0, err
		}
	}
	n, err := b.body.Read(p)
	if errors.Is(err, io.EOF) {
		b.complete.Store(true)
		b.end()
	}
	return n, err
}

// Close implements io.Closer. What is left of the body is not read.
func (b *requestBody) Close() error {
	b.end()
	return nil
}

// end lets the connection read on.
func (b *requestBody) end() { b.once.Do(func() { close(b.ended) }) }
