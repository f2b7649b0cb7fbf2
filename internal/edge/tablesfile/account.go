package tablesfile

import (
	"encoding/hex"
	"strings"

	"jayfold.dev/jayfold/internal/core/fleet"
	"jayfold.dev/jayfold/internal/edge/configfile"
)

// hashPrefix precedes the hash of a key in operators' files. Other values are keys in clear text.
const hashPrefix = "sha256:"

// wireAccount is an account in the encoded form and in the rendered files, which have hashes of keys and never the keys.
type wireAccount struct {
	Name     string
	Keys     []string `json:",omitempty"`
	Priority int      `json:",omitempty"`
	Rate     float64  `json:",omitempty"`
	Burst    float64  `json:",omitempty"`
}

// wireAccounts returns the accounts in name order, with a prefix before each hash.
func wireAccounts(t fleet.Tables, prefix string) []wireAccount {
	accounts := make([]wireAccount, 0, t.Accounts.Len())
	for _, a := range t.Accounts.All() {
		wire := wireAccount{Name: string(a.Name), Priority: a.Priority, Rate: a.Rate, Burst: a.Burst}
		for _, key := range a.Keys {
			wire.Keys = append(wire.Keys, prefix+hex.EncodeToString(key[:]))
		}
		accounts = append(accounts, wire)
	}
	return accounts
}

// accountEntry is an account of operators' files with the positions that problems need.
type accountEntry struct {
	account      fleet.Account
	namePosition configfile.Position
	keyPositions []configfile.Position
}

// readAccount reads an entry of the accounts in operators' files.
func (d *draft) readAccount(v configfile.Value) configfile.Problems {
	var entry accountEntry
	a := &entry.account
	problems := v.Object(
		configfile.Required("Name", configfile.RecordPosition(&entry.namePosition, configfile.Text(&a.Name, checkIdentifier))),
		configfile.Optional("Keys", configfile.Array(entry.readKey)),
		configfile.Optional("Priority", configfile.Int(&a.Priority, 0, fleet.MaxAccountPriority)),
		configfile.Optional("Rate", configfile.Float(&a.Rate, 0, maxRate)),
		configfile.Optional("Burst", configfile.Float(&a.Burst, 0, maxRate)),
	)
	d.accounts = append(d.accounts, entry)
	return problems
}

// readKey reads a key or the hash of one. A problem never contains the value.
func (e *accountEntry) readKey(v configfile.Value) configfile.Problems {
	var text string
	if problems := configfile.Text(&text)(v); problems != nil {
		return problems
	}
	hash, ok := parseKey(text)
	if !ok {
		return v.Problem("the key is not allowed; want 1 to 256 printable ASCII characters, or %s and 32 hexadecimal digits", hashPrefix)
	}
	e.account.Keys = append(e.account.Keys, hash)
	e.keyPositions = append(e.keyPositions, v.Position)
	return nil
}

// parseKey returns the hash of a key in operators' files.
func parseKey(text string) (fleet.KeyHash, bool) {
	if digits, isHash := strings.CutPrefix(text, hashPrefix); isHash {
		return parseKeyHash(digits)
	}
	return fleet.HashKey(text), fleet.IsKey(text)
}

// checkAccounts returns the problems of accounts that share a name or a key with an earlier one.
func (d *draft) checkAccounts() configfile.Problems {
	var problems configfile.Problems
	names, holders := map[fleet.AccountName]bool{}, map[fleet.KeyHash]fleet.AccountName{}
	for _, entry := range d.accounts {
		name := entry.account.Name
		if name != "" && names[name] {
			problems = append(problems, entry.namePosition.Problem("another account is called %q", name)...)
		}
		names[name] = true
		for i, key := range entry.account.Keys {
			if holder, taken := holders[key]; taken {
				problems = append(problems, entry.keyPositions[i].Problem("account %q has the same key", holder)...)
			}
			holders[key] = name
		}
	}
	return problems
}
