package fleet

// maxKeyBytes bounds an API key. Longer values are not hashed, so that a key of a megabyte costs a node nothing.
const maxKeyBytes = 256

// NewCredential returns the credential of a request whose header for API keys has the given values. A key that occurs twice, that is
// too long or that has bytes outside printable ASCII authenticates nobody. A header without a value is no key.
func NewCredential(values []string) Credential {
	switch {
	case len(values) == 0, len(values) == 1 && values[0] == "":
		return Credential{}
	case len(values) > 1 || !IsKey(values[0]):
		return Credential{Kind: UnreadableCredential}
	default:
		return Credential{Kind: KeyCredential, Hash: HashKey(values[0])}
	}
}

// IsKey reports whether an API key has the syntax of one: 1 to 256 bytes of printable ASCII.
func IsKey(key string) bool {
	if key == "" || len(key) > maxKeyBytes {
		return false
	}
	for i := range len(key) {
		if key[i] < ' ' || key[i] > '~' {
			return false
		}
	}
	return true
}
