package peer

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/event"
	"jayfold.dev/jayfold/internal/core/fleet"
)

const (
	// messageDialTimeout bounds the wait for a connection. It is the period of the probes.
	messageDialTimeout = time.Second
	// callTimeout bounds one call; a connection that is silent for longer is closed.
	callTimeout = 2 * time.Second
	// messageIdleTimeout closes unused connections. A node starts about two exchanges a second with peers that change, so about
	// 30 connections are open at a time, whatever the size of the fleet.
	messageIdleTimeout = 15 * time.Second
	// peerQueueLength bounds the messages that wait for one peer.
	peerQueueLength = 32
)

// MessengerSeams are what a Messenger needs from outside.
type MessengerSeams struct {
	Post func(event.Body)
	// Observe takes effect.AddToCounter and effect.WriteLog from any goroutine and does not block.
	Observe func(effect.Effect)
	// Dial opens a connection; nil means TCP.
	Dial func(network, address string, timeout time.Duration) (net.Conn, error)
}

// timeouts are the limits on an outward connection.
type timeouts struct {
	dial, call, idle time.Duration
}

// Messenger sends the messages of the core to the other nodes over net/rpc and receives theirs:
//
//	messenger := peer.NewMessenger(self, peer.MessengerSeams{Post: loop.Post, Observe: operator.Observe})
//	go messenger.Serve(listener)
//	messenger.Send(send) // carries out effect.SendMessage and never blocks
//	defer messenger.Close()
//
// Messages are one-way. Each peer has one cached connection, one bounded queue and one goroutine, which end when nothing
// was sent to the peer for messageIdleTimeout. A message that cannot be delivered is lost; event.MessageSendFailed reports it.
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

// NewMessenger returns the messenger of the node with the given record.
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

// Send queues a message for a peer. It never blocks: a message that finds the queue full is dropped and counted.
func (m *Messenger) Send(send effect.SendMessage) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return
	}
	l, ok := m.senders[send.Address]
	if !ok {
		l = &messageSender{messenger: m, address: send.Address, queue: make(chan effect.SendMessage, peerQueueLength)}
		m.senders[send.Address] = l
		go l.run()
	}
	select {
	case l.queue <- send:
	default:
		m.count("peer_messages_dropped", "QueueFull")
	}
}

// Close ends all connections and drops what is queued.
func (m *Messenger) Close() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return
	}
	m.closed = true
	for _, l := range m.senders {
		close(l.queue)
	}
	for conn := range m.inbound {
		_ = conn.Close()
	}
}

// Traffic returns the bytes sent and received over all connections so far, without the headers of TCP and IP.
func (m *Messenger) Traffic() (sent, received int64) {
	return m.sent.Load(), m.received.Load()
}

// Connections returns the number of connections that are open in each direction.
func (m *Messenger) Connections() (outward, inward int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.senders), len(m.inbound)
}

// removeIfIdle removes a link that has nothing left to send, and reports whether it did.
func (m *Messenger) removeIfIdle(l *messageSender) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed || len(l.queue) > 0 {
		return false
	}
	delete(m.senders, l.address)
	return true
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

// countingConn is a connection that counts its bytes.
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
