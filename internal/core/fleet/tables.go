package fleet

import (
	"cmp"
	"time"
)

// Route says which requests go to which pool.
type Route struct {
	Name string
	// Host is the value of the Host header, without a port; empty matches every host.
	Host string
	// PathPrefix is a prefix of the path that ends at a slash or at the path's end.
	PathPrefix string
	// Methods lists the HTTP methods; empty matches every method.
	Methods []string
	// Pool takes the requests, unless Split divides them among several pools.
	Pool  PoolName
	Split []WeightedPool
	Class Class
	// Idempotent overrides what the method and the class say.
	Idempotent Option[bool]
	Deadline   time.Duration
	// Goal is the response time within which an answer is of full use; 0 means the deadline.
	Goal time.Duration
	// Attempts is the most targets to which one request may be sent; 0 means no limit of its own.
	Attempts int
	// Priority orders requests of one class at a full target; 0 goes first.
	Priority int
}

// WeightedPool is the part of a route's requests that one pool takes.
type WeightedPool struct {
	Pool PoolName
	// Weight is relative to the weights of the route's other shares.
	Weight int
}

// Pools lists the pools that a route may send requests to.
func (r Route) Pools() []PoolName {
	if len(r.Split) == 0 {
		return []PoolName{r.Pool}
	}
	pools := make([]PoolName, 0, len(r.Split))
	for _, share := range r.Split {
		pools = append(pools, share.Pool)
	}
	return pools
}

// Pool says which targets serve a service and how carefully they are ejected. Targets join it by its name.
type Pool struct {
	Name    PoolName
	Service string
	// Floor is the number of healthy targets that ejections must leave in service.
	Floor int
	// FalseEjectionInterval is the mean time between false ejections of one target.
	FalseEjectionInterval time.Duration
}

// Tables is one accepted revision of the routes and pools tables.
type Tables struct {
	Revision Revision
	// Routes are in the order of the routes table.
	Routes []Route
	Pools  Map[PoolName, Pool]
	// Limits bound what callers may send; a zero field leaves the node's own setting in force.
	Limits Limits
}

// Limits bound what one caller may send and how long it may take.
type Limits struct {
	// HeaderBytes and BodyBytes are sizes in bytes.
	HeaderBytes int
	BodyBytes   int64
	// HeaderTimeout bounds the time in which a request's headers must come.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection may stay without a request.
	IdleTimeout time.Duration
}

// WithDefaults returns the limits with the zero fields taken from other.
func (l Limits) WithDefaults(other Limits) Limits {
	return Limits{
		HeaderBytes:   cmp.Or(l.HeaderBytes, other.HeaderBytes),
		BodyBytes:     cmp.Or(l.BodyBytes, other.BodyBytes),
		HeaderTimeout: cmp.Or(l.HeaderTimeout, other.HeaderTimeout),
		IdleTimeout:   cmp.Or(l.IdleTimeout, other.IdleTimeout),
	}
}

// Pool returns the pool with the given name.
func (t Tables) Pool(name PoolName) (Pool, bool) { return t.Pools.Get(name) }

// WithRevision returns the tables under another revision.
func (t Tables) WithRevision(r Revision) Tables {
	t.Revision = r
	return t
}

// TablesHead names the newest revision on the platform.
type TablesHead struct {
	Revision Revision
	// Chunks are the SHA-256 sums of the chunks in hexadecimal, in order.
	Chunks []string
	// Content is the encoded form, where the head holds it itself and there are no chunks.
	Content []byte
}
