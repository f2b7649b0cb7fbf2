package tablesfile

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"jayfold.dev/jayfold/internal/core/fleet"
)

// Change is the difference between two revisions in one entry.
type Change struct {
	// Kind is Added, Removed or Changed.
	Kind Kind
	// Table is "route", "pool", "limits" or "account". Name is the name of the route, pool or account.
	Table string
	Name  string
	// Detail lists all fields of an added entry or the changed fields of a changed one.
	Detail string
}

// Kind is the kind of a Change.
type Kind byte

// The kinds of changes. Change.String prints the value as a character.
const (
	Added   Kind = '+'
	Removed Kind = '-'
	Changed Kind = '~'
)

// String returns the change as one line.
func (c Change) String() string {
	return strings.TrimSpace(fmt.Sprintf("%c %s %s %s", c.Kind, c.Table, c.Name, c.Detail))
}

// Diff returns the changes between two revisions: routes, pools, limits and accounts, each sorted by name. Keys of accounts appear as
// hashes. It ignores the order of the
// routes, which has no influence on matching.
func Diff(from, to fleet.Tables) []Change {
	return slices.Concat(
		diffTable("route", routeFields(from), routeFields(to)),
		diffTable("pool", poolFields(from), poolFields(to)),
		diffTable("limits", limitFields(from), limitFields(to)),
		diffTable("account", accountFields(from), accountFields(to)),
	)
}

// fields maps the names of an entry's fields to their values as JSON.
type fields map[string]json.RawMessage

func routeFields(t fleet.Tables) map[string]fields {
	all := make(map[string]fields, len(t.Routes))
	for _, wire := range wireRoutes(t) {
		all[wire.Name] = newFields(wire)
	}
	return all
}

func poolFields(t fleet.Tables) map[string]fields {
	all := make(map[string]fields, t.Pools.Len())
	for _, wire := range wirePools(t) {
		all[string(wire.Name)] = newFields(wire)
	}
	return all
}

func accountFields(t fleet.Tables) map[string]fields {
	all := make(map[string]fields, t.Accounts.Len())
	for _, wire := range wireAccounts(t, hashPrefix) {
		all[wire.Name] = newFields(wire)
	}
	return all
}

func limitFields(t fleet.Tables) map[string]fields {
	wire := newWireLimits(t.Limits)
	if wire == nil {
		return nil
	}
	return map[string]fields{"": newFields(wire)}
}

func newFields(wire any) fields {
	var f fields
	// Every value of the wire types can be encoded.
	value, _ := json.Marshal(wire)
	_ = json.Unmarshal(value, &f)
	delete(f, "Name")
	return f
}

func diffTable(table string, from, to map[string]fields) []Change {
	var changes []Change
	for _, name := range sortedKeys(from, to) {
		before, inFrom := from[name]
		after, inTo := to[name]
		switch {
		case !inFrom:
			changes = append(changes, Change{Kind: Added, Table: table, Name: name, Detail: after.String()})
		case !inTo:
			changes = append(changes, Change{Kind: Removed, Table: table, Name: name})
		default:
			if detail := before.diff(after); detail != "" {
				changes = append(changes, Change{Kind: Changed, Table: table, Name: name, Detail: detail})
			}
		}
	}
	return changes
}

// String returns all fields in one line.
func (f fields) String() string {
	var parts []string
	for _, name := range sortedKeys(f, nil) {
		parts = append(parts, name+"="+f.value(name))
	}
	return strings.Join(parts, " ")
}

func (f fields) diff(to fields) string {
	var parts []string
	for _, name := range sortedKeys(f, to) {
		if before, after := f.value(name), to.value(name); before != after {
			parts = append(parts, fmt.Sprintf("%s=%s -> %s", name, before, after))
		}
	}
	return strings.Join(parts, " ")
}

func (f fields) value(name string) string {
	if value, ok := f[name]; ok {
		return string(value)
	}
	return "unset"
}

// sortedKeys returns the sorted keys of both maps.
func sortedKeys[M ~map[string]V, V any](a, b M) []string {
	all := maps.Clone(a)
	if all == nil {
		all = M{}
	}
	maps.Copy(all, b)
	return slices.Sorted(maps.Keys(all))
}
