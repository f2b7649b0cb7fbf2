package peer

import (
	"errors"
	"net/rpc"
	"time"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/event"
	"jayfold.dev/jayfold/internal/core/fleet"
	"jayfold.dev/jayfold/internal/core/message"
)

const (
	// deliverMethod is the only RPC method between nodes.
	deliverMethod = "Node.Deliver"
	// replyLimit bounds the bytes of a reply, which is empty or an error text.
	replyLimit = framingLimit
)

// errCallTimeout is returned if a peer does not reply to an RPC within the call timeout.
var errCallTimeout = errors.New("peer: no reply within the call timeout")

// messageSender sends messages to one peer, one at a time. Its goroutine owns the connection.
type messageSender struct {
	messenger *Messenger
	address   string
	queue     chan effect.SendMessage
	client    *rpc.Client
}

// run sends the queued messages until the sender is idle or the messenger is closed.
func (s *messageSender) run() {
	defer s.closeClient()
	idleLimit := s.messenger.timeouts.idle
	idle := time.NewTimer(idleLimit)
	defer idle.Stop()
	for {
		select {
		case send, ok := <-s.queue:
			if !ok {
				return
			}
			s.deliver(send)
			idle.Reset(idleLimit)
		case <-idle.C:
			if s.messenger.removeIfIdle(s) {
				return
			}
			idle.Reset(idleLimit)
		}
	}
}

// deliver sends one message. If the peer cannot be reached, it drops the message and all that are queued behind it.
func (s *messageSender) deliver(send effect.SendMessage) {
	encoded, err := encode(message.Envelope{
		From:        s.messenger.self,
		Incarnation: send.Incarnation,
		Address:     s.messenger.address,
		Revision:    send.Revision,
		Message:     send.Message,
	})
	if err != nil {
		s.messenger.count("peer_messages_dropped", "Encoding")
		s.messenger.warn("message could not be encoded", s.address, err)
		return
	}
	err = s.callWithRedial(encoded)
	var refused rpc.ServerError
	switch {
	case err == nil:
	case errors.As(err, &refused):
		s.messenger.count("peer_messages_dropped", "Refused")
		s.messenger.warn("message refused by peer", s.address, err)
	default:
		s.dropUnreachable(send.To, 1)
	}
}

// callWithRedial calls the peer. A cached connection without a reply is replaced once: the peer may have restarted, or the connection
// may have gone silent while new ones work. Receiving a message twice is harmless.
func (s *messageSender) callWithRedial(encoded []byte) error {
	cached := s.client != nil
	err := s.call(encoded)
	var refused rpc.ServerError
	if cached && err != nil && !errors.As(err, &refused) {
		return s.call(encoded)
	}
	return err
}

// call makes one RPC. It dials first if there is no connection, and closes the connection unless the peer has replied.
func (s *messageSender) call(encoded []byte) error {
	if s.client == nil {
		conn, err := s.messenger.seams.Dial("tcp", s.address, s.messenger.timeouts.dial)
		if err != nil {
			return err
		}
		s.client = rpc.NewClient(newBoundedConn(countingConn{conn, &s.messenger.sent, &s.messenger.received}, replyLimit))
	}
	var out []byte
	call := s.client.Go(deliverMethod, encoded, &out, make(chan *rpc.Call, 1))
	deadline := time.NewTimer(s.messenger.timeouts.call)
	defer deadline.Stop()
	err := errCallTimeout
	select {
	case <-call.Done:
		err = call.Error
	case <-deadline.C:
	}
	var refused rpc.ServerError
	if err != nil && !errors.As(err, &refused) {
		s.closeClient()
	}
	return err
}

// dropUnreachable drops all queued messages, counts them together with those already dropped, and posts one
// event.MessageSendFailed.
func (s *messageSender) dropUnreachable(to fleet.NodeID, dropped int64) {
	for range len(s.queue) {
		<-s.queue
		dropped++
	}
	s.messenger.seams.Observe(effect.AddToCounter{
		Name:   "peer_messages_dropped",
		Labels: []effect.Label{{Name: "cause", Value: "Unreachable"}},
		Delta:  dropped,
	})
	s.messenger.seams.Post(event.MessageSendFailed{To: to})
}

func (s *messageSender) closeClient() {
	if s.client != nil {
		_ = s.client.Close()
		s.client = nil
	}
}
