package tablesfile

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"
	"runtime/debug"
	"sync"
	"time"

	"jayfold.dev/jayfold/internal/core/fleet"
)

// maxDecodedBytes bounds the decompressed size of the encoded form. The design size needs about 0.8 MB.
const maxDecodedBytes = 8 << 20

const (
	// largeContentBytes is the encoded size from which Decode lowers the GC percentage. At the design size of 52 KB decoding
	// creates 23 MB of garbage, and a node has 64 MB of memory in total.
	largeContentBytes = 32 << 10
	// lowMemoryGCPercent is the GC percentage during decoding of large content. The default of 100 lets the process grow to
	// 66 MB.
	lowMemoryGCPercent = 30
)

// gcPercentMu is held while large content is decoded, since the GC percentage applies to the whole process.
var gcPercentMu sync.Mutex

type wireTables struct {
	Revision fleet.Revision
	Routes   []wireRoute
	Pools    []wirePool
	Limits   *wireLimits `json:",omitempty"`
	Unread   []string    `json:",omitempty"`
	// Buckets is the number of parts with accounts that follow, and UnusableAccounts the number of entries that were left out of them.
	Buckets          int `json:",omitempty"`
	UnusableAccounts int `json:",omitempty"`
}

type wireLimits struct {
	HeaderBytes int    `json:",omitempty"`
	BodyBytes   int64  `json:",omitempty"`
	HeaderTime  string `json:",omitempty"`
	IdleTime    string `json:",omitempty"`
}

type wireShare struct {
	Pool   fleet.PoolName
	Weight int
}

type wireRoute struct {
	Name       string
	Host       string `json:",omitempty"`
	PathPrefix string
	Methods    []string       `json:",omitempty"`
	Pool       fleet.PoolName `json:",omitempty"`
	Split      []wireShare    `json:",omitempty"`
	Class      string
	Idempotent *bool `json:",omitempty"`
	Deadline   string
	Goal       string `json:",omitempty"`
	Attempts   int    `json:",omitempty"`
	Priority   int    `json:",omitempty"`
	Public     bool   `json:",omitempty"`
}

type wirePool struct {
	Name                  fleet.PoolName
	Service               string
	Floor                 int
	FalseEjectionInterval string
}

// Encode returns the encoded form of the tables for the platform and for peers, which is compressed JSON. Compression keeps a
// change at the design size within a node's limit for control traffic.
func Encode(t fleet.Tables) []byte {
	buckets := newBuckets(t)
	return encodeParts(wireTables{
		Revision:         t.Revision,
		Routes:           wireRoutes(t),
		Pools:            wirePools(t),
		Limits:           newWireLimits(t.Limits),
		Unread:           t.Unread,
		Buckets:          len(buckets),
		UnusableAccounts: t.UnusableAccounts,
	}, buckets)
}

func wireRoutes(t fleet.Tables) []wireRoute {
	routes := make([]wireRoute, 0, len(t.Routes))
	for _, r := range t.Routes {
		wire := wireRoute{
			Name:       r.Name,
			Host:       r.Host,
			PathPrefix: r.PathPrefix,
			Methods:    r.Methods,
			Pool:       r.Pool,
			Class:      r.Class.String(),
			Deadline:   r.Deadline.String(),
			Goal:       optionalDuration(r.Goal),
			Attempts:   r.Attempts,
			Priority:   r.Priority,
			Public:     r.Public,
		}
		for _, share := range r.Split {
			wire.Split = append(wire.Split, wireShare(share))
		}
		if idempotent, ok := r.Idempotent.Get(); ok {
			wire.Idempotent = &idempotent
		}
		routes = append(routes, wire)
	}
	return routes
}

// optionalDuration returns the text of a duration, and "" for 0.
func optionalDuration(d time.Duration) string {
	if d == 0 {
		return ""
	}
	return d.String()
}

// newWireLimits returns nil if no limit is set.
func newWireLimits(l fleet.Limits) *wireLimits {
	if l == (fleet.Limits{}) {
		return nil
	}
	return &wireLimits{
		HeaderBytes: l.HeaderBytes,
		BodyBytes:   l.BodyBytes,
		HeaderTime:  optionalDuration(l.HeaderTimeout),
		IdleTime:    optionalDuration(l.IdleTimeout),
	}
}

func wirePools(t fleet.Tables) []wirePool {
	pools := make([]wirePool, 0, t.Pools.Len())
	for _, p := range t.Pools.All() {
		pools = append(pools, wirePool{
			Name:                  p.Name,
			Service:               p.Service,
			Floor:                 p.Floor,
			FalseEjectionInterval: p.FalseEjectionInterval.String(),
		})
	}
	return pools
}

// Decode decodes the encoded form of a revision. A program of a later version, or a platform with a format of its own, may have
// written it, so that unknown fields are ignored and an entry that is not valid costs only itself: Tables.Unread has a text about it.
// The error says that no part of the content can be used.
func Decode(revision fleet.Revision, content []byte) (fleet.Tables, error) {
	if len(content) >= largeContentBytes {
		gcPercentMu.Lock()
		defer gcPercentMu.Unlock()
		defer debug.SetGCPercent(debug.SetGCPercent(lowMemoryGCPercent))
	}
	plain, err := decompress(content)
	if err != nil {
		return fleet.Tables{}, err
	}
	raw, err := readParts(plain)
	if err != nil {
		return fleet.Tables{}, err
	}
	if raw.Revision != revision || revision == 0 {
		return fleet.Tables{}, fmt.Errorf("the content is revision %d; want %d", raw.Revision, revision)
	}
	return raw.tables(), nil
}

// rawTables is the encoded form before its entries are read.
type rawTables struct {
	Revision fleet.Revision
	Routes   []json.RawMessage
	Pools    []json.RawMessage
	Limits   json.RawMessage
	Unread   []string
	Accounts []json.RawMessage
	// Buckets is the number of parts with accounts, and UnusableAccounts that of the entries that the writer has left out.
	Buckets          int
	UnusableAccounts int
}

func decompress(content []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(content))
	if err != nil {
		return nil, fmt.Errorf("the content is not compressed: %w", err)
	}
	plain, err := io.ReadAll(io.LimitReader(r, maxDecodedBytes+1))
	if err != nil {
		return nil, fmt.Errorf("the content does not decompress: %w", err)
	}
	if len(plain) > maxDecodedBytes {
		return nil, fmt.Errorf("the content is larger than %d bytes", maxDecodedBytes)
	}
	return plain, nil
}

// Render returns the contents of the two files that operators edit.
func Render(t fleet.Tables) (routes, pools []byte) {
	routes = marshalIndented(struct {
		Routes   []wireRoute
		Limits   *wireLimits   `json:",omitempty"`
		Accounts []wireAccount `json:",omitempty"`
	}{wireRoutes(t), newWireLimits(t.Limits), wireAccounts(t, hashPrefix)})
	return routes, marshalIndented(struct{ Pools []wirePool }{wirePools(t)})
}

func marshalIndented(v any) []byte {
	var out bytes.Buffer
	encoder := json.NewEncoder(&out)
	encoder.SetEscapeHTML(false)
	encoder.SetIndent("", "  ")
	// Every value of the wire types can be encoded.
	_ = encoder.Encode(v)
	return out.Bytes()
}
