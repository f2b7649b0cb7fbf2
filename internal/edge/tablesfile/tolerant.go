package tablesfile

import (
	"encoding/json"
	"fmt"

	"jayfold.dev/jayfold/internal/core/fleet"
	"jayfold.dev/jayfold/internal/edge/configfile"
)

const (
	// maxUnread bounds the texts about entries that cannot be read, which are logged and kept in memory.
	maxUnread = 16
	// maxUnreadBytes bounds one text. Texts quote what cannot be read.
	maxUnreadBytes = 200
)

// tables reads every entry and sets those aside that are not valid.
func (raw rawTables) tables() fleet.Tables {
	file := fmt.Sprintf("revision %d", raw.Revision)
	d := draft{acceptsUnknown: true}
	problems := readEntries(file, "Routes", raw.Routes, d.readRoute)
	d.setRoutesAside(problems)
	d.setPoolsAside(readEntries(file, "Pools", raw.Pools, d.readPool))
	pools, poolProblems := d.checkPoolNames()
	d.setPoolsAside(poolProblems)
	d.setRoutesAside(d.checkRoutes(pools))
	if raw.Limits != nil {
		d.note(readEntry(file, "Limits", raw.Limits, d.readLimits))
	}
	t := d.tables().WithRevision(raw.Revision)
	for _, text := range append(raw.Unread, d.unread...) {
		if len(t.Unread) == maxUnread {
			break
		}
		t = t.WithUnread(text[:min(len(text), maxUnreadBytes)])
	}
	t.UnusableAccounts = max(raw.UnusableAccounts, 0)
	return accountFormat.ReadAccounts(t, "Accounts", raw.Accounts)
}

// readEntries reads the entries of a table one at a time. Parsing all of them at once would take half of a node's memory.
func readEntries(file, table string, entries []json.RawMessage, read configfile.Reader) problemsByEntry {
	problems := make(problemsByEntry, len(entries))
	for i, entry := range entries {
		problems[i] = readEntry(file, fmt.Sprintf("%s[%d]", table, i), entry, read)
	}
	return problems
}

func readEntry(file, field string, content []byte, read configfile.Reader) configfile.Problems {
	value, problems := configfile.ParseField(file, field, content)
	return append(problems, read(value.WithUnknownIgnored())...)
}

// setRoutesAside notes the problems of routes and replaces each such route by one without a pool.
func (d *draft) setRoutesAside(problems problemsByEntry) {
	for i, found := range problems {
		if len(found) > 0 {
			d.routes[i].route = d.routes[i].route.WithoutPool()
		}
		d.note(found)
	}
}

// setPoolsAside notes the problems of pools and clears the names of these pools.
func (d *draft) setPoolsAside(problems problemsByEntry) {
	for i, found := range problems {
		if len(found) > 0 {
			d.pools[i].pool.Name = ""
		}
		d.note(found)
	}
}

// note adds the problems to those that are reported with the tables.
func (d *draft) note(problems configfile.Problems) {
	for _, p := range problems {
		d.unread = append(d.unread, p.Error())
	}
}

// readClass reads a class. If unknown ones are accepted, an unknown one is that of requests that run at most once.
func (d *draft) readClass(r *fleet.Route) configfile.Reader {
	parsed := configfile.Parsed(&r.Class, fleet.ParseClass)
	return func(v configfile.Value) configfile.Problems {
		problems := parsed(v)
		if len(problems) == 0 || !d.acceptsUnknown {
			return problems
		}
		d.note(problems)
		r.Class = fleet.Order
		return nil
	}
}
