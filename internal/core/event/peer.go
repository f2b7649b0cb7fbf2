package event

import (
	"jayfold.dev/jayfold/internal/core/fleet"
	"jayfold.dev/jayfold/internal/core/message"
)

// MessageReceived says that a message came from another node.
type MessageReceived struct {
	Envelope message.Envelope
}

// SendFailed says that a message could not be handed to another node.
type SendFailed struct {
	To fleet.NodeID
}

// RevisionSeen says that a request or a reply of another node carried its tables revision.
type RevisionSeen struct {
	From     fleet.NodeID
	Revision fleet.Revision
}

func (MessageReceived) isBody() {}
func (SendFailed) isBody()      {}
func (RevisionSeen) isBody()    {}
