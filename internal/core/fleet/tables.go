package fleet

import "time"

// Route says which requests go to which pool.
type Route struct {
	Name string
	// Host is the value of the Host header, without a port; empty matches every host.
	Host string
	// PathPrefix is a prefix of the path that ends at a slash or at the path's end.
	PathPrefix string
	// Methods lists the HTTP methods; empty matches every method.
	Methods []string
	Pool    PoolName
	Class   Class
	// Idempotent overrides what the method and the class say.
	Idempotent Option[bool]
	Deadline   time.Duration
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
}

// Pool returns the pool with the given name.
func (t Tables) Pool(name PoolName) (Pool, bool) { return t.Pools.Get(name) }

// WithRevision returns the tables under another revision.
func (t Tables) WithRevision(r Revision) Tables {
	t.Revision = r
	return t
}

// Head names the chunks of the newest revision on the platform.
type Head struct {
	Revision Revision
	// Chunks are the SHA-256 sums of the chunks in hexadecimal, in order.
	Chunks []string
}
