package peer

import (
	"errors"
	"time"

	"jayfold.dev/jayfold/internal/core/fleet"
	"jayfold.dev/jayfold/internal/core/message"
)

// wireLease is the encoded form of all messages about in-service leases. Asker is the requester, and Doubtful is the field
// RecentlyFailed of message.LeaseGrant.
type wireLease struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack through reflection

	Number   uint64
	Asker    string
	Grantor  string
	Pool     string
	Duration time.Duration
	BadShare float64
	Suspect  bool
	Doubtful bool
}

type wireTablesRequest struct {
	Revision uint64
	Parts    []fleet.PartSum `msgpack:",omitempty"`
}

type wireTablesContent struct {
	Revision uint64
	Content  []byte
	Parts    []fleet.TablesPart `msgpack:",omitempty"`
}

var errInvalidLease = errors.New("a lease has a missing or oversized name, a negative duration or a share outside 0 to 1")

// validate returns errInvalidLease unless both targets are present and every value is in range.
func (w wireLease) validate() error {
	validShare := w.BadShare >= 0 && w.BadShare <= 1 // false for NaN
	if !validName(w.Asker) || !validName(w.Grantor) || !validLengths(w.Pool) || w.Duration < 0 || !validShare {
		return errInvalidLease
	}
	return nil
}

func leaseRequestToWire(m message.LeaseRequest) wireLease {
	return wireLease{
		Number:   m.Number,
		Asker:    string(m.Requester),
		Grantor:  string(m.Grantor),
		Pool:     string(m.Pool),
		BadShare: m.BadShare,
	}
}

func leaseRequestFromWire(w wireLease) (message.LeaseRequest, error) {
	return message.LeaseRequest{
		Number:    w.Number,
		Requester: fleet.TargetID(w.Asker),
		Grantor:   fleet.TargetID(w.Grantor),
		Pool:      fleet.PoolName(w.Pool),
		BadShare:  w.BadShare,
	}, w.validate()
}

func leaseGrantToWire(m message.LeaseGrant) wireLease {
	return wireLease{
		Number:   m.Number,
		Asker:    string(m.Requester),
		Grantor:  string(m.Grantor),
		Duration: m.Duration,
		Doubtful: m.RecentlyFailed,
	}
}

func leaseGrantFromWire(w wireLease) (message.LeaseGrant, error) {
	return message.LeaseGrant{
		Number:         w.Number,
		Requester:      fleet.TargetID(w.Asker),
		Grantor:        fleet.TargetID(w.Grantor),
		Duration:       w.Duration,
		RecentlyFailed: w.Doubtful,
	}, w.validate()
}

func leaseRefusalToWire(m message.LeaseRefusal) wireLease {
	return wireLease{Number: m.Number, Asker: string(m.Requester), Grantor: string(m.Grantor), Suspect: m.Suspect}
}

func leaseRefusalFromWire(w wireLease) (message.LeaseRefusal, error) {
	return message.LeaseRefusal{
		Number:    w.Number,
		Requester: fleet.TargetID(w.Asker),
		Grantor:   fleet.TargetID(w.Grantor),
		Suspect:   w.Suspect,
	}, w.validate()
}

func leaseReleaseToWire(m message.LeaseRelease) wireLease {
	return wireLease{Number: m.Number, Asker: string(m.Requester), Grantor: string(m.Grantor)}
}

func leaseReleaseFromWire(w wireLease) (message.LeaseRelease, error) {
	return message.LeaseRelease{
		Number:    w.Number,
		Requester: fleet.TargetID(w.Asker),
		Grantor:   fleet.TargetID(w.Grantor),
	}, w.validate()
}

func leaseRecallToWire(m message.LeaseRecall) wireLease {
	return wireLease{Asker: string(m.Requester), Grantor: string(m.Grantor)}
}

func leaseRecallFromWire(w wireLease) (message.LeaseRecall, error) {
	return message.LeaseRecall{Requester: fleet.TargetID(w.Asker), Grantor: fleet.TargetID(w.Grantor)}, w.validate()
}

func tablesRequestToWire(m message.TablesRequest) wireTablesRequest {
	return wireTablesRequest{Revision: uint64(m.Revision), Parts: m.Parts}
}

func tablesRequestFromWire(w wireTablesRequest) (message.TablesRequest, error) {
	return message.TablesRequest{Revision: fleet.Revision(w.Revision), Parts: w.Parts}, nil
}

func tablesContentToWire(m message.TablesContent) wireTablesContent {
	return wireTablesContent{Revision: uint64(m.Revision), Content: m.Content, Parts: m.Parts}
}

func tablesContentFromWire(w wireTablesContent) (message.TablesContent, error) {
	return message.TablesContent{Revision: fleet.Revision(w.Revision), Content: w.Content, Parts: w.Parts}, nil
}
