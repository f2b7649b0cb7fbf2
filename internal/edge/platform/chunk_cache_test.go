package platform_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"jayfold.dev/jayfold/internal/core/fleet"
)

// chunkCalls counts the calls about chunks and the bytes that they carry.
type chunkCalls struct{ reads, writes, bytes atomic.Int64 }

func (c *chunkCalls) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := http.DefaultTransport.RoundTrip(r)
	if err != nil || !strings.Contains(r.URL.Path, "tables/chunk/") {
		return response, err
	}
	if r.Method == http.MethodPut {
		c.writes.Add(1)
		c.bytes.Add(r.ContentLength)
	} else {
		c.reads.Add(1)
		c.bytes.Add(response.ContentLength)
	}
	return response, nil
}

func (c *chunkCalls) reset() {
	c.reads.Store(0)
	c.writes.Store(0)
	c.bytes.Store(0)
}

// tablesWithAccounts returns tables with 2,000 accounts, the first of which has the given key.
func tablesWithAccounts(key string) fleet.Tables {
	tables := tablesWithPool("a")
	for i := range 2000 {
		name := fleet.AccountName(fmt.Sprintf("account-%04d", i))
		tables.Accounts = tables.Accounts.With(name, fleet.Account{Name: name, Keys: []fleet.KeyHash{fleet.HashKey(fmt.Sprint(i))}})
	}
	tables.Accounts = tables.Accounts.With("account-0000", fleet.Account{
		Name: "account-0000", Keys: []fleet.KeyHash{fleet.HashKey(key)},
	})
	return tables
}

// TestChunksAreReused guards against a changed key for which all accounts are written to the platform and read from it again, and against
// a chunk that is missing on the platform and is never written again.
func TestChunksAreReused(t *testing.T) {
	h := newHarness(t)
	var calls chunkCalls
	h.client = h.newClient(&calls)
	t.Cleanup(h.client.Close)
	apply := func(is *is.I, key string, expected fleet.Revision) {
		is.Helper()
		_, err := h.client.ApplyTables(t.Context(), tablesWithAccounts(key), expected, key)
		is.NoErr(err)
	}
	read := func(is *is.I, key string) {
		is.Helper()
		tables, err := h.client.ReadTables(t.Context())
		is.NoErr(err)
		account, _ := tables.Accounts.Get("account-0000")
		is.Equal(account.Keys[0], fleet.HashKey(key))
		is.Equal(tables.Accounts.Len(), 2000)
	}
	all := func(is *is.I) {
		apply(is, "first", 0)
		is.Equal(calls.writes.Load(), int64(17))
		read(is, "first")
		is.Equal(calls.reads.Load(), int64(17))
	}
	is := is.New(t)
	all(is)
	calls.reset()
	apply(is, "second", 1)
	is.Equal(calls.writes.Load(), int64(2))
	calls.reset()
	read(is, "second")
	is.Equal(calls.reads.Load(), int64(2))

	// Without what it has read, a client writes every chunk.
	h.client = h.newClient(&calls)
	t.Cleanup(h.client.Close)
	calls.reset()
	apply(is, "third", 2)
	is.Equal(calls.writes.Load(), int64(17))
}
