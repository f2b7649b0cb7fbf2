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
	// maxInstance bounds the length of an instance, in bytes.
	maxInstance = 128
)

// namePattern leaves out the slash, which separates the node from the name in a target id.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// wireAnnouncement is the body of PUT /v1/targets/NAME.
type wireAnnouncement struct {
	Pool        string
	Address     string
	Slots       int
	Connections int
	State       string
	Instance    string
	InFlight    int
}

func decodeAnnouncement(body io.Reader) (wireAnnouncement, error) {
	var wire wireAnnouncement
	decoder := json.NewDecoder(body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&wire); err != nil {
		return wireAnnouncement{}, err
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return wireAnnouncement{}, errors.New("more than one JSON value")
	}
	return wire, nil
}

func checkName(name string) []string {
	if namePattern.MatchString(name) {
		return nil
	}
	return []string{fmt.Sprintf("name %q: want at most 63 letters, digits, dots, underscores and hyphens", name)}
}

// faults returns everything that is wrong with the announcement.
func (a wireAnnouncement) faults(host netip.Addr, knownPool func(fleet.PoolName) bool) []string {
	var faults []string
	add := func(ok bool, format string, values ...any) {
		if !ok {
			faults = append(faults, fmt.Sprintf(format, values...))
		}
	}
	_, stateKnown := states[a.State]
	add(knownPool(fleet.PoolName(a.Pool)), "Pool: no pool %q in the tables", a.Pool)
	add(onHost(host, a.Address), "Address: %q is not an IP address and port on this host, %s", a.Address, host)
	add(a.Slots >= 1 && a.Slots <= maxSlots, "Slots: %d is not in 1..%d", a.Slots, maxSlots)
	add(a.Connections >= 1 && a.Connections <= maxConnections,
		"Connections: %d is not in 1..%d", a.Connections, maxConnections)
	add(stateKnown, "State: %q is neither Ready nor Draining", a.State)
	add(a.Instance != "" && len(a.Instance) <= maxInstance, "Instance: want 1 to %d bytes", maxInstance)
	add(a.InFlight >= 0, "InFlight: %d is negative", a.InFlight)
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

var states = map[string]fleet.TargetState{
	fleet.Ready.String():          fleet.Ready,
	fleet.TargetDraining.String(): fleet.TargetDraining,
}

func (a wireAnnouncement) announcement(name string) fleet.Announcement {
	return fleet.Announcement{
		Name:        name,
		Pool:        fleet.PoolName(a.Pool),
		Address:     a.Address,
		Slots:       a.Slots,
		Connections: a.Connections,
		State:       states[a.State],
		Instance:    a.Instance,
		InFlight:    a.InFlight,
	}
}
