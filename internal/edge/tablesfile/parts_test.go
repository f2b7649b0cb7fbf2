package tablesfile_test

import (
	"bytes"
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"

	"jayfold.dev/jayfold/internal/core/fleet"
	"jayfold.dev/jayfold/internal/edge/tablesfile"
)

// changedParts returns the number and the bytes of the parts that another encoded form does not have.
func changedParts(from, to []byte) (count, size int) {
	old := tablesfile.Split(from)
	for _, part := range tablesfile.Split(to) {
		if !slices.ContainsFunc(old, func(p []byte) bool { return bytes.Equal(p, part) }) {
			count++
			size += len(part)
		}
	}
	return count, size
}

// withNewKey returns the tables with another key of one account.
func withNewKey(tables fleet.Tables, name fleet.AccountName) fleet.Tables {
	account, _ := tables.Accounts.Get(name)
	account.Keys = []fleet.KeyHash{account.Keys[0], fleet.HashKey("new")}
	tables.Accounts = tables.Accounts.With(name, account)
	return tables
}

// TestChangedKey guards against a changed key that changes the encoded form of all accounts.
func TestChangedKey(t *testing.T) {
	is := is.New(t)
	tables := withAccounts(designSizeTables(), 19_000)
	before := tablesfile.Encode(tables.WithRevision(1))
	after := tablesfile.Encode(withNewKey(tables, "account-777").WithRevision(2))
	count, size := changedParts(before, after)
	t.Logf("of %d bytes in %d parts, %d bytes in %d parts have changed", len(after), len(tablesfile.Split(after)), size, count)
	is.Equal(count, 2) // the part with the revision and that of the account
	is.Equal(bytes.Join(tablesfile.Split(after), nil), after)
}

// TestIncompleteParts guards against content that lacks a part, and so accounts, and is taken for complete.
func TestIncompleteParts(t *testing.T) {
	parts := tablesfile.Split(tablesfile.Encode(withAccounts(designSizeTables(), 100).WithRevision(7)))
	for i := 1; i < len(parts); i++ {
		for name, changed := range map[string][][]byte{
			"without":   slices.Delete(slices.Clone(parts), i, i+1),
			"twice":     slices.Insert(slices.Clone(parts), i, parts[i]),
			"cut":       append(slices.Clone(parts[:i]), parts[i][:len(parts[i])/2]),
			"ends with": parts[:i],
		} {
			t.Run(fmt.Sprintf("%s part %d", name, i), func(t *testing.T) {
				_, err := tablesfile.Decode(7, bytes.Join(changed, nil))
				is.New(t).True(err != nil)
			})
		}
	}
}

// FuzzSplit guards against content that panics the division into parts or loses bytes in it.
func FuzzSplit(f *testing.F) {
	f.Add(tablesfile.Encode(withAccounts(fleet.Tables{}, 3).WithRevision(7)))
	f.Add([]byte("\x1f\x8b\x08\x04\x00\x00\x00\x00\x00\xff\x08\x00JP\x04\x00\xff\xff\xff\xff"))
	f.Fuzz(func(t *testing.T, content []byte) {
		if !bytes.Equal(bytes.Join(tablesfile.Split(content), nil), content) {
			t.Fatal("the parts are not the content")
		}
	})
}
