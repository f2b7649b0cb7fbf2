package target

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"time"
)

// Settings are what a stand-in is started with.
type Settings struct {
	Name string
	Pool string
	// Node is the host and port on which the node of this host takes announcements.
	Node        string
	Slots       int
	Connections int
	// ServiceTime is how long a request runs.
	ServiceTime time.Duration
	// ColdStart is how long after the start requests run slower, up to coldFactor times.
	ColdStart time.Duration
}

// coldFactor is how much longer the first request after a cold start runs.
const coldFactor = 5

// probeErrorRate is the share of failing requests up to which a health probe still succeeds: a gray failure.
const probeErrorRate = 0.5

// Faults are what goes wrong with a stand-in, on command.
type Faults struct {
	// ErrorRate is the share of requests answered with status 500.
	ErrorRate float64
	// Slowdown multiplies the service time; 0 and 1 leave it as it is.
	Slowdown float64
	// Frozen holds back all answers; new requests are still taken.
	Frozen bool
	// CrashMark ends the process when it is part of a request's path or body.
	CrashMark string
	// Lag is how old the health and load endpoints' answers are.
	Lag Duration
	// BurstErrorRate replaces a smaller ErrorRate during the first BurstLength of each BurstEvery of wall time, so that
	// the bursts of all targets with these faults coincide.
	BurstErrorRate float64
	BurstEvery     Duration
	BurstLength    Duration
}

// Duration is a duration that JSON writes as Go does, such as "1.5s".
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

// Seams are what a stand-in needs from outside.
type Seams struct {
	Now    func() time.Time
	Random func() uint64
	// Exit ends the process at once. An in-process stand-in closes its connections instead.
	Exit func(t *Target)
	// Record is given the token of each request that starts, before it is served.
	Record func(token string)
}

// crashStatus is the exit status of a crash on command.
const crashStatus = 3

// NewSeams returns the seams of a process of its own, whose crash ends that process.
func NewSeams() Seams {
	return Seams{
		Now:    time.Now,
		Random: rand.Uint64,
		Exit:   func(*Target) { os.Exit(crashStatus) },
		Record: func(string) {},
	}
}

// NewInProcessSeams returns the seams of a stand-in that shares its process: a crash closes its listener and connections.
func NewInProcessSeams() Seams {
	seams := NewSeams()
	seams.Exit = func(t *Target) { t.Kill() }
	return seams
}

// WithLedger returns the seams with a ledger in a file, one token per line, which outlives the process.
func (s Seams) WithLedger(file *os.File) Seams {
	s.Record = func(token string) { _, _ = fmt.Fprintln(file, token) }
	return s
}
