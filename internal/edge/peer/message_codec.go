package peer

import (
	"errors"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"

	"jayfold.dev/jayfold/internal/core/fleet"
	"jayfold.dev/jayfold/internal/core/message"
)

const (
	// messageLimit bounds an encoded message without tables, in bytes. A full SyncReply, with 32 member records and 256 targets,
	// takes 10 KB without tombstones.
	messageLimit = 64 << 10
	// contentLimit bounds an encoded message that carries tables: 4,600 routes and 140 pools take 52 KB.
	contentLimit = 4 << 20
	// nameLimit bounds a name or an address in bytes.
	nameLimit = 256
	// listLimit bounds the elements of a list, such as the targets of a host or the member records in a message.
	listLimit = 1024
)

var (
	errTooLarge      = fmt.Errorf("peer: message exceeds its limit of %d bytes, or %d bytes with tables", messageLimit, contentLimit)
	errInvalidSender = errors.New("peer: message without a sender, or with a sender or address over 256 bytes")
)

// wireEnvelope is the encoded form of message.Envelope. It is an array because field names would take more bytes than most of the
// values.
type wireEnvelope struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack through reflection

	From        string
	Incarnation uint64
	Address     string
	Revision    uint64
	Kind        string
	Message     msgpack.RawMessage
}

// codec encodes and decodes one kind of message.
type codec struct {
	kind  string
	limit int
	// encode returns false for a message of another kind.
	encode func(message.Message) (msgpack.RawMessage, bool, error)
	decode func(msgpack.RawMessage) (message.Message, error)
}

// newCodec returns the codec of messages of type M with the wire type W.
func newCodec[M message.Message, W any](kind string, limit int, toWire func(M) W, fromWire func(W) (M, error)) codec {
	return codec{
		kind:  kind,
		limit: limit,
		encode: func(m message.Message) (msgpack.RawMessage, bool, error) {
			typed, ok := m.(M)
			if !ok {
				return nil, false, nil
			}
			encoded, err := msgpack.Marshal(toWire(typed))
			return encoded, true, err
		},
		decode: func(encoded msgpack.RawMessage) (message.Message, error) {
			var wire W
			if err := msgpack.Unmarshal(encoded, &wire); err != nil {
				return nil, err
			}
			return fromWire(wire)
		},
	}
}

// codecs lists all kinds of messages between nodes.
var codecs = []codec{
	newCodec("Ping", messageLimit, pingToWire, pingFromWire),
	newCodec("Ack", messageLimit, ackToWire, ackFromWire),
	newCodec("PingRequest", messageLimit, pingRequestToWire, pingRequestFromWire),
	newCodec("SyncRequest", messageLimit, syncRequestToWire, syncRequestFromWire),
	newCodec("Sync", messageLimit, syncReplyToWire, syncReplyFromWire),
	newCodec("LeaseRequest", messageLimit, leaseRequestToWire, leaseRequestFromWire),
	newCodec("LeaseGrant", messageLimit, leaseGrantToWire, leaseGrantFromWire),
	newCodec("LeaseRefusal", messageLimit, leaseRefusalToWire, leaseRefusalFromWire),
	newCodec("LeaseRelease", messageLimit, leaseReleaseToWire, leaseReleaseFromWire),
	newCodec("LeaseRecall", messageLimit, leaseRecallToWire, leaseRecallFromWire),
	newCodec("Suspicions", messageLimit, crashSuspicionsToWire, crashSuspicionsFromWire),
	newCodec("TablesRequest", messageLimit, tablesRequestToWire, tablesRequestFromWire),
	newCodec("TablesContent", contentLimit, tablesContentToWire, tablesContentFromWire),
	newCodec("UsageRequest", messageLimit, usageRequestToWire, usageRequestFromWire),
	newCodec("UsageReply", messageLimit, usageReplyToWire, usageReplyFromWire),
}

// encode returns the encoded envelope, or an error if the message is of an unknown kind or too large.
func encode(envelope message.Envelope) ([]byte, error) {
	for _, c := range codecs {
		body, ok, err := c.encode(envelope.Message)
		if !ok {
			continue
		}
		if err != nil {
			return nil, err
		}
		encoded, err := msgpack.Marshal(&wireEnvelope{
			From:        string(envelope.From),
			Incarnation: uint64(envelope.Incarnation),
			Address:     envelope.Address,
			Revision:    uint64(envelope.Revision),
			Kind:        c.kind,
			Message:     body,
		})
		if err == nil && len(encoded) > c.limit {
			return nil, errTooLarge
		}
		return encoded, err
	}
	return nil, fmt.Errorf("peer: no codec for %T", envelope.Message)
}

// decode returns the decoded envelope, or an error if it is malformed or too large.
func decode(encoded []byte) (message.Envelope, error) {
	if len(encoded) > contentLimit {
		return message.Envelope{}, errTooLarge
	}
	if err := checkDepth(encoded); err != nil {
		return message.Envelope{}, err
	}
	var wire wireEnvelope
	if err := msgpack.Unmarshal(encoded, &wire); err != nil {
		return message.Envelope{}, fmt.Errorf("peer: decode envelope: %w", err)
	}
	if wire.From == "" || len(wire.From) > nameLimit || len(wire.Address) > nameLimit {
		return message.Envelope{}, errInvalidSender
	}
	for _, c := range codecs {
		if c.kind != wire.Kind {
			continue
		}
		if len(encoded) > c.limit {
			return message.Envelope{}, errTooLarge
		}
		body, err := c.decode(wire.Message)
		if err != nil {
			return message.Envelope{}, fmt.Errorf("peer: decode %s message: %w", c.kind, err)
		}
		return message.Envelope{
			From:        fleet.NodeID(wire.From),
			Incarnation: fleet.Incarnation(wire.Incarnation),
			Address:     wire.Address,
			Revision:    fleet.Revision(wire.Revision),
			Message:     body,
		}, nil
	}
	return message.Envelope{}, fmt.Errorf("peer: unknown kind of message %.40q", wire.Kind)
}
