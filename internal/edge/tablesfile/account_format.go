package tablesfile

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
	"math"
	"unicode"
	"unicode/utf8"

	"jayfold.dev/jayfold/internal/core/fleet"
)

const (
	// maxAccountNameBytes is the limit for names that nodes send to each other.
	maxAccountNameBytes = 256
	// maxRate bounds rates and bursts, so that sums and products of them stay exact.
	maxRate = 1e9
	// maxQuotedNameBytes bounds a name in a text about an entry.
	maxQuotedNameBytes = 64
	// maxAccountKeys bounds the keys of one account. Keys are replaced one at a time, so that an account has few.
	maxAccountKeys = 64
)

// AccountFormat is the format of entries of accounts: the names of their fields, and how a key is written.
type AccountFormat struct {
	Name, Keys, Priority, Rate, Burst string
	// Decode decodes an entry in one step; false if a field has a value of another type. The fields are then decoded one by one, which
	// takes five times as long.
	Decode func(entry json.RawMessage) (AccountFields, bool)
	// ParseKey returns the hash of a key; false if the key cannot be read.
	ParseKey func(text string) (fleet.KeyHash, bool)
}

// AccountFields holds the fields of an entry as they are written.
type AccountFields struct {
	Name        string
	Keys        []string
	Priority    int
	Rate, Burst float64
}

// accountFormat is the format of the encoded form, which has hashes only.
var accountFormat = AccountFormat{
	Name: "Name", Keys: "Keys", Priority: "Priority", Rate: "Rate", Burst: "Burst", ParseKey: parseKeyHash,
	Decode: func(entry json.RawMessage) (AccountFields, bool) {
		var wire wireAccount
		err := json.Unmarshal(entry, &wire)
		return AccountFields(wire), err == nil
	},
}

// accountReader collects the accounts of a revision. A text about an entry names the entry and never contains a key.
type accountReader struct {
	format AccountFormat
	tables fleet.Tables
	texts  int
}

// ReadAccounts returns the tables with the accounts of the given entries. A field that cannot be read is left at its default, an
// account without a name is left out, and of two accounts with the same name the first is used. If two accounts hold the same key, the
// first in name order keeps it. Tables.Unread has a text about each fault. The table is the name of the list of entries.
func (f AccountFormat) ReadAccounts(tables fleet.Tables, table string, entries []json.RawMessage) fleet.Tables {
	r := accountReader{format: f, tables: tables}
	for i, entry := range entries {
		if !r.readWhole(entry) {
			r.read(fmt.Sprintf("%s[%d]", table, i), entry)
		}
	}
	r.resolveSharedKeys(table)
	return r.tables
}

// note adds a text about an entry. The number of texts is bounded, since every entry of a revision may have a fault.
func (r *accountReader) note(where, format string, args ...any) {
	if r.texts++; r.texts > maxUnread {
		return
	}
	text := where + ": " + fmt.Sprintf(format, args...)
	r.tables = r.tables.WithUnread(text[:min(len(text), maxUnreadBytes)])
}

// readWhole adds the account of an entry without any fault. It returns false if the entry may have one.
func (r *accountReader) readWhole(entry json.RawMessage) bool {
	fields, ok := r.format.Decode(entry)
	if !ok || !isAccountName(fields.Name) || len(fields.Keys) > maxAccountKeys {
		return false
	}
	inBounds := fields.Priority >= 0 && fields.Priority <= fleet.MaxAccountPriority && fields.Rate >= 0 && fields.Rate <= maxRate &&
		fields.Burst >= 0 && fields.Burst <= maxRate
	name := fleet.AccountName(fields.Name)
	if _, taken := r.tables.Accounts.Get(name); taken || !inBounds {
		return false
	}
	account := fleet.Account{Name: name, Priority: fields.Priority, Rate: fields.Rate, Burst: fields.Burst}
	if len(fields.Keys) > 0 {
		account.Keys = make([]fleet.KeyHash, len(fields.Keys))
	}
	for i, text := range fields.Keys {
		if account.Keys[i], ok = r.format.ParseKey(text); !ok {
			return false
		}
	}
	r.tables.Accounts = r.tables.Accounts.With(name, account)
	return true
}

