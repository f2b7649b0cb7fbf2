// Package settings reads the settings file of a node.
//
// # Usage
//
//	s, err := settings.Load("/etc/jayfold/settings.json")
//
// An invalid file is reported as configfile.Problems, which lists every problem. The file is JSON with comments:
//
//	{
//		"Node": "palermo-1",
//		"AvailabilityZone": "palermo",
//		"Host": "10.0.1.11",
//		"Listen": {
//			"Callers": "0.0.0.0:8080",   // requests from callers
//			"Targets": "127.0.0.1:8081", // heartbeats of the targets on this host
//			"Peers": "10.0.1.11:8082",   // messages between nodes
//			"Forward": "10.0.1.11:8083", // requests forwarded between nodes
//			"Operators": "127.0.0.1:8084"
//		},
//		"Platform": "http://10.0.1.2:7000"
//	}
//
// "Advertise": {"Peers": ..., "Forward": ...} sets the addresses that other nodes connect to if the node's ports are mapped.
package settings

import (
	"net/netip"
	"os"
	"time"

	"jayfold.dev/jayfold/internal/core/fleet"
	"jayfold.dev/jayfold/internal/core/node"
	"jayfold.dev/jayfold/internal/edge/configfile"
	"jayfold.dev/jayfold/internal/edge/memory"
)

// MaxStopGrace is the longest stop grace that the settings allow.
const MaxStopGrace = 10 * time.Minute

// Settings are the content of a settings file.
type Settings struct {
	// Path is the settings file; empty if the settings were not read from a file.
	Path    string
	content []byte

	Node             fleet.NodeID
	AvailabilityZone fleet.AvailabilityZone
	// Host is the IP address at which other nodes reach this host.
	Host   netip.Addr
	Listen Listen
	// Advertise holds the addresses that other nodes connect to, where they differ from Host and the ports in Listen.
	Advertise Advertise
	// Platform is the URL of the object API, without a path.
	Platform string
	// DefaultCaller is the client account of requests that do not name one.
	DefaultCaller fleet.Caller
	Retries       fleet.RetryBudget
	// Heartbeat is the time between two heartbeats of a target.
	Heartbeat time.Duration
	// StopGrace is the time from SIGTERM until the process is terminated forcibly.
	StopGrace time.Duration
	// ZoneTraffic is ZoneTrafficMetered if bytes between availability zones are expensive, and ZoneTrafficFree otherwise.
	ZoneTraffic string
	// LogLevel is the lowest level of log lines that are written: debug, info, warn or error.
	LogLevel string
	// Placement is how targets are chosen: count compares requests per slot, cost expected completion times.
	Placement string
	Limits    Limits
}

// The values of Settings.ZoneTraffic.
const (
	ZoneTrafficFree    = "Free"
	ZoneTrafficMetered = "Metered"
)

// Listen are the addresses on which the node listens.
type Listen struct {
	// Callers receives requests from callers.
	Callers netip.AddrPort
	// Targets receives heartbeats of the targets on this host.
	Targets netip.AddrPort
	// Peers receives messages from other nodes.
	Peers netip.AddrPort
	// Forward receives requests that nodes, including this one, forward to the targets on this host.
	Forward netip.AddrPort
	// Operators serves status and metrics.
	Operators netip.AddrPort
	// Ready serves the readiness check on a separate address; it is the zero value if none is set. The address of Callers
	// serves the check in either case.
	Ready netip.AddrPort
}

// Advertise are the addresses at which other nodes reach this one if its ports are mapped. The zero value of an address means
// that it is not set.
type Advertise struct {
	Peers   netip.AddrPort
	Forward netip.AddrPort
}

// Limits are the limits for the requests of callers.
type Limits struct {
	// MaxBodyBytes and MaxHeaderBytes bound the sizes of a request's body and headers.
	MaxBodyBytes   int64
	MaxHeaderBytes int
	// MaxBufferedBytes bounds the bodies of all requests in progress together. A body is in memory until its request ends.
	MaxBufferedBytes int64
	// Memory is the memory in bytes for the whole process. If it is 0, the limit that the system gives the process applies.
	Memory int64
	// HeaderTimeout and BodyTimeout are the limits for receiving a request's headers and body.
	HeaderTimeout time.Duration
	BodyTimeout   time.Duration
}

// defaults returns the settings with the default values of optional fields.
func defaults() Settings {
	return Settings{
		LogLevel: "info",
		// By default requests cross zones whenever that may help them.
		ZoneTraffic: ZoneTrafficFree,
		Retries:     node.DefaultSettings().RetryBudget,
		Heartbeat:   node.DefaultSettings().HeartbeatInterval,
		Placement:   string(node.DefaultSettings().Placement),
		// Covers the longest deadline of a route and the time until callers notice that the node is leaving.
		StopGrace: node.DefaultSettings().StopGrace,
		Limits: Limits{
			MaxBodyBytes:     1 << 20,
			MaxHeaderBytes:   64 << 10,
			MaxBufferedBytes: 32 << 20,
			HeaderTimeout:    5 * time.Second,
			BodyTimeout:      30 * time.Second,
		},
	}
}

// PeerAddress returns the address to which other nodes send messages.
func (s Settings) PeerAddress() string { return s.advertised(s.Advertise.Peers, s.Listen.Peers) }

// ForwardAddress returns the address to which nodes forward requests for the targets on this host.
func (s Settings) ForwardAddress() string { return s.advertised(s.Advertise.Forward, s.Listen.Forward) }

func (s Settings) advertised(mapped, listen netip.AddrPort) string {
	if mapped.IsValid() {
		return mapped.String()
	}
	return netip.AddrPortFrom(s.Host, listen.Port()).String()
}

// Member returns the node's initial member record, without targets.
func (s Settings) Member(incarnation fleet.Incarnation) fleet.Member {
	return fleet.Member{
		Node:             s.Node,
		AvailabilityZone: s.AvailabilityZone,
		PeerAddress:      s.PeerAddress(),
		ForwardAddress:   s.ForwardAddress(),
		Incarnation:      incarnation,
	}
}

// Reloadable returns the settings that a reload passes to the running node. Of these, a changed HeaderTimeout takes effect only
// after a restart.
func (s Settings) Reloadable() fleet.Settings {
	return fleet.Settings{
		RetryBudget:       s.Retries,
		HeartbeatInterval: s.Heartbeat,
		StopGrace:         s.StopGrace,
		MeteredZones:      s.ZoneTraffic == ZoneTrafficMetered,
		LogLevel:          s.LogLevel,
		Placement:         fleet.Placement(s.Placement),
		CallerMemory:      s.Limits.callerMemory(memory.SystemLimit()),
		ProcessMemory:     s.Limits.processMemory(memory.SystemLimit()),
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
	p := parser{settings: defaults()}
	problems = append(problems, value.Object(p.fields()...)...)
	problems = append(problems, p.check()...)
	if err := problems.Err(); err != nil {
		return Settings{}, err
	}
	return p.settings, nil
}
