package peer

import (
	"net"
	"sync/atomic"
)

// boundedConn limits the bytes read between two writes. net/rpc reads a message of up to 1 GB into memory, whatever is at the other
// end.
type boundedConn struct {
	net.Conn
	limit          int64
	readSinceWrite atomic.Int64
}

func newBoundedConn(conn net.Conn, limit int64) *boundedConn {
	return &boundedConn{Conn: conn, limit: limit}
}

// Read implements io.Reader.
func (c *boundedConn) Read(p []byte) (int, error) {
	if c.readSinceWrite.Load() > c.limit {
		return 0, errTooLarge
	}
	n, err := c.Conn.Read(p)
	c.readSinceWrite.Add(int64(n))
	return n, err
}

// Write implements io.Writer.
func (c *boundedConn) Write(p []byte) (int, error) {
	c.readSinceWrite.Store(0)
	return c.Conn.Write(p)
}
