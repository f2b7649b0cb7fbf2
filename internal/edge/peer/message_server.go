package peer

import (
	"errors"
	"net"
	"net/rpc"
	"time"

	"jayfold.dev/jayfold/internal/core/event"
)

const (
	// inboundIdleTimeout is the time after which an idle inbound connection is closed. Peers normally close theirs earlier.
	inboundIdleTimeout = 4 * messageIdleTimeout
	// maxInboundConns bounds the inbound connections. All nodes of a fleet of 540 may connect at the same time.
	maxInboundConns = 2048
	// framingLimit bounds the bytes that net/rpc adds to a message.
	framingLimit = 4 << 10
)

var errDeliveryFailed = errors.New("peer: the delivery failed with an internal error")

// Serve receives messages from peers until the listener is closed.
func (m *Messenger) Serve(listener net.Listener) error {
	server := rpc.NewServer()
	if err := server.RegisterName("Node", &nodeService{messenger: m}); err != nil {
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
		if !m.addInbound(conn) {
			m.count("peer_connections_refused", "Limit")
			_ = conn.Close()
			continue
		}
		m.seams.Recovery.Go("serve peer", func() {
			defer m.removeInbound(conn)
			server.ServeConn(newInboundConn(countingConn{conn, &m.sent, &m.received}))
		}, nil)
	}
}

func (m *Messenger) addInbound(conn net.Conn) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed || len(m.inbound) >= maxInboundConns {
		return false
	}
	m.inbound[conn] = struct{}{}
	return true
}

func (m *Messenger) removeInbound(conn net.Conn) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.inbound, conn)
}

// nodeService is the receiver that is registered with net/rpc under the name Node.
type nodeService struct {
	messenger *Messenger
}

// Deliver decodes a message and posts it as an event. It replies before the event has been handled.
func (s *nodeService) Deliver(in []byte, out *[]byte) error {
	*out = []byte{}
	err := errDeliveryFailed
	// net/rpc runs this method on a goroutine of its own.
	s.messenger.seams.Recovery.Do("deliver message", func() { err = s.deliver(in) })
	return err
}

func (s *nodeService) deliver(in []byte) error {
	envelope, err := decode(in)
	if err != nil {
		s.messenger.count("peer_messages_refused", "Undecodable")
		return err
	}
	s.messenger.seams.Post(event.MessageReceived{Envelope: envelope})
	return nil
}

// inboundConn is a connection that a peer has opened. It has an idle timeout, and limits the bytes read between two replies, so that
// an oversized message ends the connection before it takes memory.
type inboundConn struct {
	*boundedConn
}

func newInboundConn(conn net.Conn) inboundConn {
	return inboundConn{newBoundedConn(conn, contentLimit+framingLimit)}
}

// Read implements io.Reader.
func (c inboundConn) Read(p []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(inboundIdleTimeout)); err != nil {
		return 0, err
	}
	return c.boundedConn.Read(p)
}
