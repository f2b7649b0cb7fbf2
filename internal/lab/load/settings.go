package load

import (
	"errors"
	"math/rand/v2"
	"net/http"
	"time"
)

// Settings configures a load generator.
type Settings struct {
	// URLs are the URLs at which the nodes listen for callers, without a path. Requests are sent to them in turn.
	URLs []string
	// Rate is in requests per second.
	Rate     float64
	Duration time.Duration
	// OrderShare is the share of orders among the requests, from 0 to 1.
	OrderShare float64
	// LookupPath is the path prefix of lookups (GET), OrderPath the path of orders (POST).
	LookupPath string
	OrderPath  string
	// Timeout bounds the wait for a complete response.
	Timeout time.Duration
	// PaddingBytes is the number of padding bytes in a response.
	PaddingBytes int
	// Ledgers are the ledgers of the targets: for each target its URL without a path, or the path of its ledger file.
	Ledgers []string
	// IdempotencyKeys is true if each order has an idempotency key.
	IdempotencyKeys bool
}

// validate returns an error if the settings are invalid.
func (s Settings) validate() error {
	switch {
	case len(s.URLs) == 0:
		return errors.New("load: at least one URL is required")
	case s.Rate <= 0 || s.Duration <= 0 || s.Timeout <= 0:
		return errors.New("load: rate, duration and timeout must be positive")
	case s.OrderShare < 0 || s.OrderShare > 1:
		return errors.New("load: the share of orders must be from 0 to 1")
	default:
		return nil
	}
}

// Seams are the external dependencies of a generator.
type Seams struct {
	Now    func() time.Time
	Random func() uint64
	Send   func(*http.Request) (*http.Response, error)
}

// maxConnections bounds the connections to one node.
const maxConnections = 512

// NewSeams returns the seams with the system clock and an HTTP transport.
func NewSeams() Seams {
	transport := &http.Transport{
		MaxIdleConnsPerHost: maxConnections,
		MaxConnsPerHost:     maxConnections,
		DisableCompression:  true,
	}
	return Seams{Now: time.Now, Random: rand.Uint64, Send: transport.RoundTrip}
}
