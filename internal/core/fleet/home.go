package fleet

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// HomeScore returns the rank of a target for an idempotency key. The home target is the one with the highest score in its
// pool (rendezvous hashing), so that a target that leaves moves only its own keys.
func HomeScore(key IdempotencyKey, target TargetID) uint64 {
	var sums [16]byte
	binary.BigEndian.PutUint64(sums[:8], xxhash.Sum64String(string(key)))
	binary.BigEndian.PutUint64(sums[8:], xxhash.Sum64String(string(target)))
	return xxhash.Sum64(sums[:])
}
