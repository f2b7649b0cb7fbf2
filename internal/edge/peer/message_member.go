package peer

import (
	"errors"
	"fmt"
	"time"

	"jayfold.dev/jayfold/internal/core/fleet"
	"jayfold.dev/jayfold/internal/core/message"
)

// wireMember is the encoded form of fleet.Member. Members and their targets are encoded as arrays, not as maps: they make up most
// of the control traffic, and field names would take more bytes than the values. Departures holds the tombstones.
type wireMember struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack through reflection

	Node             string
	AvailabilityZone string
	PeerAddress      string
	ForwardAddress   string
	Incarnation      uint64
	Sequence         uint64
	Status           uint8
	Targets          []wireTarget
	Departures       []wireTombstone
}

// wireTarget is the encoded form of fleet.Target. Name is the target's id without the node's id.
type wireTarget struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack through reflection

	Name    string
	Pool    string
	State   uint8
	Slots   int
	Ejected bool
}

// wireTombstone is the encoded form of fleet.Tombstone. Name is the target's id without the node's id, and Started is in Unix
// milliseconds.
type wireTombstone struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack through reflection

	Name     string
	Instance string
	Started  int64
}

// wireVersion is the encoded form of message.MemberVersion.
type wireVersion struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack through reflection

	Node        string
	Incarnation uint64
	Sequence    uint64
	Status      uint8
}

// wirePing and the other messages are encoded as maps, whose unknown fields an older version ignores. Arrays can't be extended.
type wirePing struct {
	Sequence uint64
	Epoch    uint64       `msgpack:",omitempty"`
	Members  []wireMember `msgpack:",omitempty"`
}

type wireAck struct {
	Sequence uint64
	Epoch    uint64 `msgpack:",omitempty"`
	Subject  string
	Members  []wireMember `msgpack:",omitempty"`
}

type wirePingRequest struct {
	Sequence uint64
	Subject  string
	Address  string
}

type wireSyncRequest struct {
	Number  uint64
	After   string
	Through string
	Digest  []wireVersion
}

type wireSyncReply struct {
	Number  uint64
	Through string
	Members []wireMember
}

var errInvalidMember = errors.New("a member record has a missing or oversized name, an unknown status or too many targets")

func memberToWire(m fleet.Member) wireMember {
	return wireMember{
		Node:             string(m.Node),
		AvailabilityZone: string(m.AvailabilityZone),
		PeerAddress:      m.PeerAddress,
		ForwardAddress:   m.ForwardAddress,
		Incarnation:      uint64(m.Incarnation),
		Sequence:         m.Sequence,
		Status:           uint8(m.Status),
		Targets:          convertAll(m.Targets, targetToWire(m.Node)),
		Departures:       convertAll(m.Tombstones, tombstoneToWire(m.Node)),
	}
}

func memberFromWire(w wireMember) (fleet.Member, error) {
	if !validName(w.Node) || !validLengths(w.AvailabilityZone, w.PeerAddress, w.ForwardAddress) ||
		w.Status > uint8(fleet.Dead) || len(w.Targets) > listLimit {
		return fleet.Member{}, errInvalidMember
	}
	targets, err := convertAllChecked(w.Targets, targetFromWire(fleet.NodeID(w.Node)))
	if err != nil {
		return fleet.Member{}, err
	}
	tombstones, err := convertAllChecked(w.Departures, tombstoneFromWire(fleet.NodeID(w.Node)))
	return fleet.Member{
		Node:             fleet.NodeID(w.Node),
		AvailabilityZone: fleet.AvailabilityZone(w.AvailabilityZone),
		PeerAddress:      w.PeerAddress,
		ForwardAddress:   w.ForwardAddress,
		Incarnation:      fleet.Incarnation(w.Incarnation),
		Sequence:         w.Sequence,
		Status:           fleet.MemberStatus(w.Status),
		Targets:          targets,
		Tombstones:       tombstones,
	}, err
}

// localName returns a target's id without the node's id.
func localName(node fleet.NodeID, id fleet.TargetID) string {
	return string(id[min(len(id), len(node)+1):])
}

func tombstoneToWire(node fleet.NodeID) func(fleet.Tombstone) wireTombstone {
	return func(t fleet.Tombstone) wireTombstone {
		return wireTombstone{Name: localName(node, t.Target), Instance: t.Instance, Started: t.Started.UnixMilli()}
	}
}

func tombstoneFromWire(node fleet.NodeID) func(wireTombstone) (fleet.Tombstone, error) {
	return func(w wireTombstone) (fleet.Tombstone, error) {
		if !validName(w.Name) || !validLengths(w.Instance) {
			return fleet.Tombstone{}, errInvalidMember
		}
		return fleet.Tombstone{
			Target:   fleet.NewTargetID(node, w.Name),
			Instance: w.Instance,
			Started:  time.UnixMilli(w.Started),
		}, nil
	}
}

