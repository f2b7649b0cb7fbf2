package tablesfile_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/matryer/is"

	"jayfold.dev/jayfold/internal/core/accounts"
	"jayfold.dev/jayfold/internal/core/fleet"
	"jayfold.dev/jayfold/internal/edge/tablesfile"
)

// withAccounts returns the tables with a number of accounts, each of which has two keys.
func withAccounts(tables fleet.Tables, count int) fleet.Tables {
	for i := range count {
		name := fleet.AccountName(fmt.Sprintf("account-%d", i))
		tables.Accounts = tables.Accounts.With(name, fleet.Account{
			Name: name, Keys: []fleet.KeyHash{fleet.HashKey(fmt.Sprint("a", i)), fleet.HashKey(fmt.Sprint("b", i))},
			Priority: i % 5, Rate: float64(10 + i%90), Burst: float64(10 + i%90),
		})
	}
	return tables
}

// TestDesignSizeOfAccounts guards against tables with 19,000 accounts that nodes cannot send to each other.
func TestDesignSizeOfAccounts(t *testing.T) {
	is := is.New(t)
	tables := withAccounts(designSizeTables(), 19_000)
	assertRoundTrip(t, tables)
	size := len(tablesfile.Encode(tables.WithRevision(1)))
	t.Logf("4,600 routes, 140 pools and 19,000 accounts take %d bytes", size)
	is.True(size < 4<<20) // the limit of a message between nodes
	content := tablesfile.Encode(tables.WithRevision(1))
	routesOnly := tablesfile.Encode(designSizeTables().WithRevision(1))
	start := heapBytes()
	without, err := tablesfile.Decode(1, routesOnly)
	is.NoErr(err)
	atRoutes := heapBytes()
	decoded, err := tablesfile.Decode(1, content)
	is.NoErr(err)
	atAccounts := heapBytes()
	index := accounts.New(decoded)
	t.Logf("decoded tables hold %d bytes without accounts and %d with them, the index %d", atRoutes-start, atAccounts-atRoutes,
		heapBytes()-atAccounts)
	account, ok := index.Find(fleet.NewCredential([]string{"b18999"}))
	is.True(ok)
	is.Equal(account.Name, fleet.AccountName("account-18999"))
	for _, held := range []any{tables, content, routesOnly, without, decoded, index} {
		runtime.KeepAlive(held)
	}
}

func heapBytes() int64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// BenchmarkDecodeAccounts measures the cost of decoding a revision with 19,000 accounts and of its index.
func BenchmarkDecodeAccounts(b *testing.B) {
	content := tablesfile.Encode(withAccounts(designSizeTables(), 19_000).WithRevision(7))
	b.ReportMetric(float64(len(content)), "content-bytes")
	b.ReportAllocs()
	for b.Loop() {
		tables, _ := tablesfile.Decode(7, content)
		_ = accounts.New(tables)
	}
}

// BenchmarkFindAccount measures the lookup of a key among 38,000.
func BenchmarkFindAccount(b *testing.B) {
	index := accounts.New(withAccounts(fleet.Tables{}, 19_000))
	credential := fleet.NewCredential([]string{"a777"})
	for b.Loop() {
		index.Find(credential)
	}
}

// BenchmarkIndex measures building the index of 19,000 accounts.
func BenchmarkIndex(b *testing.B) {
	tables := withAccounts(fleet.Tables{}, 19_000)
	for b.Loop() {
		accounts.New(tables)
	}
}
