package accounts_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"jayfold.dev/jayfold/internal/core/accounts"
	"jayfold.dev/jayfold/internal/core/fleet"
)

// newIndex returns the index of the given accounts.
func newIndex(list ...fleet.Account) accounts.Index {
	var tables fleet.Tables
	for _, a := range list {
		tables.Accounts = tables.Accounts.With(a.Name, a)
	}
	return accounts.New(tables)
}

func account(name fleet.AccountName, priority int, keys ...string) fleet.Account {
	a := fleet.Account{Name: name, Priority: priority}
	for _, key := range keys {
		a.Keys = append(a.Keys, fleet.HashKey(key))
	}
	return a
}

func credential(values ...string) fleet.Credential { return fleet.NewCredential(values) }

// assertDecision checks a decision. An empty cause means that the request is accepted.
func assertDecision(t *testing.T, got accounts.Decision, name fleet.AccountName, priority int, cause fleet.Cause) {
	t.Helper()
	is := is.New(t)
	problem, refused := got.Problem.Get()
	is.Equal(problem.Cause, cause)
	is.Equal(refused, cause != "")
	if refused {
		is.Equal(problem.Verdict, fleet.NotRun)
	}
	is.Equal(got.Account.Name, name)
	is.Equal(got.Priority, priority)
}

// TestCheck guards against requests that are accepted without the key of an account or for the account of another key, and against
// calls of running work that are refused.
func TestCheck(t *testing.T) {
	index := newIndex(account("acme", 3, "key-a", "key-b"), account("zeta", 7, "key-z"))
	for name, c := range map[string]struct {
		arrival  accounts.Arrival
		account  fleet.AccountName
		priority int
		cause    fleet.Cause
	}{
		"a key":                     {arrival: accounts.Arrival{Credential: credential("key-a")}, account: "acme", priority: 3},
		"the second key":            {arrival: accounts.Arrival{Credential: credential("key-b")}, account: "acme", priority: 3},
		"the key of another":        {arrival: accounts.Arrival{Credential: credential("key-z")}, account: "zeta", priority: 7},
		"an unknown key":            {arrival: accounts.Arrival{Credential: credential("key-x")}, cause: fleet.Unauthorized},
		"the start of a key":        {arrival: accounts.Arrival{Credential: credential("key-")}, cause: fleet.Unauthorized},
		"the name of an account":    {arrival: accounts.Arrival{Credential: credential("acme")}, cause: fleet.Unauthorized},
		"no key":                    {arrival: accounts.Arrival{}, cause: fleet.Unauthorized},
		"an empty key":              {arrival: accounts.Arrival{Credential: credential("")}, cause: fleet.Unauthorized},
		"a key twice":               {arrival: accounts.Arrival{Credential: credential("key-a", "key-a")}, cause: fleet.Unauthorized},
		"two keys":                  {arrival: accounts.Arrival{Credential: credential("key-a", "key-z")}, cause: fleet.Unauthorized},
		"a key with a tab":          {arrival: accounts.Arrival{Credential: credential("key\ta")}, cause: fleet.Unauthorized},
		"a key outside ASCII":       {arrival: accounts.Arrival{Credential: credential("kéy")}, cause: fleet.Unauthorized},
		"a long key":                {arrival: accounts.Arrival{Credential: credential(strings.Repeat("k", 257))}, cause: fleet.Unauthorized},
		"a public route":            {arrival: accounts.Arrival{Public: true}, priority: 7},
		"a public route with a key": {arrival: accounts.Arrival{Public: true, Credential: credential("key-a")}, priority: 7},
		"a public route with a bad key": {
			arrival: accounts.Arrival{Public: true, Credential: credential("a", "b")}, priority: 7,
		},
		"a child request to a public route": {arrival: accounts.Arrival{Public: true, Parent: accounts.LocalParent}},
		"a child request":                   {arrival: accounts.Arrival{Parent: accounts.LocalParent}},
		"an unknown parent":                 {arrival: accounts.Arrival{Parent: accounts.UnknownParent}, cause: fleet.UnknownParent},
		"a child request with a key": {
			arrival: accounts.Arrival{Parent: accounts.LocalParent, Credential: credential("key-a")}, account: "acme", priority: 3,
		},
		"a child request with an unknown key": {
			arrival: accounts.Arrival{Parent: accounts.LocalParent, Credential: credential("x")}, cause: fleet.Unauthorized,
		},
		"a child request with an unreadable key": {
			arrival: accounts.Arrival{Parent: accounts.LocalParent, Credential: credential("a", "b")}, cause: fleet.Unauthorized,
		},
	} {
		t.Run(name, func(t *testing.T) { assertDecision(t, index.Check(c.arrival), c.account, c.priority, c.cause) })
	}

	t.Run("without accounts every request is accepted", func(t *testing.T) {
		for _, values := range [][]string{nil, {"key-a"}, {"a", "b"}} {
			assertDecision(t, newIndex().Check(accounts.Arrival{Credential: credential(values...)}), "", 0, "")
		}
	})
	t.Run("a table of accounts that cannot be read accepts nobody", func(t *testing.T) {
		unusable := accounts.New(fleet.Tables{UnusableAccounts: 1})
		assertDecision(t, unusable.Check(accounts.Arrival{Credential: credential("key-a")}), "", 0, fleet.Unauthorized)
	})
	t.Run("an account without keys accepts nobody", func(t *testing.T) {
		assertDecision(t, newIndex(account("acme", 0)).Check(accounts.Arrival{}), "", 0, fleet.Unauthorized)
	})
	t.Run("a key that two accounts hold is that of the first in name order", func(t *testing.T) {
		shared := newIndex(account("zeta", 0, "key"), account("acme", 1, "key"))
		assertDecision(t, shared.Check(accounts.Arrival{Credential: credential("key")}), "acme", 1, "")
	})
}

// TestRevoked guards against requests that run for an account whose key was revoked while they waited, and against waiting requests
// that are refused although their key is valid.
func TestRevoked(t *testing.T) {
	for name, c := range map[string]struct {
		index accounts.Index
		want  bool
	}{
		"the key is valid":                {newIndex(account("acme", 0, "key")), false},
		"the account has a new key, too":  {newIndex(account("acme", 9, "new", "key")), false},
		"the key was removed":             {newIndex(account("acme", 0, "new")), true},
		"the account was removed":         {newIndex(account("zeta", 0, "new")), true},
		"another account has the key":     {newIndex(account("zeta", 0, "key")), true},
		"no account can be read":          {accounts.New(fleet.Tables{UnusableAccounts: 2}), true},
		"the tables have no accounts now": {newIndex(), false},
	} {
		t.Run(name, func(t *testing.T) { is.New(t).Equal(c.index.Revoked(credential("key"), "acme"), c.want) })
	}
	t.Run("a request without an account", func(t *testing.T) {
		is.New(t).True(!newIndex(account("acme", 0, "key")).Revoked(credential(), ""))
	})
}
