// Package tablesfile reads and writes the routes and pools tables in two formats: as the two files that operators edit, and
// in the encoded form that is sent to the platform and to peers.
//
// # Usage
//
//	tables, err := tablesfile.Parse(
//		tablesfile.File{Name: "routes.json", Content: routes},
//		tablesfile.File{Name: "pools.json", Content: pools},
//	)
//	content := tablesfile.Encode(tables.WithRevision(8))
//	tables, err = tablesfile.Decode(8, content)
//
// Both formats are validated by the same rules. Parse rejects files with any problem; its error is of type configfile.Problems and
// lists every problem. Decode sets aside the entries with problems, so that the others hold.
package tablesfile

import (
	"jayfold.dev/jayfold/internal/core/fleet"
	"jayfold.dev/jayfold/internal/edge/configfile"
)

// File is the name and content of a file.
type File struct {
	Name    string
	Content []byte
}

// Parse parses and validates both tables files. The revision of the result is 0.
func Parse(routes, pools File) (fleet.Tables, error) {
	var d draft
	routesValue, problems := configfile.Parse(routes.Name, routes.Content)
	problems = append(problems, routesValue.Object(
		configfile.Required("Routes", configfile.Array(d.readRoute)),
		configfile.Optional("Limits", d.readLimits),
		configfile.Optional("Accounts", configfile.Array(d.readAccount)),
	)...)
	poolsValue, poolsProblems := configfile.Parse(pools.Name, pools.Content)
	d.poolsInvalid = len(poolsProblems) > 0
	problems = append(problems, poolsProblems...)
	problems = append(problems, poolsValue.Object(configfile.Required("Pools", configfile.Array(d.readPool)))...)
	problems = append(problems, d.check()...)
	if err := problems.Err(); err != nil {
		return fleet.Tables{}, err
	}
	return d.tables(), nil
}

// draft collects the entries of both tables with their positions until they have been validated.
type draft struct {
	routes   []routeEntry
	pools    []poolEntry
	accounts []accountEntry
	limits   fleet.Limits
	// acceptsUnknown is true if an unknown word has a meaning instead of a problem. unread has a text for each such word and for each
	// entry that was set aside.
	acceptsUnknown bool
	unread         []string
	// poolsInvalid is true if the pools file could not be parsed, so that no route can be checked against it.
	poolsInvalid bool
}

type routeEntry struct {
	route fleet.Route
	// position is the position of the entry; the others are the positions of its fields.
	position     configfile.Position
	namePosition configfile.Position
	poolPosition configfile.Position
}

type poolEntry struct {
	pool         fleet.Pool
	namePosition configfile.Position
}

// tables returns the tables of the entries. Those without a path prefix or a name, which no valid entry lacks, are left out.
func (d *draft) tables() fleet.Tables {
	t := fleet.Tables{Limits: d.limits}
	for _, entry := range d.routes {
		if entry.route.PathPrefix != "" {
			t.Routes = append(t.Routes, entry.route)
		}
	}
	for _, entry := range d.pools {
		if entry.pool.Name != "" {
			t.Pools = t.Pools.With(entry.pool.Name, entry.pool)
		}
	}
	for _, entry := range d.accounts {
		t.Accounts = t.Accounts.With(entry.account.Name, entry.account)
	}
	return t
}
