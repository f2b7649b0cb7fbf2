package load

import (
	"errors"
	"math/rand/v2"
	"net/http"
	"time"
)

// Settings say what is sent.
type Settings struct {
	// URLs are the nodes' addresses for callers; requests go to them in turn.
	URLs []string
	// Rate is in requests per second.
	Rate     float64
	Duration time.Duration
	// OrderShare is the share of orders among the requests, from 0 to 1.
	OrderShare float64
	// LookupPath and OrderPath are the paths below which requests are sent, with GET and POST.
	LookupPath string
	OrderPath  string
	// Timeout is how long the caller waits for an answer.
	Timeout time.Duration
	// PaddingBytes is the number of bytes by which answers are padded.
	PaddingBytes int
	// Ledgers are the targets' ledgers: the URL of each target without a path, or the file that it writes.
	Ledgers []string
	// IdempotencyKeys gives each order an idempotency key.
	IdempotencyKeys bool
}

// check returns what is wrong with the settings.
func (s Settings) check() error {
	switch {
	case len(s.URLs) == 0:
		return errors.New("load: no URL to send requests to")
	case s.Rate <= 0 || s.Duration <= 0 || s.Timeout <= 0:
		return errors.New("load: rate, duration and timeout must be positive")
	case s.OrderShare < 0 || s.OrderShare > 1:
		return errors.New("load: the share of orders must be from 0 to 1")
	default:
		return nil
	}
}

// Seams are what a generator needs from outside.
type Seams struct {
	Now    func() time.Time
	Random func() uint64
	Send   func(*http.Request) (*http.Response, error)
}

// maxConnections bounds the connections to one node.
const maxConnections = 512

// NewSeams returns the seams of a real run.
func NewSeams() Seams {
	transport := &http.Transport{
		MaxIdleConnsPerHost: maxConnections,
		MaxConnsPerHost:     maxConnections,
		DisableCompression:  true,
	}
	return Seams{Now: time.Now, Random: rand.Uint64, Send: transport.RoundTrip}
}
