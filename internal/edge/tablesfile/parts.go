package tablesfile

import (
	"bytes"
	"compress/gzip"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/cespare/xxhash/v2"

	"jayfold.dev/jayfold/internal/core/fleet"
)

// accountBuckets is the number of parts of the encoded form into which accounts are divided by a hash of their name. With 16, a
// changed key of 19,000 accounts changes 50 KB, and the names of the chunks still take little of the head.
const accountBuckets = 16

// The encoded form consists of gzip members: the first has the tables without accounts, and each of the others the accounts of a bucket.
// A decompressor reads them as one stream of JSON values. The extra field of the first member's header has the lengths of the others,
// so that the form can be divided without decompression.
var partsField = [2]byte{'J', 'P'}

// encodeParts returns the encoded form of the first value and of the buckets.
func encodeParts(first wireTables, buckets []wireBucket) []byte {
	var rest bytes.Buffer
	var lengths []byte
	for _, bucket := range buckets {
		part := compressJSON(bucket, nil)
		lengths = binary.BigEndian.AppendUint32(lengths, uint32(len(part)))
		rest.Write(part)
	}
	var extra []byte
	if len(lengths) > 0 {
		extra = append(partsField[:], byte(len(lengths)), byte(len(lengths)>>8))
		extra = append(extra, lengths...)
	}
	return append(compressJSON(first, extra), rest.Bytes()...)
}

func compressJSON(value any, extra []byte) []byte {
	var out bytes.Buffer
	w := gzip.NewWriter(&out)
	w.Extra = extra
	// Neither step can fail: writes to a buffer succeed, and every value of the wire types can be encoded.
	_ = json.NewEncoder(w).Encode(value)
	_ = w.Close()
	return out.Bytes()
}

// Split divides the encoded form into its parts. A change of one account changes one part beside the first.
func Split(content []byte) [][]byte {
	r, err := gzip.NewReader(bytes.NewReader(content))
	if err != nil {
		return [][]byte{content}
	}
	lengths, ok := partLengths(r.Extra)
	first := len(content)
	for _, length := range lengths {
		first -= length
	}
	if !ok || first <= 0 {
		return [][]byte{content}
	}
	parts := [][]byte{content[:first]}
	for _, length := range lengths {
		parts = append(parts, content[first:first+length])
		first += length
	}
	return parts
}

// Parts returns the parts of the encoded form with their sums, as nodes send them to each other.
func Parts(content []byte) []fleet.TablesPart {
	split := Split(content)
	parts := make([]fleet.TablesPart, len(split))
	for i, part := range split {
		sum := sha256.Sum256(part)
		parts[i] = fleet.TablesPart{Sum: fleet.PartSum(hex.EncodeToString(sum[:partSumBytes])), Content: part}
	}
	return parts
}

// partSumBytes is the size of the sum of a part before its encoding.
const partSumBytes = 16

// partLengths returns the lengths in an extra field; false if it has none.
func partLengths(extra []byte) ([]int, bool) {
	if len(extra) < 4 || [2]byte(extra[:2]) != partsField || int(binary.LittleEndian.Uint16(extra[2:])) != len(extra)-4 {
		return nil, false
	}
	var lengths []int
	for rest := extra[4:]; len(rest) >= 4; rest = rest[4:] {
		lengths = append(lengths, int(binary.BigEndian.Uint32(rest)))
	}
	return lengths, true
}

// wireBucket is a part with accounts.
type wireBucket struct {
	Accounts []wireAccount
}

// newBuckets divides accounts by a hash of their name, each bucket in name order. It returns nil if there are no accounts.
func newBuckets(t fleet.Tables) []wireBucket {
	if t.Accounts.Len() == 0 {
		return nil
	}
	buckets := make([]wireBucket, accountBuckets)
	for _, account := range wireAccounts(t, "") {
		bucket := &buckets[xxhash.Sum64String(account.Name)%accountBuckets]
		bucket.Accounts = append(bucket.Accounts, account)
	}
	return buckets
}

// readParts decodes the values of the encoded form. Without all of its buckets, content would lack accounts without a sign of it.
func readParts(plain []byte) (rawTables, error) {
	decoder := json.NewDecoder(bytes.NewReader(plain))
	var raw rawTables
	if err := decoder.Decode(&raw); err != nil {
		return rawTables{}, fmt.Errorf("the content does not decode: %w", err)
	}
	buckets := 0
	for {
		var bucket struct{ Accounts []json.RawMessage }
		err := decoder.Decode(&bucket)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return rawTables{}, fmt.Errorf("the accounts do not decode: %w", err)
		}
		raw.Accounts = append(raw.Accounts, bucket.Accounts...)
		buckets++
	}
	if buckets != raw.Buckets {
		return rawTables{}, fmt.Errorf("the content has %d parts with accounts; want %d", buckets, raw.Buckets)
	}
	return raw, nil
}
