package fleet

import "crypto/sha256"

// AccountName identifies a client account of the tables.
type AccountName string

// keyHashBytes is the size of a KeyHash. 128 bits rule out a second key with the same hash, and 19,000 accounts with two keys each
// then fit in a value of the platform.
const keyHashBytes = 16

// KeyHash is the truncated SHA-256 sum of an API key. Keys themselves are neither stored nor logged.
type KeyHash [keyHashBytes]byte

// HashKey returns the hash of an API key.
func HashKey(key string) KeyHash {
	sum := sha256.Sum256([]byte(key))
	return KeyHash(sum[:keyHashBytes])
}

// Account is a client account: who may send requests on routes that are not public, and how many.
type Account struct {
	Name AccountName
	Keys []KeyHash
	// Priority goes before the priority of a route; 0 is served first.
	Priority int
	// Rate and Burst bound the requests that targets of the whole fleet run: within any time t at most Rate*t + Burst, with Rate in
	// requests per second. A Rate of 0 means no limit.
	Rate  float64
	Burst float64
}

// MaxAccountPriority is the largest priority of an account.
const MaxAccountPriority = 100

// MaxAttemptPriority is the largest value of Attempt.Priority.
const MaxAttemptPriority = (MaxAccountPriority+1)*PriorityLevels - 1

// PriorityLevels exceeds the largest priority of a route, so that Attempt.Priority orders attempts by the priority of their
// account first: account*PriorityLevels + route.
const PriorityLevels = 256

// CredentialKind tells what a request carries as its API key.
type CredentialKind uint8

// The kinds of credentials.
const (
	// NoCredential is a request without a key.
	NoCredential CredentialKind = iota
	// KeyCredential is a request with a readable key.
	KeyCredential
	// UnreadableCredential is a request with a repeated or malformed key, which admits nobody.
	UnreadableCredential
)

// Credential is the API key of a request, as a hash.
type Credential struct {
	Kind CredentialKind
	Hash KeyHash
}
