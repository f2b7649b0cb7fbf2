package tablesfile

import (
	"slices"

	"jayfold.dev/jayfold/internal/core/fleet"
)

// WithinBounds returns the tables with every number moved to the nearest one that Decode accepts; a missing deadline becomes the
// longest one. It is meant for tables that a platform with a format of its own has already confirmed to the operator: rejecting them
// would leave an older revision in force on every node.
func WithinBounds(t fleet.Tables) fleet.Tables {
	t.Routes = slices.Clone(t.Routes)
	for i, r := range t.Routes {
		t.Routes[i] = routeWithinBounds(r)
	}
	l := t.Limits
	t.Limits = fleet.Limits{
		HeaderBytes:   clampSet(l.HeaderBytes, minHeaderBytes, maxHeaderBytes),
		BodyBytes:     clampSet(l.BodyBytes, minBodyBytes, maxBodyBytes),
		HeaderTimeout: clampSet(l.HeaderTimeout, minTimeout, maxTimeout),
		IdleTimeout:   clampSet(l.IdleTimeout, minTimeout, maxTimeout),
	}
	return t
}

func routeWithinBounds(r fleet.Route) fleet.Route {
	if r.Deadline == 0 {
		r.Deadline = maxDeadline
	}
	r.Deadline = clamp(r.Deadline, minDeadline, maxDeadline)
	r.Goal = clampSet(r.Goal, minDeadline, maxDeadline)
	r.Attempts = clampSet(r.Attempts, 1, maxAttempts)
	r.Priority = clamp(r.Priority, 0, maxPriority)
	r.Split = slices.Clone(r.Split)
	for i, share := range r.Split {
		r.Split[i].Weight = clamp(share.Weight, 0, maxWeight)
	}
	return r
}

// number is the type of a field with bounds.
type number interface {
	~int | ~int64
}

func clamp[N number](n, lowest, highest N) N { return min(max(n, lowest), highest) }

// clampSet is clamp for a field whose zero value means that it is not set.
func clampSet[N number](n, lowest, highest N) N {
	if n == 0 {
		return 0
	}
	return clamp(n, lowest, highest)
}
