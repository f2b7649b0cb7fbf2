// Package settings reads the settings file of a node.
//
// # Usage
//
//	s, err := settings.Load("/etc/jayfold/settings.json")
//
// The file is JSON with comments. The error holds every problem of the file as configfile.Problems:
//
//	{
//		"Node": "palermo-1",
//		"AvailabilityZone": "palermo",
//		"Host": "10.0.1.11",
//		"Listen": {
//			"Callers": "0.0.0.0:8080",   // requests of callers
//			"Targets": "127.0.0.1:8081", // announcements of the targets on this host
//			"Peers": "10.0.1.11:8082",   // messages between nodes
//			"Forward": "10.0.1.11:8083", // requests between nodes
//			"Operators": "127.0.0.1:8084"
//		},
//		"Platform": "http://10.0.1.2:7000"
//	}
//
// "Advertise": {"Peers": ..., "Forward": ...} gives the addresses for other nodes where ports are mapped on the way.
package settings

import (
	"net/netip"
	"os"
	"time"

	"jayfold.dev/jayfold/internal/core/fleet"
	"jayfold.dev/jayfold/internal/core/node"
	"jayfold.dev/jayfold/internal/edge/configfile"
)

// Settings are what a process learns from its settings file.
type Settings struct {
	// Path is the file; empty for settings that came from none.
	Path    string
	content []byte

	Node             fleet.NodeID
	AvailabilityZone fleet.AvailabilityZone
	// Host is the address under which other nodes reach this host.
	Host   netip.Addr
	Listen Listen
	// Advertise replaces the addresses that other nodes use, where they are not those of Host and Listen.
	Advertise Advertise
	// Platform is the URL of the object API, without a path.
	Platform string
	// DefaultCaller is the client account of requests that name none.
	DefaultCaller fleet.Caller
	Retries       fleet.RetryBudget
	// Heartbeat is the time between two heartbeats of a target.
	Heartbeat time.Duration
	// StopGrace is the time from SIGTERM until the process is ended by force.
	StopGrace time.Duration
	// LogLevel is the lowest level of the lines that are written: debug, info, warn or error.
	LogLevel string
	Limits   Limits
}

// Listen are the addresses on which the node listens.
type Listen struct {
	// Callers takes the requests of callers.
	Callers netip.AddrPort
	// Targets takes the announcements of the targets on this host.
	Targets netip.AddrPort
	// Peers takes the messages between nodes.
	Peers netip.AddrPort
	// Forward takes the requests between nodes.
	Forward netip.AddrPort
	// Operators serves status and metrics.
	Operators netip.AddrPort
	// Ready answers whether callers should use this node, on an address of its own; it is not valid where that is not set,
	// and the address of Callers answers as well.
	Ready netip.AddrPort
}

// Advertise are addresses under which other nodes reach this one when ports are mapped on the way. An address that is not
// valid is not set.
type Advertise struct {
	Peers   netip.AddrPort
	Forward netip.AddrPort
}

// Limits bound what one caller's request may take.
type Limits struct {
	// MaxBodyBytes and MaxHeaderBytes are sizes in bytes.
	MaxBodyBytes   int64
	MaxHeaderBytes int
	// HeaderTimeout and BodyTimeout bound the time in which a request's headers and body must come.
	HeaderTimeout time.Duration
	BodyTimeout   time.Duration
}

// defaults returns the values of the fields that a file may leave out.
func defaults() Settings {
	return Settings{
		LogLevel:  "info",
		Retries:   node.DefaultSettings().RetryBudget,
		Heartbeat: node.DefaultSettings().HeartbeatInterval,
		// The longest deadline of a route, and the time in which callers learn that the node leaves.
		StopGrace: node.DefaultSettings().StopGrace,
		Limits: Limits{
			MaxBodyBytes:   1 << 20,
			MaxHeaderBytes: 64 << 10,
			HeaderTimeout:  5 * time.Second,
			BodyTimeout:    30 * time.Second,
		},
	}
}

// PeerAddress returns the address under which other nodes send messages to this one.
func (s Settings) PeerAddress() string { return s.advertised(s.Advertise.Peers, s.Listen.Peers) }

// ForwardAddress returns the address under which other nodes forward requests to this one.
func (s Settings) ForwardAddress() string { return s.advertised(s.Advertise.Forward, s.Listen.Forward) }

func (s Settings) advertised(mapped, listen netip.AddrPort) string {
	if mapped.IsValid() {
		return mapped.String()
	}
	return netip.AddrPortFrom(s.Host, listen.Port()).String()
}

// Member returns the node's member record at its start, without targets.
func (s Settings) Member(incarnation fleet.Incarnation) fleet.Member {
	return fleet.Member{
		Node:             s.Node,
		AvailabilityZone: s.AvailabilityZone,
		PeerAddress:      s.PeerAddress(),
		ForwardAddress:   s.ForwardAddress(),
		Incarnation:      incarnation,
	}
}

// Reloadable returns the settings that may change while the node runs.
func (s Settings) Reloadable() fleet.Settings {
	return fleet.Settings{
		RetryBudget:       s.Retries,
		HeartbeatInterval: s.Heartbeat,
		StopGrace:         s.StopGrace,
		LogLevel:          s.LogLevel,
		Limits: fleet.Limits{
			HeaderBytes:   s.Limits.MaxHeaderBytes,
			BodyBytes:     s.Limits.MaxBodyBytes,
			HeaderTimeout: s.Limits.HeaderTimeout,
		},
	}
}

// Load reads and checks the settings file at path.
func Load(path string) (Settings, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, err
	}
	s, err := Parse(path, content)
	if err != nil {
		return Settings{}, err
	}
	s.Path, s.content = path, content
	return s, nil
}

// Parse reads and checks the content of a settings file.
func Parse(file string, content []byte) (Settings, error) {
	value, problems := configfile.Parse(file, content)
	d := parser{settings: defaults()}
	problems = append(problems, value.Object(d.fields()...)...)
	problems = append(problems, d.check()...)
	if err := problems.Err(); err != nil {
		return Settings{}, err
	}
	return d.settings, nil
}
