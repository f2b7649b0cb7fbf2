package tablesfile_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"jayfold.dev/jayfold/internal/core/fleet"
	"jayfold.dev/jayfold/internal/edge/configfile"
	"jayfold.dev/jayfold/internal/edge/tablesfile"
)

// hashOfKey is the start of the SHA-256 sum of "key".
const hashOfKey = "2c70e12b7a0646f92279f427c7b38e73"

// routesWith returns a routes file with a public route and the given accounts.
func routesWith(accounts string) string {
	return `{"Routes": [{"Name": "r", "PathPrefix": "/a", "Pool": "p", "Deadline": "2s", "Public": true}], "Accounts": [` + accounts + `]}`
}

// TestAccountsRoundTrip guards against accounts that are lost or changed between the operator's file and a node, and against clear-text
// keys that leave the file.
func TestAccountsRoundTrip(t *testing.T) {
	is := is.New(t)
	tables, err := parse(routesWith(`
		{"Name": "acme", "Keys": ["key", "sha256:`+hashOfKey[:30]+`00"], "Priority": 3, "Rate": 12.5, "Burst": 20},
		{"Name": "zeta", "Keys": []}`), goodPools)
	is.NoErr(err)
	assertRoundTrip(t, tables)
	acme, _ := tables.Accounts.Get("acme")
	is.Equal(acme.Keys[0], fleet.HashKey("key"))
	is.Equal(fmt.Sprintf("%x", acme.Keys[0]), hashOfKey)
	decoded, err := tablesfile.Decode(7, tablesfile.Encode(tables.WithRevision(7)))
	is.NoErr(err)
	got, _ := decoded.Accounts.Get("acme")
	is.Equal(got, acme)
	is.True(decoded.Routes[0].Public)
	is.Equal(decoded.Accounts.Len(), 2)
	routes, _ := tablesfile.Render(tables)
	is.True(strings.Contains(string(routes), "sha256:"+hashOfKey))
	is.True(!strings.Contains(string(routes), `"key"`))
}

// TestUnusableAccountsTravel guards against tables in which no account can be read and that a peer takes for tables without accounts.
func TestUnusableAccountsTravel(t *testing.T) {
	decoded, err := tablesfile.Decode(7, tablesfile.Encode(fleet.Tables{Revision: 7, UnusableAccounts: 2}))
	is.New(t).NoErr(err)
	is.New(t).True(decoded.RequiresKeys())
}

// TestParseAccounts guards against invalid accounts in operators' files that are accepted, and against messages that contain a key.
func TestParseAccounts(t *testing.T) {
	for name, c := range map[string]struct{ accounts, want string }{
		"no name":           {`{"Keys": ["secret"]}`, "field Name is missing"},
		"a name twice":      {`{"Name": "a", "Keys": []}, {"Name": "a", "Keys": []}`, `another account is called "a"`},
		"a key twice":       {`{"Name": "a", "Keys": ["secret"]}, {"Name": "b", "Keys": ["secret"]}`, `account "a" has the same key`},
		"a negative rate":   {`{"Name": "a", "Keys": [], "Rate": -1}`, "want a number"},
		"a rate as text":    {`{"Name": "a", "Keys": [], "Rate": "7"}`, "want a number"},
		"a large priority":  {`{"Name": "a", "Keys": [], "Priority": 101}`, "want a whole number"},
		"a key with a tab":  {`{"Name": "a", "Keys": ["sec\tret-secret"]}`, "the key is not allowed"},
		"a long key":        {`{"Name": "a", "Keys": ["` + strings.Repeat("secret", 50) + `"]}`, "the key is not allowed"},
		"a hash cut short":  {`{"Name": "a", "Keys": ["sha256:` + hashOfKey[1:] + `"]}`, "the key is not allowed"},
		"a key as a number": {`{"Name": "a", "Keys": [77]}`, "want a string"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := parse(routesWith(c.accounts), goodPools)
			var problems configfile.Problems
			is.True(errors.As(err, &problems))
			is.Equal(len(problems), 1)
			is.True(strings.Contains(err.Error(), c.want))
			is.True(!strings.Contains(err.Error(), "secret"))
		})
	}
}

// decodeAccounts decodes a revision whose accounts are the given entries.
func decodeAccounts(t *testing.T, entries ...string) fleet.Tables {
	t.Helper()
	content := `{"Revision": 7, "Routes": [], "Pools": [], "Accounts": [` + strings.Join(entries, ",") + `]}`
	tables, err := tablesfile.Decode(7, compress([]byte(content)))
	is.New(t).NoErr(err)
	return tables
}

