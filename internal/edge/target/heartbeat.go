package target

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"regexp"
	"time"

	"jayfold.dev/jayfold/internal/core/fleet"
)

const (
	maxSlots       = 1024
	maxConnections = 65535
	// maxClockDifference is how far the clock of a target may be ahead of that of the node. Heartbeats are ordered by the start of
	// their process, so that one with a start far in the future would hide all that follow.
	maxClockDifference = time.Hour
	// maxInstanceBytes bounds the length of fleet.Heartbeat.Instance.
	maxInstanceBytes = 128
)

// namePattern excludes slashes, since a slash separates the node from the name in a target id.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// wireHeartbeat is the body of PUT /v1/targets/NAME.
type wireHeartbeat struct {
	Pool        string
	Address     string
	Slots       int
	Connections int
	State       string
	Instance    string
	InFlight    int
}

// decodeHeartbeat decodes a heartbeat in jayfold's own format.
func decodeHeartbeat(name string, body io.Reader) (fleet.Heartbeat, []string, error) {
	var wire wireHeartbeat
	decoder := json.NewDecoder(body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&wire); err != nil {
		return fleet.Heartbeat{}, nil, err
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return fleet.Heartbeat{}, nil, errors.New("more than one JSON value")
	}
	var problems []string
	state, known := targetStates[wire.State]
	if !known {
		problems = append(problems, fmt.Sprintf("State: %q is neither Ready nor Draining", wire.State))
	}
	if wire.Instance == "" || len(wire.Instance) > maxInstanceBytes {
		problems = append(problems, fmt.Sprintf("Instance: want 1 to %d bytes", maxInstanceBytes))
	}
	if wire.InFlight < 0 {
		problems = append(problems, fmt.Sprintf("InFlight: %d is negative", wire.InFlight))
	}
	return fleet.Heartbeat{
		Name:        name,
		Pool:        fleet.PoolName(wire.Pool),
		Address:     wire.Address,
		Slots:       wire.Slots,
		Connections: wire.Connections,
		State:       state,
		Instance:    wire.Instance,
		InFlight:    wire.InFlight,
	}, problems, nil
}

func checkName(name string) []string {
	if namePattern.MatchString(name) {
		return nil
	}
	return []string{fmt.Sprintf("name %q: want at most 63 letters, digits, dots, underscores and hyphens", name)}
}

// validate returns the problems of a heartbeat's values.
func (s *Server) validate(h fleet.Heartbeat) []string {
	problems := checkName(h.Name)
	check := func(ok bool, format string, values ...any) {
		if !ok {
			problems = append(problems, fmt.Sprintf(format, values...))
		}
	}
	check(s.seams.KnownPool(h.Pool), "Pool: no pool %q in the tables", h.Pool)
	check(isOnHost(s.host, h.Address), "Address: %q is not an IP address and port on this host, %s", h.Address, s.host)
	check(h.Slots >= 1 && h.Slots <= maxSlots, "Slots: %d is not in 1..%d", h.Slots, maxSlots)
	check(h.Connections >= 1 && h.Connections <= maxConnections,
		"Connections: %d is not in 1..%d", h.Connections, maxConnections)
	check(!h.Started.After(s.seams.Now().Add(maxClockDifference)), "the process starts in the future, at %s", h.Started)
	return problems
}

// isOnHost reports whether address is an IP address and port of the host. Every loopback address belongs to a loopback host.
func isOnHost(host netip.Addr, address string) bool {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil || parsed.Port() == 0 {
		return false
	}
	ip := parsed.Addr().Unmap()
	return ip == host.Unmap() || ip.IsLoopback() && host.Unmap().IsLoopback()
}

var targetStates = map[string]fleet.TargetState{
	fleet.TargetReady.String():    fleet.TargetReady,
	fleet.TargetDraining.String(): fleet.TargetDraining,
}
