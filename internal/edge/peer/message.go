package peer

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/event"
	"jayfold.dev/jayfold/internal/core/fleet"
	"jayfold.dev/jayfold/internal/edge/recovery"
)

const (
	// messageDialTimeout bounds the opening of a connection. It equals the interval of membership probes.
	messageDialTimeout = time.Second
	// callTimeout bounds one RPC. If the peer does not reply within it, the connection is closed.
	callTimeout = 2 * time.Second
	// messageIdleTimeout is the time after which an unused connection is closed. A node starts about two exchanges a second
	// with changing peers, so about 30 connections are open at a time, independently of the fleet's size.
	messageIdleTimeout = 15 * time.Second
	// peerQueueLength bounds the queued messages for one peer.
	peerQueueLength = 32
)

// MessengerSeams are the external dependencies of a Messenger.
type MessengerSeams struct {
	Post func(event.Body)
	// Observe executes effect.AddToCounter and effect.WriteLog. It is called from any goroutine and must not block.
	Observe func(effect.Effect)
	// Dial opens a connection. If it is nil, net.DialTimeout is used.
	Dial func(network, address string, timeout time.Duration) (net.Conn, error)
	// Recovery contains panics of messages and connections; nil contains none.
	Recovery *recovery.Boundary
}

// timeouts are the timeouts of an outbound connection.
type timeouts struct {
	dial, call, idle time.Duration
}

// Messenger sends the messages of the core to the other nodes over net/rpc and receives theirs:
//
//	messenger := peer.NewMessenger(self, peer.MessengerSeams{Post: loop.Post, Observe: op.Observe})
//	go messenger.Serve(listener)
//	messenger.Send(send) // executes effect.SendMessage and never blocks
//	defer messenger.Close()
//
// Messages are one-way. Each peer has one cached connection, one bounded queue and one goroutine, which are released once
// nothing has been sent to the peer for messageIdleTimeout. A message that cannot be delivered is dropped. If the peer
// cannot be reached, the messages queued behind it are dropped as well and event.MessageSendFailed is posted.
type Messenger struct {
	self     fleet.NodeID
	address  string
	seams    MessengerSeams
	timeouts timeouts

	mu      sync.Mutex
	senders map[string]*messageSender
	closed  bool
	inbound map[net.Conn]struct{}

	sent, received atomic.Int64
}

// NewMessenger returns the messenger of the node with the given member record.
func NewMessenger(self fleet.Member, seams MessengerSeams) *Messenger {
	if seams.Dial == nil {
		seams.Dial = net.DialTimeout
	}
	return &Messenger{
		self:     self.Node,
		address:  self.PeerAddress,
		seams:    seams,
		timeouts: timeouts{dial: messageDialTimeout, call: callTimeout, idle: messageIdleTimeout},
		senders:  make(map[string]*messageSender),
		inbound:  make(map[net.Conn]struct{}),
	}
}

// Send queues a message for a peer. It never blocks: if the queue is full, the message is dropped and counted.
func (m *Messenger) Send(send effect.SendMessage) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return
	}
	s, ok := m.senders[send.Address]
	if !ok {
		s = &messageSender{messenger: m, address: send.Address, queue: make(chan effect.SendMessage, peerQueueLength)}
		m.senders[send.Address] = s
		m.seams.Recovery.Go("send messages", s.run, func() { m.remove(s) })
	}
	select {
	case s.queue <- send:
	default:
		m.count("peer_messages_dropped", "QueueFull")
	}
}

// Close closes the inbound connections and all queues. It does not wait for the messages that are still queued, which are sent
// before their connection closes.
func (m *Messenger) Close() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return
	}
	m.closed = true
	for _, s := range m.senders {
		close(s.queue)
	}
	for conn := range m.inbound {
		_ = conn.Close()
	}
}

// Traffic returns the total bytes sent and received over all connections, without TCP and IP headers.
func (m *Messenger) Traffic() (sent, received int64) {
	return m.sent.Load(), m.received.Load()
}

// Connections returns the number of connections in each direction. Each peer with a queue counts as one outbound connection,
// even while none is open.
func (m *Messenger) Connections() (outbound, inbound int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.senders), len(m.inbound)
}

// removeIfIdle removes a sender with an empty queue. It reports whether the sender was removed.
func (m *Messenger) removeIfIdle(s *messageSender) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed || len(s.queue) > 0 {
		return false
	}
	delete(m.senders, s.address)
	return true
}

// remove removes a sender that has failed, so that the next message starts a new one.
func (m *Messenger) remove(s *messageSender) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.senders, s.address)
}

func (m *Messenger) count(name, cause string) {
	m.seams.Observe(effect.AddToCounter{Name: name, Labels: []effect.Label{{Name: "cause", Value: cause}}, Delta: 1})
}

func (m *Messenger) warn(text, address string, err error) {
	m.seams.Observe(effect.WriteLog{
		Level:     effect.Warn,
		Component: "peer",
		Message:   text,
		Fields:    []effect.LogField{{Name: "Address", Value: address}, {Name: "Error", Value: err.Error()}},
	})
}

// countingConn counts the bytes sent and received on a connection.
type countingConn struct {
	net.Conn
	sent, received *atomic.Int64
}

// Read implements io.Reader.
func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.received.Add(int64(n))
	return n, err
}

// Write implements io.Writer.
func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.sent.Add(int64(n))
	return n, err
}