func targetToWire(node fleet.NodeID) func(fleet.Target) wireTarget {
	return func(t fleet.Target) wireTarget {
		return wireTarget{
			Name:    localName(node, t.ID),
			Pool:    string(t.Pool),
			State:   uint8(t.State),
			Slots:   t.Slots,
			Ejected: t.Ejected,
		}
	}
}

func targetFromWire(node fleet.NodeID) func(wireTarget) (fleet.Target, error) {
	return func(w wireTarget) (fleet.Target, error) {
		if !validName(w.Name) || !validName(w.Pool) || w.State > uint8(fleet.TargetDraining) || w.Slots < 0 {
			return fleet.Target{}, errInvalidMember
		}
		return fleet.Target{
			ID:      fleet.NewTargetID(node, w.Name),
			Pool:    fleet.PoolName(w.Pool),
			State:   fleet.TargetState(w.State),
			Slots:   w.Slots,
			Ejected: w.Ejected,
		}, nil
	}
}

func pingToWire(m message.Ping) wirePing {
	return wirePing{Sequence: m.Sequence, Epoch: uint64(m.Epoch), Members: convertAll(m.Members, memberToWire)}
}

func pingFromWire(w wirePing) (message.Ping, error) {
	members, err := convertAllChecked(w.Members, memberFromWire)
	return message.Ping{Sequence: w.Sequence, Epoch: fleet.Epoch(w.Epoch), Members: members}, err
}

func ackToWire(m message.Ack) wireAck {
	return wireAck{
		Sequence: m.Sequence, Epoch: uint64(m.Epoch), Subject: string(m.Subject), Members: convertAll(m.Members, memberToWire),
	}
}

func ackFromWire(w wireAck) (message.Ack, error) {
	members, err := convertAllChecked(w.Members, memberFromWire)
	return message.Ack{
		Sequence: w.Sequence, Epoch: fleet.Epoch(w.Epoch), Subject: fleet.NodeID(w.Subject), Members: members,
	}, err
}

func pingRequestToWire(m message.PingRequest) wirePingRequest {
	return wirePingRequest{Sequence: m.Sequence, Subject: string(m.Subject), Address: m.Address}
}

func pingRequestFromWire(w wirePingRequest) (message.PingRequest, error) {
	return message.PingRequest{Sequence: w.Sequence, Subject: fleet.NodeID(w.Subject), Address: w.Address}, nil
}

func syncRequestToWire(m message.SyncRequest) wireSyncRequest {
	return wireSyncRequest{
		Number:  m.Number,
		After:   string(m.After),
		Through: string(m.Through),
		Digest:  convertAll(m.Digest, versionToWire),
	}
}

func syncRequestFromWire(w wireSyncRequest) (message.SyncRequest, error) {
	digest, err := convertAllChecked(w.Digest, versionFromWire)
	return message.SyncRequest{
		Number:  w.Number,
		After:   fleet.NodeID(w.After),
		Through: fleet.NodeID(w.Through),
		Digest:  digest,
	}, err
}

func syncReplyToWire(m message.SyncReply) wireSyncReply {
	return wireSyncReply{Number: m.Number, Through: string(m.Through), Members: convertAll(m.Members, memberToWire)}
}

func syncReplyFromWire(w wireSyncReply) (message.SyncReply, error) {
	members, err := convertAllChecked(w.Members, memberFromWire)
	return message.SyncReply{Number: w.Number, Through: fleet.NodeID(w.Through), Members: members}, err
}

func versionToWire(v message.MemberVersion) wireVersion {
	return wireVersion{
		Node:        string(v.Node),
		Incarnation: uint64(v.Incarnation),
		Sequence:    v.Sequence,
		Status:      uint8(v.Status),
	}
}

func versionFromWire(w wireVersion) (message.MemberVersion, error) {
	if !validName(w.Node) || w.Status > uint8(fleet.Dead) {
		return message.MemberVersion{}, errInvalidMember
	}
	return message.MemberVersion{
		Node:        fleet.NodeID(w.Node),
		Incarnation: fleet.Incarnation(w.Incarnation),
		Sequence:    w.Sequence,
		Status:      fleet.MemberStatus(w.Status),
	}, nil
}

// validName reports whether a required name is not empty and not too long.
func validName(name string) bool { return name != "" && len(name) <= nameLimit }

// validLengths reports whether all texts are within nameLimit.
func validLengths(texts ...string) bool {
	for _, text := range texts {
		if len(text) > nameLimit {
			return false
		}
	}
	return true
}

func convertAll[A, B any](from []A, convert func(A) B) []B {
	if len(from) == 0 {
		return nil
	}
	to := make([]B, 0, len(from))
	for _, a := range from {
		to = append(to, convert(a))
	}
	return to
}

func convertAllChecked[A, B any](from []A, convert func(A) (B, error)) ([]B, error) {
	if len(from) > listLimit {
		return nil, fmt.Errorf("a list has more than %d elements", listLimit)
	}
	var to []B
	for _, a := range from {
		b, err := convert(a)
		if err != nil {
			return nil, err
		}
		to = append(to, b)
	}
	return to, nil
}
