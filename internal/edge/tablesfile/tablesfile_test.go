package tablesfile_test

import (
	"bytes"
	"compress/gzip"
	"errors"
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"jayfold.dev/jayfold/internal/core/fleet"
	"jayfold.dev/jayfold/internal/edge/configfile"
	"jayfold.dev/jayfold/internal/edge/tablesfile"
)

const (
	goodRoutes = `{"Routes": [
	{"Name": "read", "Host": "shop.example", "PathPrefix": "/a", "Methods": ["GET"], "Pool": "p", "Deadline": "2s"},
	{"Name": "order", "PathPrefix": "/a", "Pool": "p", "Class": "Order", "Idempotent": false, "Deadline": "60s"}, // Last.
]}`
	goodPools = `{"Pools": [{"Name": "p", "Service": "s", "Floor": 4, "FalseEjectionInterval": "8760h"}]}`
)

func parse(routes, pools string) (fleet.Tables, error) {
	return tablesfile.Parse(tablesfile.File{Name: "r", Content: []byte(routes)}, tablesfile.File{Name: "p", Content: []byte(pools)})
}

// assertProblems checks that the files are rejected and that the problems have these prefixes, in this order.
func assertProblems(t *testing.T, routes, pools string, want ...string) {
	t.Helper()
	_, err := parse(routes, pools)
	var problems configfile.Problems
	is.New(t).True(errors.As(err, &problems))
	for i, p := range problems {
		if i >= len(want) || !strings.HasPrefix(p.Error(), want[i]) {
			t.Errorf("problem %d is %q; want %q", i, p.Error(), want)
		}
	}
	is.New(t).Equal(len(problems), len(want))
}

// assertRoundTrip checks that tables are unchanged by encoding and decoding, and by rendering and parsing.
func assertRoundTrip(t *testing.T, tables fleet.Tables) {
	t.Helper()
	decoded, err := tablesfile.Decode(7, tablesfile.Encode(tables.WithRevision(7)))
	is.New(t).NoErr(err)
	is.New(t).True(reflect.DeepEqual(decoded.Routes, tables.Routes))
	is.New(t).Equal(len(tablesfile.Diff(decoded, tables)), 0)
	routes, pools := tablesfile.Render(tables)
	parsed, err := parse(string(routes), string(pools))
	is.New(t).NoErr(err)
	is.New(t).Equal(len(tablesfile.Diff(parsed, tables)), 0)
}

