package target

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"time"
)

// Settings configures a stand-in.
type Settings struct {
	Name string
	Pool string
	// Node is the host and port on which the node of this host accepts heartbeats.
	Node        string
	Slots       int
	Connections int
	// ServiceTime is the duration of a request.
	ServiceTime time.Duration
	// ColdStart is the time after the start during which requests run slower. The slowdown falls from coldSlowdown to 1.
	ColdStart time.Duration
}

// coldSlowdown multiplies the service time at the beginning of a cold start.
const coldSlowdown = 5

// maxHealthyErrorRate is the error rate up to which health probes succeed, which simulates a gray failure.
const maxHealthyErrorRate = 0.5

// Faults are the faults injected into a stand-in.
type Faults struct {
	// ErrorRate is the share of requests that fail with status 500.
	ErrorRate float64
	// Slowdown multiplies the service time; 0 and 1 leave it unchanged.
	Slowdown float64
	// Frozen holds back all responses; new requests are still accepted.
	Frozen bool
	// CrashMark crashes the process when it is contained in the path or body of a request.
	CrashMark string
	// Lag is the maximum age of the values that the health and load endpoints report.
	Lag Duration
	// BurstErrorRate replaces a smaller ErrorRate during the first BurstLength of each BurstEvery of wall-clock time, so
	// that the bursts of all targets with these faults coincide.
	BurstErrorRate float64
	BurstEvery     Duration
	BurstLength    Duration
}

// Duration is a time.Duration that is encoded in JSON as a string such as "1.5s".
type Duration time.Duration

// MarshalJSON implements json.Marshaler.
func (s Duration) MarshalJSON() ([]byte, error) { return json.Marshal(time.Duration(s).String()) }

// UnmarshalJSON implements json.Unmarshaler.
func (s *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return err
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		return fmt.Errorf("want a duration such as \"1.5s\": %w", err)
	}
	*s = Duration(d)
	return nil
}

// Seams are the external dependencies of a stand-in.
type Seams struct {
	Now    func() time.Time
	Random func() uint64
	// Exit terminates the process. An in-process stand-in closes its listener and connections instead.
	Exit func(t *Target)
	// Record is called with the token of each request before it is served.
	Record func(token string)
}

// crashExitCode is the exit status of the process after an injected crash.
const crashExitCode = 3

// NewSeams returns the seams of a stand-in in a process of its own, where a crash terminates the process.
func NewSeams() Seams {
	return Seams{
		Now:    time.Now,
		Random: rand.Uint64,
		Exit:   func(*Target) { os.Exit(crashExitCode) },
		Record: func(string) {},
	}
}

// NewInProcessSeams returns the seams of a stand-in that shares its process: a crash closes its listener and connections.
func NewInProcessSeams() Seams {
	seams := NewSeams()
	seams.Exit = func(t *Target) { t.Kill() }
	return seams
}

// WithLedger returns the seams with a ledger file that has one token per line and outlives the process.
func (s Seams) WithLedger(file *os.File) Seams {
	s.Record = func(token string) { _, _ = fmt.Fprintln(file, token) }
	return s
}
