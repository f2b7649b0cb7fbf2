package peer

import (
	"bytes"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// maxDepth bounds the nesting of arrays and maps in a message. A member record with its targets takes five levels; the rest is for
// fields of later versions.
const maxDepth = 32

var errTooDeep = fmt.Errorf("peer: message is nested more than %d levels deep", maxDepth)

// checkDepth returns an error if a message is nested too deeply. The decoder skips unknown values recursively, so that a message of
// nested arrays alone would exhaust the stack and end the process.
func checkDepth(encoded []byte) error {
	decoder := msgpack.NewDecoder(bytes.NewReader(encoded))
	// open holds, for each container around the next value, the number of values that follow in it.
	open := []int{1}
	for len(open) > 0 {
		last := len(open) - 1
		if open[last] == 0 {
			open = open[:last]
			continue
		}
		open[last]--
		values, err := skipHeader(decoder)
		if err != nil {
			return err
		}
		if values == 0 {
			continue
		}
		if len(open) > maxDepth {
			return errTooDeep
		}
		open = append(open, values)
	}
	return nil
}

// skipHeader skips a value, or only the header of an array or a map. It returns the number of values in that array or map.
func skipHeader(decoder *msgpack.Decoder) (int, error) {
	code, err := decoder.PeekCode()
	switch {
	case err != nil:
		return 0, err
	case msgpcode.IsFixedArray(code), code == msgpcode.Array16, code == msgpcode.Array32:
		return decoder.DecodeArrayLen()
	case msgpcode.IsFixedMap(code), code == msgpcode.Map16, code == msgpcode.Map32:
		pairs, err := decoder.DecodeMapLen()
		return 2 * pairs, err
	default:
		return 0, decoder.Skip()
	}
}
