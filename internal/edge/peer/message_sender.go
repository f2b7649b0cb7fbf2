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

// deliverMethod is the only method between nodes.
const deliverMethod = "Node.Deliver"

// errCallTimeout says that a peer did not answer a call in time.
var errCallTimeout = errors.New("peer: no answer within the call timeout")

// messageSender sends the messages for one peer, one at a time. Its goroutine owns the connection.
type messageSender struct {
	messenger *Messenger
	address   string
	queue     chan effect.SendMessage
	client    *rpc.Client
}

// run sends what is queued until the link is idle or the messenger closes.
func (l *messageSender) run() {
	defer l.closeClient()
	limit := l.messenger.timeouts.idle
	idle := time.NewTimer(limit)
	defer idle.Stop()
	for {
		select {
		case send, ok := <-l.queue:
			if !ok {
				return
			}
			l.deliver(send)
			idle.Reset(limit)
		case <-idle.C:
			if l.messenger.removeIfIdle(l) {
				return
			}
			idle.Reset(limit)
		}
	}
}

// deliver hands one message over, or drops it with everything behind it when the peer cannot be reached.
func (l *messageSender) deliver(send effect.SendMessage) {
	encoded, err := encode(message.Envelope{
		From:        l.messenger.self,
		Incarnation: send.Incarnation,
		Address:     l.messenger.address,
		Revision:    send.Revision,
		Message:     send.Message,
	})
	if err != nil {
		l.messenger.count("peer_messages_dropped", "Encoding")
		l.messenger.warn("message not encoded", l.address, err)
		return
	}
	err = l.callWithRedial(encoded)
	var refused rpc.ServerError
	switch {
	case err == nil:
	case errors.As(err, &refused):
		l.messenger.count("peer_messages_dropped", "Refused")
		l.messenger.warn("message refused by peer", l.address, err)
	default:
		l.dropUnreachable(send.To, 1)
	}
}

// callWithRedial calls the peer. A cached connection that turns out to be broken is replaced once, since the peer may have
// restarted; receiving a message twice does no harm.
func (l *messageSender) callWithRedial(encoded []byte) error {
	cached := l.client != nil
	err := l.call(encoded)
	if cached && connectionEnded(err) {
		return l.call(encoded)
	}
	return err
}

// connectionEnded reports whether the connection ended without an answer.
func connectionEnded(err error) bool {
	var refused rpc.ServerError
	return err != nil && !errors.Is(err, errCallTimeout) && !errors.As(err, &refused)
}

// call makes one call, dialing first when there is no connection, and hangs up unless the peer answered.
func (l *messageSender) call(encoded []byte) error {
	if l.client == nil {
		conn, err := l.messenger.seams.Dial("tcp", l.address, l.messenger.timeouts.dial)
		if err != nil {
			return err
		}
		l.client = rpc.NewClient(countingConn{conn, &l.messenger.sent, &l.messenger.received})
	}
	var out []byte
	call := l.client.Go(deliverMethod, encoded, &out, make(chan *rpc.Call, 1))
	deadline := time.NewTimer(l.messenger.timeouts.call)
	defer deadline.Stop()
	err := errCallTimeout
	select {
	case <-call.Done:
		err = call.Error
	case <-deadline.C:
	}
	var refused rpc.ServerError
	if err != nil && !errors.As(err, &refused) {
		l.closeClient()
	}
	return err
}

// dropUnreachable drops the messages that wait behind a dropUnreachable one and reports the failure once.
func (l *messageSender) dropUnreachable(to fleet.NodeID, dropped int64) {
	for range len(l.queue) {
		<-l.queue
		dropped++
	}
	l.messenger.seams.Observe(effect.AddToCounter{
		Name:   "peer_messages_dropped",
		Labels: []effect.Label{{Name: "cause", Value: "Unreachable"}},
		Delta:  dropped,
	})
	l.messenger.seams.Post(event.MessageSendFailed{To: to})
}

func (l *messageSender) closeClient() {
	if l.client != nil {
		_ = l.client.Close()
		l.client = nil
	}
}
