package event

import (
	"jayfold.dev/jayfold/internal/core/fleet"
	"jayfold.dev/jayfold/internal/core/message"
)

// MessageReceived says that a message came from another node.
type MessageReceived struct {
	Envelope message.Envelope
}

// MessageSendFailed says that a message could not be handed to another node.
type MessageSendFailed struct {
	To fleet.NodeID
}

// PeerRevisionSeen says that a request or a reply of another node carried its tables revision.
type PeerRevisionSeen struct {
	From     fleet.NodeID
	Revision fleet.Revision
}

func (MessageReceived) isBody()   {}
func (MessageSendFailed) isBody() {}
func (PeerRevisionSeen) isBody()  {}