// TestOddAccountCostsOnlyItself guards against one account or field that cannot be read and that changes others, that admits somebody,
// or whose key appears in a message.
func TestOddAccountCostsOnlyItself(t *testing.T) {
	const good = `{"Name": "good", "Keys": ["` + hashOfKey + `"], "Priority": 4, "Rate": 9, "Burst": 2}`
	other := fmt.Sprintf("%x", fleet.HashKey("other"))
	megabyte, _ := json.Marshal(strings.Repeat("secret", 1<<20/6))
	odd := func(keys int, priority int, rate, burst float64) fleet.Option[fleet.Account] {
		a := fleet.Account{Name: "odd", Priority: priority, Rate: rate, Burst: burst, Keys: make([]fleet.KeyHash, keys)}
		for i := range a.Keys {
			a.Keys[i] = fleet.HashKey("other")
		}
		return fleet.Some(a)
	}
	none := fleet.Option[fleet.Account]{}
	for name, c := range map[string]struct {
		entry string
		want  fleet.Option[fleet.Account]
	}{
		"no name":                {`{"Keys": ["` + other + `"]}`, none},
		"an empty name":          {`{"Name": "", "Keys": ["` + other + `"]}`, none},
		"a name with a newline":  {`{"Name": "a\r\nb", "Keys": ["` + other + `"]}`, none},
		"a name of another type": {`{"Name": ["odd"], "Keys": ["` + other + `"]}`, none},
		"a long name":            {`{"Name": "` + strings.Repeat("n", 257) + `"}`, none},
		"the name of another":    {`{"Name": "good", "Keys": ["` + other + `"], "Rate": 1}`, none},
		"not an object":          {`["` + other + `"]`, none},
		"null":                   {`null`, none},
		"a negative rate":        {`{"Name": "odd", "Keys": ["` + other + `"], "Rate": -5, "Burst": 3, "Priority": 1}`, odd(1, 1, 0, 3)},
		"a rate as text":         {`{"Name": "odd", "Keys": ["` + other + `"], "Rate": "5", "Burst": 3}`, odd(1, 0, 0, 3)},
		"an endless rate":        {`{"Name": "odd", "Keys": ["` + other + `"], "Rate": 1e999, "Burst": 3}`, odd(1, 0, 0, 3)},
		"a negative burst":       {`{"Name": "odd", "Keys": ["` + other + `"], "Rate": 5, "Burst": -3}`, odd(1, 0, 5, 0)},
		"a priority as text":     {`{"Name": "odd", "Keys": ["` + other + `"], "Rate": 5, "Priority": "high"}`, odd(1, 0, 5, 0)},
		"a priority of 1000":     {`{"Name": "odd", "Keys": ["` + other + `"], "Priority": 1000}`, odd(1, 100, 0, 0)},
		"keys that are no list":  {`{"Name": "odd", "Keys": "` + other + `", "Rate": 5}`, odd(0, 0, 5, 0)},
		"a key that is a number": {`{"Name": "odd", "Keys": [5, "` + other + `"]}`, odd(1, 0, 0, 0)},
		"a key that is null":     {`{"Name": "odd", "Keys": [null, "` + other + `"]}`, odd(1, 0, 0, 0)},
		"a key of a megabyte":    {`{"Name": "odd", "Keys": [` + string(megabyte) + `, "` + other + `"], "Rate": 5}`, odd(1, 0, 5, 0)},
		"the key of another":     {`{"Name": "odd", "Keys": ["` + hashOfKey + `", "` + other + `"]}`, odd(1, 0, 0, 0)},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tables := decodeAccounts(t, good, c.entry)
			account, _ := tables.Accounts.Get("good")
			is.Equal(account, fleet.Account{Name: "good", Keys: []fleet.KeyHash{fleet.HashKey("key")}, Priority: 4, Rate: 9, Burst: 2})
			want, present := c.want.Get()
			got, ok := tables.Accounts.Get("odd")
			is.Equal(ok, present)
			is.Equal(fmt.Sprint(got), fmt.Sprint(want))
			is.Equal(tables.UnusableAccounts > 0, !present)
			is.Equal(len(tables.Unread), 1)
			is.True(strings.Contains(tables.Unread[0], "Accounts"))
			for _, key := range []string{"secret", other, hashOfKey} {
				is.True(!strings.Contains(tables.Unread[0], key))
			}
			is.True(len(tables.Unread[0]) <= 200)
		})
	}
	t.Run("the first in name order keeps a shared key", func(t *testing.T) {
		is := is.New(t)
		tables := decodeAccounts(t, `{"Name": "zeta", "Keys": ["`+other+`"]}`, `{"Name": "acme", "Keys": ["`+other+`"]}`)
		acme, _ := tables.Accounts.Get("acme")
		zeta, _ := tables.Accounts.Get("zeta")
		is.Equal(len(acme.Keys), 1)
		is.Equal(len(zeta.Keys), 0)
	})
	t.Run("the texts about many faults are bounded", func(t *testing.T) {
		entries := make([]string, 1000)
		for i := range entries {
			entries[i] = `{}`
		}
		tables := decodeAccounts(t, entries...)
		is.New(t).Equal(len(tables.Unread), 16)
		is.New(t).Equal(tables.UnusableAccounts, 1000)
	})
}
