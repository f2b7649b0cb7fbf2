package peer

import (
	"bytes"
	"runtime/debug"
	"testing"

	"github.com/matryer/is"
	"github.com/vmihailenco/msgpack/v5"

	"jayfold.dev/jayfold/internal/core/fleet"
	"jayfold.dev/jayfold/internal/core/message"
)

// nestedArrays returns the encoding of arrays in one another.
func nestedArrays(depth int) msgpack.RawMessage {
	const arrayOfOne, emptyArray = 0x91, 0x90
	return append(bytes.Repeat([]byte{arrayOfOne}, depth), emptyArray)
}

// TestNestedMessage guards against a message whose values are nested so deeply that decoding it exhausts the stack, which ends the
// process.
func TestNestedMessage(t *testing.T) {
	// The stack of a goroutine may take 1 GB; a smaller limit fails before the memory of the test host is used up.
	defer debug.SetMaxStack(debug.SetMaxStack(16 << 20))
	encodeEnvelope := func(kind string, body msgpack.RawMessage) []byte {
		encoded, err := msgpack.Marshal(&wireEnvelope{From: "n1", Kind: kind, Message: body})
		is.New(t).NoErr(err)
		return encoded
	}
	field, err := msgpack.Marshal(map[string]msgpack.RawMessage{"Unknown": nestedArrays(contentLimit - 64)})
	is.New(t).NoErr(err)
	t.Run("a record with targets is within the bound", func(t *testing.T) {
		is := is.New(t)
		member := fleet.Member{Node: "n1", Targets: []fleet.Target{{ID: "n1/t1", Pool: "p"}}}
		encoded, err := encode(message.Envelope{From: "n1", Message: message.SyncReply{Members: []fleet.Member{member}}})
		is.NoErr(err)
		_, err = decode(encoded)
		is.NoErr(err)
	})
	for name, encoded := range map[string][]byte{
		"message":        encodeEnvelope("Ping", nestedArrays(contentLimit-64)),
		"unknown field":  encodeEnvelope("TablesContent", field),
		"instead of one": nestedArrays(contentLimit - 1),
	} {
		t.Run(name, func(t *testing.T) {
			_, err := decode(encoded)
			is.New(t).True(err != nil)
		})
	}
}
