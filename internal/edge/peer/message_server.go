package peer

import (
	"errors"
	"net"
	"net/rpc"
	"sync/atomic"
	"time"

	"jayfold.dev/jayfold/internal/core/event"
)

const (
	// inwardIdleTimeout closes connections on which a peer is silent; peers close theirs earlier.
	inwardIdleTimeout = 4 * messageIdleTimeout
	// inwardLimit bounds the connections of peers. Every node of a fleet of 540 may call at once.
	inwardLimit = 2048
	// framingLimit is the room for what net/rpc adds to a message.
	framingLimit = 4 << 10
)

// Serve takes messages from peers until the listener or the messenger closes.
func (m *Messenger) Serve(listener net.Listener) error {
	server := rpc.NewServer()
	if err := server.RegisterName("Node", &receiver{messenger: m}); err != nil {
		return err
	}
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return err
		}
		if !m.admit(conn) {
			m.count("peer_connections_refused", "Limit")
			_ = conn.Close()
			continue
		}
		go func() {
			defer m.dismiss(conn)
			server.ServeConn(&inward{Conn: counted{conn, &m.sent, &m.received}})
		}()
	}
}

func (m *Messenger) admit(conn net.Conn) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.closed || len(m.inward) >= inwardLimit {
		return false
	}
	m.inward[conn] = struct{}{}
	return true
}

func (m *Messenger) dismiss(conn net.Conn) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	delete(m.inward, conn)
}

// receiver is what net/rpc calls.
type receiver struct {
	messenger *Messenger
}

// Deliver takes one encoded message. It answers before the message has any effect.
func (r *receiver) Deliver(in []byte, out *[]byte) error {
	*out = []byte{}
	envelope, err := decode(in)
	if err != nil {
		r.messenger.count("peer_messages_refused", "Undecodable")
		return err
	}
	r.messenger.seams.Post(event.MessageReceived{Envelope: envelope})
	return nil
}

// inward is a connection of a peer. It limits what is read between two answers, so that an oversized message ends the
// connection before it takes memory, and it closes on a silent peer.
type inward struct {
	net.Conn
	unanswered atomic.Int64
}

// Read implements io.Reader.
func (c *inward) Read(p []byte) (int, error) {
	if c.unanswered.Load() > contentLimit+framingLimit {
		return 0, errTooLarge
	}
	if err := c.SetReadDeadline(time.Now().Add(inwardIdleTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	c.unanswered.Add(int64(n))
	return n, err
}

// Write implements io.Writer.
func (c *inward) Write(p []byte) (int, error) {
	c.unanswered.Store(0)
	return c.Conn.Write(p)
}
