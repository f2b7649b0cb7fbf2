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

// errSilent says that a peer did not answer a call in time.
var errSilent = errors.New("peer: no answer within the call timeout")

// messageLink sends the messages for one peer, one at a time. Its goroutine owns the connection.
type messageLink struct {
	messenger *Messenger
	address   string
	queue     chan effect.SendMessage
	client    *rpc.Client
}

// run sends what is queued until the link is idle or the messenger closes.
func (l *messageLink) run() {
	defer l.hangUp()
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
			if l.messenger.retire(l) {
				return
			}
			idle.Reset(limit)
		}
	}
}

// deliver hands one message over, or drops it with everything behind it when the peer cannot be reached.
func (l *messageLink) deliver(send effect.SendMessage) {
	encoded, err := encode(message.Envelope{
		From:        l.messenger.self,
		Incarnation: send.Incarnation,
		Address:     l.messenger.own,
		Revision:    send.Revision,
		Message:     send.Message,
	})
	if err != nil {
		l.messenger.count("peer_messages_dropped", "Encoding")
		l.messenger.warn("message not encoded", l.address, err)
		return
	}
	err = l.attempt(encoded)
	var refused rpc.ServerError
	switch {
	case err == nil:
	case errors.As(err, &refused):
		l.messenger.count("peer_messages_dropped", "Refused")
		l.messenger.warn("message refused by peer", l.address, err)
	default:
		l.failed(send.To, 1)
	}
}

// attempt calls the peer. A cached connection that turns out to be broken is replaced once, since the peer may have
// restarted; receiving a message twice does no harm.
func (l *messageLink) attempt(encoded []byte) error {
	cached := l.client != nil
	err := l.call(encoded)
	if cached && callBroken(err) {
		return l.call(encoded)
	}
	return err
}

// callBroken reports whether the connection ended without an answer.
func callBroken(err error) bool {
	var refused rpc.ServerError
	return err != nil && !errors.Is(err, errSilent) && !errors.As(err, &refused)
}

// call makes one call, dialing first when there is no connection, and hangs up unless the peer answered.
func (l *messageLink) call(encoded []byte) error {
	if l.client == nil {
		conn, err := l.messenger.seams.Dial("tcp", l.address, l.messenger.timeouts.dial)
		if err != nil {
			return err
		}
		l.client = rpc.NewClient(counted{conn, &l.messenger.sent, &l.messenger.received})
	}
	var out []byte
	call := l.client.Go(deliverMethod, encoded, &out, make(chan *rpc.Call, 1))
	deadline := time.NewTimer(l.messenger.timeouts.call)
	defer deadline.Stop()
	err := errSilent
	select {
	case <-call.Done:
		err = call.Error
	case <-deadline.C:
	}
	var refused rpc.ServerError
	if err != nil && !errors.As(err, &refused) {
		l.hangUp()
	}
	return err
}

// failed drops the messages that wait behind a failed one and reports the failure once.
func (l *messageLink) failed(to fleet.NodeID, dropped int64) {
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

func (l *messageLink) hangUp() {
	if l.client != nil {
		_ = l.client.Close()
		l.client = nil
	}
}
