package peer

import "jayfold.dev/jayfold/internal/core/message"

// EncodedSize returns the bytes that a message takes between nodes, without what net/rpc and TCP add. The capacity
// measurements use it.
func EncodedSize(envelope message.Envelope) (int, error) {
	encoded, err := encode(envelope)
	return len(encoded), err
}
