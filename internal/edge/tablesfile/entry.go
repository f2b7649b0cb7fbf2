package tablesfile

import (
	"time"

	"jayfold.dev/jayfold/internal/core/fleet"
	"jayfold.dev/jayfold/internal/edge/configfile"
)

// The bounds of the fields.
const (
	// A deadline below 1 ms ends before the fastest link between availability zones answers.
	shortestDeadline = time.Millisecond
	// Sidecars remember attempt ids for twice the longest deadline, which bounds their memory.
	longestDeadline = time.Minute
	// A floor of 0 would allow every target of a pool to be ejected.
	leastFloor = 1
	mostFloor  = 10_000
	// Below a minute the detector ejects healthy targets all the time.
	shortestFalseEjectionInterval = time.Minute
	longestFalseEjectionInterval  = 10 * 365 * 24 * time.Hour
	// A pool of the design size has 56 targets on average, and no request is worth more tries than that.
	mostAttempts = 64
	mostPriority = 100
	// Weights are percentages or parts of a thousand in practice.
	mostWeight = 1_000_000
	// The limits are those of the settings file.
	leastHeaderBytes = 1 << 10
	mostHeaderBytes  = 1 << 20
	leastBodyBytes   = 1 << 10
	mostBodyBytes    = 64 << 20
	shortestLimit    = 100 * time.Millisecond
	longestLimit     = 10 * time.Minute
)

// readRoute reads one entry of the routes table.
func (d *draft) readRoute(v configfile.Value) configfile.Problems {
	entry := routeEntry{whole: v.Position}
	r := &entry.route
	problems := v.Object(
		configfile.Required("Name", configfile.RecordPosition(&entry.name, configfile.Text(&r.Name, identifier))),
		configfile.Optional("Host", configfile.Text(&r.Host, host)),
		configfile.Required("PathPrefix", configfile.Text(&r.PathPrefix, pathPrefix)),
		configfile.Optional("Methods", configfile.Array(func(v configfile.Value) configfile.Problems {
			return readMethod(v, r)
		})),
		configfile.Optional("Pool", configfile.RecordPosition(&entry.pool, configfile.Text(&r.Pool, identifier))),
		configfile.Optional("Split", configfile.RecordPosition(&entry.pool, configfile.Array(func(v configfile.Value) configfile.Problems {
			return readShare(v, r)
		}))),
		configfile.Optional("Class", configfile.Parsed(&r.Class, fleet.ParseClass)),
		configfile.Optional("Idempotent", configfile.Bool(func(b bool) { r.Idempotent = fleet.Some(b) })),
		configfile.Required("Deadline", configfile.Duration(&r.Deadline, shortestDeadline, longestDeadline)),
		configfile.Optional("Goal", configfile.Duration(&r.Goal, shortestDeadline, longestDeadline)),
		configfile.Optional("Attempts", configfile.Int(&r.Attempts, 1, mostAttempts)),
		configfile.Optional("Priority", configfile.Int(&r.Priority, 0, mostPriority)),
	)
	if problems == nil && (r.Pool == "") == (len(r.Split) == 0) {
		problems = v.Problem("want either Pool or Split")
	}
	if r.Class == fleet.Order && r.Idempotent.Or(false) {
		problems = append(problems, v.Problem("Idempotent is true and Class is Order; an order runs at most once")...)
	}
	d.routes = append(d.routes, entry)
	return problems
}

// readShare reads one entry of a route's split.
func readShare(v configfile.Value, r *fleet.Route) configfile.Problems {
	var share fleet.WeightedPool
	problems := v.Object(
		configfile.Required("Pool", configfile.Text(&share.Pool, identifier)),
		configfile.Required("Weight", configfile.Int(&share.Weight, 0, mostWeight)),
	)
	r.Split = append(r.Split, share)
	return problems
}

// readLimits reads the limits on what callers may send.
func (d *draft) readLimits(v configfile.Value) configfile.Problems {
	l := &d.limits
	return v.Object(
		configfile.Optional("HeaderBytes", configfile.Int(&l.HeaderBytes, leastHeaderBytes, mostHeaderBytes)),
		configfile.Optional("BodyBytes", configfile.Int(&l.BodyBytes, leastBodyBytes, mostBodyBytes)),
		configfile.Optional("HeaderTime", configfile.Duration(&l.HeaderTimeout, shortestLimit, longestLimit)),
		configfile.Optional("IdleTime", configfile.Duration(&l.IdleTimeout, shortestLimit, longestLimit)),
	)
}

func readMethod(v configfile.Value, r *fleet.Route) configfile.Problems {
	var m string
	if problems := configfile.Text(&m, method)(v); problems != nil {
		return problems
	}
	for _, other := range r.Methods {
		if other == m {
			return v.Problem("%q is there twice", m)
		}
	}
	r.Methods = append(r.Methods, m)
	return nil
}

// readPool reads one entry of the pools table.
func (d *draft) readPool(v configfile.Value) configfile.Problems {
	var entry poolEntry
	p := &entry.pool
	problems := v.Object(
		configfile.Required("Name", configfile.RecordPosition(&entry.name, configfile.Text(&p.Name, identifier))),
		configfile.Required("Service", configfile.Text(&p.Service, identifier)),
		configfile.Required("Floor", configfile.Int(&p.Floor, leastFloor, mostFloor)),
		configfile.Required("FalseEjectionInterval", configfile.Duration(
			&p.FalseEjectionInterval, shortestFalseEjectionInterval, longestFalseEjectionInterval)),
	)
	d.pools = append(d.pools, entry)
	return problems
}
