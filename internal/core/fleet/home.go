package fleet

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// HomeScore returns the rendezvous hash of an idempotency key and a target. The home target of a key is the one with the
// highest score in its pool, so that only the keys of a target that leaves move to other targets.
func HomeScore(key IdempotencyKey, target TargetID) uint64 {
	var sums [16]byte
	binary.BigEndian.PutUint64(sums[:8], xxhash.Sum64String(string(key)))
	binary.BigEndian.PutUint64(sums[8:], xxhash.Sum64String(string(target)))
	return xxhash.Sum64(sums[:])
}