// read adds the account of an entry.
func (r *accountReader) read(where string, entry json.RawMessage) {
	var wire map[string]json.RawMessage
	if err := json.Unmarshal(entry, &wire); err != nil || wire == nil {
		r.leaveOut(where, "the account is not an object")
		return
	}
	var name string
	if json.Unmarshal(wire[r.format.Name], &name) != nil || !isAccountName(name) {
		r.leaveOut(where, "the account has no usable name")
		return
	}
	where += fmt.Sprintf(" %.*q", maxQuotedNameBytes, name)
	if _, taken := r.tables.Accounts.Get(fleet.AccountName(name)); taken {
		r.leaveOut(where, "an earlier account has the same name")
		return
	}
	account := fleet.Account{
		Name:     fleet.AccountName(name),
		Keys:     r.keys(where, wire[r.format.Keys]),
		Priority: int(r.number(where, r.format.Priority, wire, fleet.MaxAccountPriority)),
		Rate:     r.number(where, r.format.Rate, wire, maxRate),
		Burst:    r.number(where, r.format.Burst, wire, maxRate),
	}
	r.tables.Accounts = r.tables.Accounts.With(account.Name, account)
}

func (r *accountReader) leaveOut(where, text string) {
	r.tables.UnusableAccounts++
	r.note(where, "%s", text)
}

// keys returns the hashes of the keys that can be read.
func (r *accountReader) keys(where string, content json.RawMessage) []fleet.KeyHash {
	if isAbsent(content) {
		return nil
	}
	var texts []json.RawMessage
	if json.Unmarshal(content, &texts) != nil {
		r.note(where, "%s is not a list; the account has no keys", r.format.Keys)
		return nil
	}
	if len(texts) > maxAccountKeys {
		r.note(where, "%s has more than %d keys; the others are left out", r.format.Keys, maxAccountKeys)
		texts = texts[:maxAccountKeys]
	}
	keys := make([]fleet.KeyHash, 0, len(texts))
	for i, text := range texts {
		var key string
		if json.Unmarshal(text, &key) != nil || isAbsent(text) {
			r.note(where, "%s[%d] is not a string and is left out", r.format.Keys, i)
			continue
		}
		hash, ok := r.format.ParseKey(key)
		if !ok {
			r.note(where, "%s[%d] cannot be read and is left out", r.format.Keys, i)
			continue
		}
		keys = append(keys, hash)
	}
	return keys
}

// number returns a field that is a number from 0 to highest, and 0 if the field is absent or cannot be read.
func (r *accountReader) number(where, field string, wire map[string]json.RawMessage, highest float64) float64 {
	content := wire[field]
	if isAbsent(content) {
		return 0
	}
	var n float64
	if json.Unmarshal(content, &n) != nil || math.IsNaN(n) {
		r.note(where, "%s is not a number that can be read; 0 is used", field)
		return 0
	}
	if n < 0 || n > highest {
		r.note(where, "%s is not from 0 to %g", field, highest)
	}
	return min(max(n, 0), highest)
}

// resolveSharedKeys removes each key that an account shares with one that precedes it in name order.
func (r *accountReader) resolveSharedKeys(table string) {
	holders := make(map[fleet.KeyHash]fleet.AccountName, 2*r.tables.Accounts.Len())
	accounts := r.tables.Accounts
	for name, account := range accounts.All() {
		kept := account.Keys[:0:0]
		for _, key := range account.Keys {
			holder, taken := holders[key]
			if !taken {
				holders[key] = name
			}
			if taken && holder != name {
				r.note(fmt.Sprintf("%s %.*q", table, maxQuotedNameBytes, name), "account %.*q holds one of its keys",
					maxQuotedNameBytes, holder)
				continue
			}
			if !taken {
				kept = append(kept, key)
			}
		}
		if len(kept) != len(account.Keys) {
			account.Keys = kept
			r.tables.Accounts = r.tables.Accounts.With(name, account)
		}
	}
}

// isAbsent reports whether a field is missing or null.
func isAbsent(content json.RawMessage) bool { return len(content) == 0 || string(content) == "null" }

// isAccountName reports whether a name can be sent in a header.
func isAccountName(name string) bool {
	if name == "" || len(name) > maxAccountNameBytes || !utf8.ValidString(name) || name[0] == ' ' || name[len(name)-1] == ' ' {
		return false
	}
	for _, c := range name {
		if unicode.IsControl(c) {
			return false
		}
	}
	return true
}

// parseKeyHash parses a hash of the encoded form.
func parseKeyHash(text string) (fleet.KeyHash, bool) {
	var hash fleet.KeyHash
	if len(text) != hex.EncodedLen(len(hash)) {
		return hash, false
	}
	_, err := hex.Decode(hash[:], []byte(text))
	return hash, err == nil
}
