package target

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"regexp"

	"jayfold.dev/jayfold/internal/core/fleet"
)

const (
	maxSlots       = 1024
	maxConnections = 65535
	// maxInstanceBytes bounds the length of an instance, in bytes.
	maxInstanceBytes = 128
)

// namePattern leaves out the slash, which separates the node from the name in a target id.
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

// decodeHeartbeat reads an announcement in jayfold's own form.
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
	var faults []string
	state, known := targetStates[wire.State]
	if !known {
		faults = append(faults, fmt.Sprintf("State: %q is neither Ready nor Draining", wire.State))
	}
	if wire.Instance == "" || len(wire.Instance) > maxInstanceBytes {
		faults = append(faults, fmt.Sprintf("Instance: want 1 to %d bytes", maxInstanceBytes))
	}
	if wire.InFlight < 0 {
		faults = append(faults, fmt.Sprintf("InFlight: %d is negative", wire.InFlight))
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
	}, faults, nil
}

func checkName(name string) []string {
	if namePattern.MatchString(name) {
		return nil
	}
	return []string{fmt.Sprintf("name %q: want at most 63 letters, digits, dots, underscores and hyphens", name)}
}

// validate returns everything that is wrong with an announcement, whatever form it came in.
func (s *Server) validate(a fleet.Heartbeat) []string {
	faults := checkName(a.Name)
	add := func(ok bool, format string, values ...any) {
		if !ok {
			faults = append(faults, fmt.Sprintf(format, values...))
		}
	}
	add(s.seams.KnownPool(a.Pool), "Pool: no pool %q in the tables", a.Pool)
	add(onHost(s.host, a.Address), "Address: %q is not an IP address and port on this host, %s", a.Address, s.host)
	add(a.Slots >= 1 && a.Slots <= maxSlots, "Slots: %d is not in 1..%d", a.Slots, maxSlots)
	add(a.Connections >= 1 && a.Connections <= maxConnections,
		"Connections: %d is not in 1..%d", a.Connections, maxConnections)
	return faults
}

// onHost reports whether address is an IP address and port on the host. All loopback addresses are on a loopback host.
func onHost(host netip.Addr, address string) bool {
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
