package httpresponse

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
)

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// CheckedDial returns a dial function whose connections return an error instead of an invalid head, and instead of an end of file that
// cannot be relied on. It checks the first response of a connection and the informational responses before it.
func CheckedDial(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &checkedConn{Conn: conn, reader: NewReader(conn)}, nil
	}
}

// checkedConn is a connection whose first response is checked. Only the goroutine that reads uses its fields.
type checkedConn struct {
	net.Conn
	reader  *Reader
	checked bool
}

// Read implements io.Reader.
func (c *checkedConn) Read(p []byte) (int, error) {
	if !c.checked {
		if err := c.reader.peekFinalHead(); err != nil {
			return 0, err
		}
		c.checked = true
	}
	n, err := c.reader.buffered.Read(p)
	if errors.Is(err, io.EOF) && !EndedCleanly(c.Conn) {
		return n, io.ErrUnexpectedEOF
	}
	return n, err
}

// peekFinalHead checks the informational responses and the first other one, without consuming them.
func (r *Reader) peekFinalHead() error {
	for offset := 0; ; {
		size, status, err := r.peekHead(offset, maxHeadBytes-offset)
		if err != nil {
			return err
		}
		if status >= http.StatusOK || status == http.StatusSwitchingProtocols {
			return nil
		}
		offset += size
	}
}
