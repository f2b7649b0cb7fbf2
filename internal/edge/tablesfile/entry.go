package tablesfile

import (
	"time"

	"jayfold.dev/jayfold/internal/core/fleet"
	"jayfold.dev/jayfold/internal/edge/configfile"
)

// The bounds of the fields.
const (
	// A deadline below 1 ms passes before a response over the fastest link between availability zones can arrive.
	minDeadline = time.Millisecond
	// Sidecars store attempt ids for two to four times the longest deadline, so this bounds their memory.
	maxDeadline = time.Minute
	// A floor of 0 would allow every target of a pool to be ejected.
	minFloor = 1
	maxFloor = 10_000
	// With an interval below one minute the outlier detector ejects healthy targets constantly.
	minFalseEjectionInterval = time.Minute
	maxFalseEjectionInterval = 10 * 365 * 24 * time.Hour
	// A pool of the design size has 56 targets on average, and no request justifies more attempts than that.
	maxAttempts = 64
	maxPriority = 100
	// In practice weights are given in parts per hundred or per thousand.
	maxWeight = 1_000_000
	// The settings file has the same bounds for these limits.
	minHeaderBytes = 1 << 10
	maxHeaderBytes = 1 << 20
	minBodyBytes   = 1 << 10
	maxBodyBytes   = 64 << 20
	minTimeout     = 100 * time.Millisecond
	maxTimeout     = 10 * time.Minute
)

// readRoute reads an entry of the routes table.
func (d *draft) readRoute(v configfile.Value) configfile.Problems {
	entry := routeEntry{position: v.Position}
	r := &entry.route
	problems := v.Object(
		configfile.Required("Name", configfile.RecordPosition(&entry.namePosition, configfile.Text(&r.Name, checkIdentifier))),
		configfile.Optional("Host", configfile.Text(&r.Host, checkHost)),
		configfile.Required("PathPrefix", configfile.Text(&r.PathPrefix, checkPathPrefix)),
		configfile.Optional("Methods", configfile.Array(func(v configfile.Value) configfile.Problems {
			return readMethod(v, r)
		})),
		configfile.Optional("Pool", configfile.RecordPosition(&entry.poolPosition, configfile.Text(&r.Pool, checkIdentifier))),
		configfile.Optional("Split", configfile.RecordPosition(&entry.poolPosition, configfile.Array(
			func(v configfile.Value) configfile.Problems { return readShare(v, r) },
		))),
		configfile.Optional("Class", d.readClass(r)),
		configfile.Optional("Idempotent", configfile.Bool(func(b bool) { r.Idempotent = fleet.Some(b) })),
		configfile.Required("Deadline", configfile.Duration(&r.Deadline, minDeadline, maxDeadline)),
		configfile.Optional("Goal", configfile.Duration(&r.Goal, minDeadline, maxDeadline)),
		configfile.Optional("Attempts", configfile.Int(&r.Attempts, 1, maxAttempts)),
		configfile.Optional("Priority", configfile.Int(&r.Priority, 0, maxPriority)),
		configfile.Optional("Public", configfile.Bool(func(b bool) { r.Public = b })),
	)
	if problems == nil && (r.Pool == "") == (len(r.Split) == 0) {
		problems = v.Problem("want either Pool or Split")
	}
	if d.acceptsUnknown && r.Class == fleet.Order && r.Idempotent.Or(false) {
		r.Idempotent = fleet.Some(false)
	}
	if r.Class == fleet.Order && r.Idempotent.Or(false) {
		problems = append(problems, v.Problem("Idempotent is true and Class is Order; an order runs at most once")...)
	}
	d.routes = append(d.routes, entry)
	return problems
}

// readShare reads an entry of a route's split.
func readShare(v configfile.Value, r *fleet.Route) configfile.Problems {
	var share fleet.WeightedPool
	problems := v.Object(
		configfile.Required("Pool", configfile.Text(&share.Pool, checkIdentifier)),
		configfile.Required("Weight", configfile.Int(&share.Weight, 0, maxWeight)),
	)
	r.Split = append(r.Split, share)
	return problems
}

// readLimits reads the limits on callers' requests.
func (d *draft) readLimits(v configfile.Value) configfile.Problems {
	l := &d.limits
	return v.Object(
		configfile.Optional("HeaderBytes", configfile.Int(&l.HeaderBytes, minHeaderBytes, maxHeaderBytes)),
		configfile.Optional("BodyBytes", configfile.Int(&l.BodyBytes, minBodyBytes, maxBodyBytes)),
		configfile.Optional("HeaderTime", configfile.Duration(&l.HeaderTimeout, minTimeout, maxTimeout)),
		configfile.Optional("IdleTime", configfile.Duration(&l.IdleTimeout, minTimeout, maxTimeout)),
	)
}

func readMethod(v configfile.Value, r *fleet.Route) configfile.Problems {
	var m string
	if problems := configfile.Text(&m, checkMethod)(v); problems != nil {
		return problems
	}
	for _, other := range r.Methods {
		if other == m {
			return v.Problem("%q is listed twice", m)
		}
	}
	r.Methods = append(r.Methods, m)
	return nil
}

// readPool reads an entry of the pools table.
func (d *draft) readPool(v configfile.Value) configfile.Problems {
	var entry poolEntry
	p := &entry.pool
	problems := v.Object(
		configfile.Required("Name", configfile.RecordPosition(&entry.namePosition, configfile.Text(&p.Name, checkIdentifier))),
		configfile.Required("Service", configfile.Text(&p.Service, checkIdentifier)),
		configfile.Required("Floor", configfile.Int(&p.Floor, minFloor, maxFloor)),
		configfile.Required("FalseEjectionInterval", configfile.Duration(
			&p.FalseEjectionInterval, minFalseEjectionInterval, maxFalseEjectionInterval)),
	)
	d.pools = append(d.pools, entry)
	return problems
}