// TestParse guards against invalid tables that are accepted, and against reports of only the first problem.
func TestParse(t *testing.T) {
	t.Run("valid files", func(t *testing.T) {
		tables, err := parse(goodRoutes, goodPools)
		is.New(t).NoErr(err)
		is.New(t).Equal(tables.Routes[1].Class, fleet.Order)
		is.New(t).Equal(tables.Routes[1].Deadline, time.Minute)
		pool, _ := tables.Pool("p")
		is.New(t).Equal(pool, fleet.Pool{Name: "p", Service: "s", Floor: 4, FalseEjectionInterval: 8760 * time.Hour})
		assertRoundTrip(t, tables)
	})

	t.Run("every problem of both files is reported", func(t *testing.T) {
		assertProblems(t, `{"Routes": [
{"Name": "a", "PathPrefix": "a?", "Pool": "p", "Class": "Bulk", "Deadline": "61s"},
{"Name": "b", "PathPrefix": "/b", "Pool": "q", "Deadline": 5, "Weight": 1},
{"Name": "b", "PathPrefix": "/b/", "Pool": "p", "Class": "Order", "Idempotent": true, "Methods": ["GET", "GET"], "Deadline": "1s"},
{"Name": "c", "PathPrefix": "/b", "Host": "h:80", "Pool": "p", "Deadline": "1s"}]}`,
			`{"Pools": [{"Name": "p", "Service": "s", "Floor": 0, "FalseEjectionInterval": "1s"}, {"Name": "p"}]}`,
			`p:1:51: Pools[0].Floor: 0 is not allowed; want a whole number from 1 to 10000`,
			`p:1:79: Pools[0].FalseEjectionInterval: "1s" is not allowed; want a duration from "1m0s" to "87600h0m0s"`,
			`p:1:86: Pools[1]: field Service is missing`,
			`p:1:86: Pools[1]: field Floor is missing`,
			`p:1:86: Pools[1]: field FalseEjectionInterval is missing`,
			`p:1:95: Pools[1].Name: another pool is called "p"`,
			`r:2:29: Routes[0].PathPrefix: "a?" is not allowed; want a path`,
			`r:2:57: Routes[0].Class: unknown class "Bulk": want Lookup, Internal or Order`,
			`r:2:77: Routes[0].Deadline: "61s" is not allowed; want a duration from "1ms" to "1m0s"`,
			`r:3:43: Routes[1].Pool: no pool is called "q"`,
			`r:3:60: Routes[1].Deadline: is a number; want a duration string`,
			`r:3:63: Routes[1].Weight: unknown field; want Name, Host`,
			`r:4:1: Routes[2]: Idempotent is true and Class is Order`,
			`r:4:10: Routes[2].Name: another route is called "b"`,
			`r:4:106: Routes[2].Methods[1]: "GET" is listed twice`,
			`r:5:1: Routes[3]: matches the same requests (any method) as route "b"`,
			`r:5:43: Routes[3].Host: "h:80" is not allowed; want a host name without a port`)
	})

	t.Run("a split, limits, latency goal, attempts and priority are preserved", func(t *testing.T) {
		tables, err := parse(`{"Routes": [{"Name": "a", "PathPrefix": "/a/", "Split": [{"Pool": "p", "Weight": 90}, {"Pool": "q", "Weight": 10}],
"Deadline": "2s", "Goal": "1s", "Attempts": 2, "Priority": 1}],
"Limits": {"HeaderBytes": 16384, "BodyBytes": 67108864, "HeaderTime": "3s", "IdleTime": "15s"}}`,
			`{"Pools": [{"Name": "p", "Service": "s", "Floor": 4, "FalseEjectionInterval": "24h"},
{"Name": "q", "Service": "s", "Floor": 4, "FalseEjectionInterval": "24h"}]}`)
		is.New(t).NoErr(err)
		is.New(t).Equal(tables.Routes[0].Split, []fleet.WeightedPool{{Pool: "p", Weight: 90}, {Pool: "q", Weight: 10}})
		is.New(t).Equal(tables.Routes[0].Goal, time.Second)
		is.New(t).Equal(tables.Limits, fleet.Limits{
			HeaderBytes: 16384, BodyBytes: 64 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second,
		})
		assertRoundTrip(t, tables)
	})

	t.Run("a split must list each pool once and have a weight above 0", func(t *testing.T) {
		assertProblems(t, `{"Routes": [
{"Name": "a", "PathPrefix": "/a", "Deadline": "1s"},
{"Name": "b", "PathPrefix": "/b", "Pool": "p", "Split": [{"Pool": "p", "Weight": 1}], "Deadline": "1s"},
{"Name": "c", "PathPrefix": "/c", "Split": [{"Pool": "p", "Weight": 0}, {"Pool": "p", "Weight": 0}], "Deadline": "1s"}]}`,
			goodPools,
			`r:2:1: Routes[0]: want either Pool or Split`,
			`r:3:1: Routes[1]: want either Pool or Split`,
			`r:4:44: Routes[2].Split: pool "p" is listed twice`,
			`r:4:44: Routes[2].Split: every weight is 0`)
	})

	t.Run("a pools file that is not JSON causes no problems of routes", func(t *testing.T) {
		assertProblems(t, goodRoutes, `{"Pools": [`, `p:1:12: not JSON with comments`)
	})
}

