package event

import (
	"jayfold.dev/jayfold/internal/core/fleet"
	"jayfold.dev/jayfold/internal/core/message"
)

// MessageReceived is posted when a message from another node arrives.
type MessageReceived struct {
	Envelope message.Envelope
}

// MessageSendFailed is posted when a message could not be delivered to another node.
type MessageSendFailed struct {
	To fleet.NodeID
}

// PeerRevisionSeen is posted when a request or a response from another node contains that node's tables revision.
type PeerRevisionSeen struct {
	From     fleet.NodeID
	Revision fleet.Revision
}

func (MessageReceived) isBody()   {}
func (MessageSendFailed) isBody() {}
func (PeerRevisionSeen) isBody()  {}
