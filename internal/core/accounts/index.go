// Package accounts decides whether a request is accepted for a client account.
//
// # Usage
//
//	index := accounts.New(tables)
//	decision := index.Check(accounts.Arrival{Credential: request.Credential, Public: route.Public})
//	if problem, refused := decision.Problem.Get(); refused { ... }
//
// The index is built once for each revision of the tables. It holds hashes of API keys, never the keys.
package accounts

import (
	"jayfold.dev/jayfold/internal/core/fleet"
)

// Index finds the account of an API key. The zero value is that of tables without accounts. It is immutable.
type Index struct {
	entries *entries
}

// entries is what an Index holds if the tables require keys. It is behind a pointer because the reducer copies its state often.
type entries struct {
	// byKey holds positions in accounts. They take a quarter of the memory that names would take.
	byKey    map[fleet.KeyHash]int32
	accounts []fleet.Account
	// lowest is the priority of requests without an account: that of the least urgent account.
	lowest int
}

// New returns the index of the accounts in the given tables. If two accounts hold the same key, the first in name order keeps it.
func New(tables fleet.Tables) Index {
	if !tables.RequiresKeys() {
		return Index{}
	}
	e := &entries{
		byKey:    make(map[fleet.KeyHash]int32, 2*tables.Accounts.Len()),
		accounts: make([]fleet.Account, 0, tables.Accounts.Len()),
	}
	for _, account := range tables.Accounts.All() {
		position := int32(len(e.accounts))
		for _, key := range account.Keys {
			if _, taken := e.byKey[key]; !taken {
				e.byKey[key] = position
			}
		}
		e.accounts = append(e.accounts, account)
		e.lowest = max(e.lowest, account.Priority)
	}
	return Index{entries: e}
}

// RequiresKeys reports whether requests on routes that are not public need an API key.
func (x Index) RequiresKeys() bool { return x.entries != nil }

// Len returns the number of accounts.
func (x Index) Len() int {
	if x.entries == nil {
		return 0
	}
	return len(x.entries.accounts)
}

// Find returns the account that holds the key of a request.
func (x Index) Find(credential fleet.Credential) (fleet.Account, bool) {
	if x.entries == nil || credential.Kind != fleet.KeyCredential {
		return fleet.Account{}, false
	}
	position, ok := x.entries.byKey[credential.Hash]
	if !ok {
		return fleet.Account{}, false
	}
	return x.entries.accounts[position], true
}

// Revoked reports whether a key by which a request was accepted for an account no longer belongs to the account. Nothing is revoked by
// tables without accounts, which accept every request.
func (x Index) Revoked(credential fleet.Credential, account fleet.AccountName) bool {
	if x.entries == nil || account == "" {
		return false
	}
	holder, ok := x.Find(credential)
	return !ok || holder.Name != account
}
