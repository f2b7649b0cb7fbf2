package peer

import "jayfold.dev/jayfold/internal/core/message"

// EncodedSize returns the size of an encoded message in bytes, without the overhead of net/rpc and TCP. The capacity
// measurements use it.
func EncodedSize(envelope message.Envelope) (int, error) {
	encoded, err := encode(envelope)
	return len(encoded), err
}
