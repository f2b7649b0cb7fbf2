package tablesfile_test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"jayfold.dev/jayfold/internal/core/fleet"
	"jayfold.dev/jayfold/internal/edge/tablesfile"
)

// decodeWith decodes a revision with a good route and a good pool beside the given ones.
func decodeWith(t *testing.T, route, pool string) fleet.Tables {
	t.Helper()
	const good = `{"Revision": 7, "Routes": [
		{"Name": "good", "Host": "h.example", "PathPrefix": "/a/", "Pool": "p", "Class": "Lookup", "Deadline": "2s"} ROUTE],
		"Pools": [{"Name": "p", "Service": "s", "Floor": 4, "FalseEjectionInterval": "8760h"} POOL]}`
	content := strings.NewReplacer("ROUTE", route, "POOL", pool).Replace(good)
	tables, err := tablesfile.Decode(7, compress([]byte(content)))
	is.New(t).NoErr(err)
	return tables
}

// assertGoodHold checks that the good route and the good pool are in force, and that something is reported as unread.
func assertGoodHold(t *testing.T, tables fleet.Tables) {
	t.Helper()
	is := is.New(t)
	is.Equal(tables.Routes[0], fleet.Route{
		Name: "good", Host: "h.example", PathPrefix: "/a/", Pool: "p", Class: fleet.Lookup, Deadline: 2 * time.Second,
	})
	_, ok := tables.Pool("p")
	is.True(ok)
	is.True(len(tables.Unread) > 0)
	is.True(len(tables.Unread) <= 16)
	for _, text := range tables.Unread {
		is.True(len(text) <= 200)
	}
}

// TestUnreadEntryCostsOnlyItself guards against one route or pool of a later version, or with a value of another type, that keeps a
// whole revision from coming into force. The requests of a route that cannot be read are refused: left out, they would be sent where
// a route with a shorter prefix says.
func TestUnreadEntryCostsOnlyItself(t *testing.T) {
	for name, route := range map[string]string{
		"an unknown pool":           `{"Name": "odd", "PathPrefix": "/a/b/", "Pool": "other", "Deadline": "2s"}`,
		"a pool of another type":    `{"Name": "odd", "PathPrefix": "/a/b/", "Pool": ["p"], "Deadline": "2s"}`,
		"a deadline without unit":   `{"Name": "odd", "PathPrefix": "/a/b/", "Pool": "p", "Deadline": 7}`,
		"neither pool nor split":    `{"Name": "odd", "PathPrefix": "/a/b/", "Deadline": "2s"}`,
		"weights of 0":              `{"Name": "odd", "PathPrefix": "/a/b/", "Split": [{"Pool": "p", "Weight": 0}], "Deadline": "2s"}`,
		"a name outside the syntax": `{"Name": "odd one", "PathPrefix": "/a/b/", "Pool": "p", "Deadline": "2s"}`,
		"the name of another":       `{"Name": "good", "PathPrefix": "/a/b/", "Pool": "p", "Deadline": "2s"}`,
	} {
		t.Run("route with "+name, func(t *testing.T) {
			tables := decodeWith(t, ", "+route, "")
			assertGoodHold(t, tables)
			is := is.New(t)
			is.Equal(len(tables.Routes), 2)
			is.Equal(tables.Routes[1].PathPrefix, "/a/b/")
			is.Equal(tables.Routes[1].Pools(), []fleet.PoolName{""})
		})
	}
	for name, c := range map[string]struct{ route, pool string }{
		"a route without a prefix":          {`, {"Name": "odd", "Pool": "p", "Deadline": "2s"}`, ""},
		"a route that is a number":          {", 7", ""},
		"a pool without fields":             {"", ", {}"},
		"a pool of another type":            {"", `, "p"`},
		"a second pool of the same name":    {"", `, {"Name": "p", "Service": "t", "Floor": 4, "FalseEjectionInterval": "8760h"}`},
		"a route nested too deeply":         {", " + strings.Repeat("[", 9000) + strings.Repeat("]", 9000), ""},
		"a route of more than 100,000 maps": {`, {"Name": "odd", "Methods": [` + strings.Repeat("{},", 100_000) + `{}]}`, ""},
	} {
		t.Run(name, func(t *testing.T) {
			tables := decodeWith(t, c.route, c.pool)
			assertGoodHold(t, tables)
			is.New(t).Equal(len(tables.Routes), 1)
		})
	}
}

// TestUnknownWords guards against a revision of a later version that is rejected for a field or a class that this version does not
// know. Requests of an unknown class run at most once.
func TestUnknownWords(t *testing.T) {
	t.Run("a field is ignored", func(t *testing.T) {
		is := is.New(t)
		tables := decodeWith(t, `, {"Name": "new", "PathPrefix": "/n/", "Pool": "p", "Deadline": "2s", "Mirror": {"Pool": "p"}}`, "")
		is.Equal(tables.Routes[1].Pool, fleet.PoolName("p"))
		is.Equal(len(tables.Unread), 0)
	})
	t.Run("a class is that of orders", func(t *testing.T) {
		is := is.New(t)
		const route = `, {"Name": "new", "PathPrefix": "/n/", "Pool": "p", "Deadline": "2s", "Class": "Stream", "Idempotent": true}`
		tables := decodeWith(t, route, "")
		assertGoodHold(t, tables)
		is.Equal(tables.Routes[1].Pool, fleet.PoolName("p"))
		is.Equal(tables.Routes[1].Class, fleet.Order)
		is.True(!tables.Routes[1].Idempotent.Or(true))
	})
	t.Run("texts about them are passed on", func(t *testing.T) {
		is := is.New(t)
		tables := decodeWith(t, "", "").WithUnread("route x has the unknown type y")
		passedOn, err := tablesfile.Decode(7, tablesfile.Encode(tables))
		is.NoErr(err)
		is.Equal(passedOn.Unread, tables.Unread)
	})
}
