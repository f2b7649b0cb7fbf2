package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/fleet"
)

// memberPrefix is the prefix of the keys of member records.
const memberPrefix = "members/"

type wireMember struct {
	Node             fleet.NodeID
	AvailabilityZone fleet.AvailabilityZone
	PeerAddress      string
	ForwardAddress   string
	Incarnation      fleet.Incarnation
	Sequence         uint64
	Status           string
	Targets          []wireTarget
	Departures       []wireTombstone `json:",omitempty"`
}

type wireTombstone struct {
	ID       fleet.TargetID
	Instance string
	Started  time.Time
}

type wireTarget struct {
	ID      fleet.TargetID
	Pool    fleet.PoolName
	State   string
	Slots   int
	Ejected bool `json:",omitempty"`
}

var (
	statuses     = []fleet.MemberStatus{fleet.Alive, fleet.Suspect, fleet.Leaving, fleet.Dead}
	targetStates = []fleet.TargetState{fleet.TargetReady, fleet.TargetDraining}
)

const (
	// maxVersion bounds the incarnation and the sequence number of a record. A start time in milliseconds is far below it, and a
	// node that finds an earlier record of its own can still count on from there.
	maxVersion = 1 << 53
	// maxSlots is the limit for the slots in a heartbeat.
	maxSlots = 1024
)

func encodeMember(m fleet.Member) []byte {
	wire := wireMember{
		Node:             m.Node,
		AvailabilityZone: m.AvailabilityZone,
		PeerAddress:      m.PeerAddress,
		ForwardAddress:   m.ForwardAddress,
		Incarnation:      m.Incarnation,
		Sequence:         m.Sequence,
		Status:           m.Status.String(),
		Targets:          make([]wireTarget, 0, len(m.Targets)),
	}
	for _, t := range m.Targets {
		wire.Targets = append(wire.Targets, wireTarget{t.ID, t.Pool, t.State.String(), t.Slots, t.Ejected})
	}
	for _, d := range m.Tombstones {
		wire.Departures = append(wire.Departures, wireTombstone{d.Target, d.Instance, d.Started})
	}
	// Every value of the wire types can be encoded.
	value, _ := json.Marshal(wire)
	return value
}

// decodeMembers returns the records that decode. It logs and skips the others.
func (c *Client) decodeMembers(listed []Object) []fleet.Member {
	members := make([]fleet.Member, 0, len(listed))
	for _, o := range listed {
		var m fleet.Member
		err := o.Err
		if err == nil {
			m, err = decodeMember(strings.TrimPrefix(o.Key, memberPrefix), o.Value)
		}
		if err != nil {
			c.observe(effect.WriteLog{Level: effect.Warn, Component: "platform", Message: "member record skipped", Fields: []effect.LogField{
				{Name: "Key", Value: o.Key},
				{Name: "Error", Value: err.Error()},
			}})
			continue
		}
		members = append(members, m)
	}
	return members
}

func decodeMember(node string, value []byte) (fleet.Member, error) {
	var wire wireMember
	if err := json.Unmarshal(value, &wire); err != nil {
		return fleet.Member{}, fmt.Errorf("the member record does not decode: %w", err)
	}
	if string(wire.Node) != node || node == "" {
		return fleet.Member{}, fmt.Errorf("the member record is of node %q; want %q", wire.Node, node)
	}
	if err := wire.check(); err != nil {
		return fleet.Member{}, err
	}
	status, err := parseName("status", wire.Status, statuses)
	if err != nil {
		return fleet.Member{}, err
	}
	m := fleet.Member{
		Node:             wire.Node,
		AvailabilityZone: wire.AvailabilityZone,
		PeerAddress:      wire.PeerAddress,
		ForwardAddress:   wire.ForwardAddress,
		Incarnation:      wire.Incarnation,
		Sequence:         wire.Sequence,
		Status:           status,
	}
	for _, w := range wire.Targets {
		t, err := decodeTarget(wire.Node, w)
		if err != nil {
			return fleet.Member{}, err
		}
		m.Targets = append(m.Targets, t)
	}
	for _, w := range wire.Departures {
		if w.ID.Node() != wire.Node {
			return fleet.Member{}, fmt.Errorf("the tombstone of %q does not belong to node %q", w.ID, wire.Node)
		}
		m.Tombstones = append(m.Tombstones, fleet.Tombstone{Target: w.ID, Instance: w.Instance, Started: w.Started})
	}
	// The directory needs the targets sorted by id.
	slices.SortFunc(m.Targets, func(a, b fleet.Target) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return m, nil
}

// check returns an error if the record has a value that no node writes. Other programs can write to the platform too.
func (w wireMember) check() error {
	for _, address := range []string{w.PeerAddress, w.ForwardAddress} {
		if address == "" {
			continue
		}
		if parsed, err := netip.ParseAddrPort(address); err != nil || parsed.Port() == 0 {
			return fmt.Errorf("%q is not an IP address and port", address)
		}
	}
	if w.Incarnation > maxVersion || w.Sequence > maxVersion {
		return fmt.Errorf("incarnation %d and sequence number %d are not at most %d", w.Incarnation, w.Sequence, uint64(maxVersion))
	}
	return nil
}

func decodeTarget(node fleet.NodeID, w wireTarget) (fleet.Target, error) {
	if w.ID.Node() != node {
		return fleet.Target{}, fmt.Errorf("target %q does not belong to node %q", w.ID, node)
	}
	state, err := parseName("target state", w.State, targetStates)
	if err != nil {
		return fleet.Target{}, err
	}
	if w.Slots < 0 || w.Slots > maxSlots {
		return fleet.Target{}, fmt.Errorf("target %q has %d slots; want 0 to %d", w.ID, w.Slots, maxSlots)
	}
	return fleet.Target{ID: w.ID, Pool: w.Pool, State: state, Slots: w.Slots, Ejected: w.Ejected}, nil
}

// parseName returns the value whose String method returns name. The error calls the value by its kind.
func parseName[T fmt.Stringer](kind, name string, values []T) (T, error) {
	for _, value := range values {
		if value.String() == name {
			return value, nil
		}
	}
	var zero T
	return zero, fmt.Errorf("unknown %s %q", kind, name)
}

// CountTargets counts the targets of each pool in the member records on the platform. Nodes update their records only every
// few minutes, so the counts are approximate.
func (c *Client) CountTargets(ctx context.Context) (map[fleet.PoolName]int, error) {
	listed, err := c.store.List(ctx, memberPrefix)
	if err != nil {
		return nil, err
	}
	counts := map[fleet.PoolName]int{}
	for _, m := range c.decodeMembers(listed.Objects) {
		for _, t := range m.Targets {
			counts[t.Pool]++
		}
	}
	return counts, nil
}