// TestDecode guards against accepting content that is corrupt or belongs to another revision.
func TestDecode(t *testing.T) {
	tables, err := parse(goodRoutes, goodPools)
	is.New(t).NoErr(err)
	content := tablesfile.Encode(tables.WithRevision(7))
	for name, bad := range map[string][]byte{
		"another revision":        tablesfile.Encode(tables.WithRevision(8)),
		"no revision":             tablesfile.Encode(tables),
		"truncated":               content[:len(content)/2],
		"not compressed":          []byte(goodRoutes),
		"too large":               compress(bytes.Repeat([]byte(" "), 9<<20)),
		"routes that are no list": compress([]byte(`{"Revision": 7, "Routes": {}, "Pools": []}`)),
		"pools that are no list":  compress([]byte(`{"Revision": 7, "Routes": [], "Pools": "p"}`)),
	} {
		t.Run(name, func(t *testing.T) {
			_, err := tablesfile.Decode(7, bad)
			is.New(t).True(err != nil)
		})
	}
}

// TestDesignSize guards against tables that outgrow the platform's limit of 1 MB for a value.
func TestDesignSize(t *testing.T) {
	tables := designSizeTables()
	assertRoundTrip(t, tables)
	size := len(tablesfile.Encode(tables.WithRevision(1)))
	t.Logf("4,600 routes and 140 pools take %d bytes", size)
	is.New(t).True(size < 1_000_000)
}

func designSizeTables() fleet.Tables {
	var tables fleet.Tables
	for i := range 140 {
		name := fleet.PoolName(fmt.Sprintf("pool-%d", i))
		tables.Pools = tables.Pools.With(name, fleet.Pool{Name: name, Service: string(name), Floor: 4, FalseEjectionInterval: time.Hour})
	}
	for i := range 4600 {
		tables.Routes = append(tables.Routes, fleet.Route{
			Name: fmt.Sprintf("route-%d", i), Host: fmt.Sprintf("host-%d.example", i%70),
			PathPrefix: fmt.Sprintf("/service-%d/resource-%d", i%140, i), Methods: []string{"GET", "HEAD"},
			Pool: fleet.PoolName(fmt.Sprintf("pool-%d", i%140)), Deadline: time.Second,
		})
	}
	return tables
}

func compress(plain []byte) []byte {
	var out bytes.Buffer
	w := gzip.NewWriter(&out)
	// Writes to a buffer succeed.
	_, _ = w.Write(plain)
	_ = w.Close()
	return out.Bytes()
}

// FuzzParse guards against files that panic the parser, and against accepted tables that are changed by encoding.
func FuzzParse(f *testing.F) {
	f.Add(goodRoutes, goodPools)
	f.Add(`{"Routes": []}`, `{"Pools": []}`)
	f.Add(`{"Routes": [{"Name": "\u0000"}]}`, `{"Pools": [{"Floor": -0}]}`)
	f.Fuzz(func(t *testing.T, routes, pools string) {
		if tables, err := parse(routes, pools); err == nil {
			assertRoundTrip(t, tables)
		}
	})
}

// FuzzDecode guards against content from a peer or the platform that panics the decoder or is accepted as another revision.
func FuzzDecode(f *testing.F) {
	tables, err := parse(goodRoutes, goodPools)
	is.New(f).NoErr(err)
	f.Add(tablesfile.Encode(tables.WithRevision(7)))
	f.Add([]byte{})
	f.Add(compress([]byte(`{"Revision": 7, "Routes": [], "Pools": []}`)))
	f.Add(compress([]byte(`{"Revision": 7, "Routes": [{"Name": "r", "PathPrefix": "/", "Class": "Stream", "New": {}}], "Pools": [{}]}`)))
	f.Fuzz(func(t *testing.T, content []byte) {
		if tables, err := tablesfile.Decode(7, content); err == nil && tables.Revision != 7 {
			t.Fatalf("decoded revision %d; want 7", tables.Revision)
		}
	})
}

// BenchmarkDecode measures the cost of decoding a revision of the design size.
func BenchmarkDecode(b *testing.B) {
	content := tablesfile.Encode(designSizeTables().WithRevision(7))
	for b.Loop() {
		_, _ = tablesfile.Decode(7, content)
	}
}
