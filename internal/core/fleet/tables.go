package fleet

import (
	"cmp"
	"slices"
	"time"
)

// Route maps matching requests to a pool.
type Route struct {
	Name string
	// Host is the host name in the Host header, without the port; empty matches every host.
	Host string
	// PathPrefix matches whole segments at the start of the path. With a slash at its end it matches only the paths below it, and
	// otherwise also the path that equals it.
	PathPrefix string
	// Methods lists the HTTP methods; empty matches every method.
	Methods []string
	// Pool receives the requests unless Split divides them among several pools.
	Pool  PoolName
	Split []WeightedPool
	Class Class
	// Idempotent overrides the default that follows from the method. Requests of class Order are never idempotent.
	Idempotent Option[bool]
	Deadline   time.Duration
	// Goal is the latency goal: the time within which a response is of full use; 0 means the deadline.
	Goal time.Duration
	// Attempts is the maximum number of targets that may run one request; 0 means the default of the ingress.
	Attempts int
	// Priority orders the requests in the queue of a full target, before their class does; 0 is served first.
	Priority int
	// Public is true if requests need no API key although the tables have client accounts.
	Public bool
}

// WeightedPool is a pool that receives a weighted share of a route's requests.
type WeightedPool struct {
	Pool PoolName
	// Weight is relative to the other weights of the route.
	Weight int
}

// WithoutPool returns a route that matches the same requests and refuses them all. It takes the place of a route whose destination
// cannot be read: without it, a route with a shorter prefix would send its requests elsewhere.
func (r Route) WithoutPool() Route {
	return Route{
		Name: r.Name, Host: r.Host, PathPrefix: r.PathPrefix, Methods: r.Methods,
		Class: Order, Idempotent: Some(false), Deadline: r.Deadline,
	}
}

// Pools returns the pools to which the route may send requests.
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

// Pool is a group of interchangeable targets of a service, with its outlier ejection settings. A target names its pool in
// its heartbeats.
type Pool struct {
	Name    PoolName
	Service string
	// Floor is the minimum number of healthy targets that ejections leave in service.
	Floor int
	// FalseEjectionInterval is the accepted mean time between false ejections of one target.
	FalseEjectionInterval time.Duration
}

// Tables is one accepted revision of the routes and the pools table.
type Tables struct {
	Revision Revision
	// Routes keeps the order of the routes table.
	Routes []Route
	Pools  Map[PoolName, Pool]
	// Accounts holds the client accounts. If there are none, requests need no API key.
	Accounts Map[AccountName, Account]
	// UnusableAccounts counts the entries of accounts that were left out because they cannot be read. Tables in which every entry is
	// unusable still require API keys.
	UnusableAccounts int
	// Limits restricts what callers may send. A zero field leaves the node's setting in force.
	Limits Limits
	// Unread has a text for each entry or word of the revision that this node cannot read, such as a field with a value of another
	// type or a word of a later version. The requests of such an entry are refused or run at most once; all other entries hold.
	Unread []string
}

// Limits restricts the size of a caller's requests and the time that a caller may take.
type Limits struct {
	// HeaderBytes and BodyBytes are the maximum sizes in bytes.
	HeaderBytes int
	BodyBytes   int64
	// HeaderTimeout is the time within which the headers of a request must arrive. A node takes it from its settings file when it
	// starts; a value in the tables has no effect.
	HeaderTimeout time.Duration
	// IdleTimeout is the time after which a connection without requests should be closed. It has no effect: the server for
	// callers uses a constant.
	IdleTimeout time.Duration
}

// WithDefaults returns the limits with zero fields taken from defaults.
func (l Limits) WithDefaults(defaults Limits) Limits {
	return Limits{
		HeaderBytes:   cmp.Or(l.HeaderBytes, defaults.HeaderBytes),
		BodyBytes:     cmp.Or(l.BodyBytes, defaults.BodyBytes),
		HeaderTimeout: cmp.Or(l.HeaderTimeout, defaults.HeaderTimeout),
		IdleTimeout:   cmp.Or(l.IdleTimeout, defaults.IdleTimeout),
	}
}

// Pool returns the pool with the given name.
func (t Tables) Pool(name PoolName) (Pool, bool) { return t.Pools.Get(name) }

// RequiresKeys reports whether requests on routes that are not public need an API key.
func (t Tables) RequiresKeys() bool { return t.Accounts.Len() > 0 || t.UnusableAccounts > 0 }

// WithUnread returns the tables with one more text about an entry that this node cannot read.
func (t Tables) WithUnread(text string) Tables {
	t.Unread = append(slices.Clip(t.Unread), text)
	return t
}

// WithRevision returns the tables with the given revision number.
func (t Tables) WithRevision(r Revision) Tables {
	t.Revision = r
	return t
}

// TablesHead describes the newest revision on the platform.
type TablesHead struct {
	Revision Revision
	// Chunks lists the hexadecimal SHA-256 sums of the chunks in order.
	Chunks []string
	// Content is the encoded revision if the head contains it; there are no chunks then.
	Content []byte
}
