package operator

import (
	"time"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/fleet"
)

// status is the JSON form of effect.NodeStatus.
type status struct {
	Node             string
	AvailabilityZone string
	Incarnation      uint64
	Revision         uint64
	NewestRevision   uint64
	Platform         string
	// Epoch is that of the platform's data; 0 if the platform doesn't tell.
	Epoch uint64
	// Unread lists the parts of the revision that the node cannot read.
	Unread []string `json:",omitempty"`
	// Accounts counts the client accounts in force, and UnusableAccounts the entries that cannot be read.
	Accounts         int `json:",omitempty"`
	UnusableAccounts int `json:",omitempty"`
	Draining         bool
	InFlight         int
	Services         []service
	Targets          []target
	Quarantined      []quarantined
	// RateLimits is absent if no account has a rate limit. Waiting is the number of requests that wait for a token.
	RateLimits []rateLimit `json:",omitempty"`
	Waiting    int         `json:",omitempty"`
	Members    []member
}

type service struct {
	Service   string
	Pool      string
	Floor     int
	Known     int
	InService int
}

type target struct {
	Target   string
	Pool     string
	State    string
	Ejected  bool
	InFlight int
	Queued   int
	Slots    int
	Evidence evidence
	// Cost is absent unless targets are placed by cost.
	Cost *targetCost `json:",omitempty"`
}

// targetCost holds the expected wait of a new lookup and the mean run time of all requests on a target.
type targetCost struct {
	ExpectedWait string
	MeanTime     string
}

type evidence struct {
	Judged   int
	Bad      int
	Score    float64
	Baseline string
}

type quarantined struct {
	Fingerprint uint64
	Until       time.Time
}

type rateLimit struct {
	Shard     int
	Allocator string
	Shares    int
	Members   int
}

type member struct {
	Node             string
	AvailabilityZone string
	PeerAddress      string
	ForwardAddress   string
	Incarnation      uint64
	Sequence         uint64
	Status           string
	Targets          []memberTarget
}

type memberTarget struct {
	Target  string
	Pool    string
	State   string
	Slots   int
	Ejected bool
}

// platformStatus maps effect.NodeStatus.PlatformReachable to the value of status.Platform.
var platformStatus = map[bool]string{true: "Reachable", false: "Unreachable"}

func newStatus(s effect.NodeStatus) status {
	return status{
		Node:             string(s.Node),
		AvailabilityZone: string(s.AvailabilityZone),
		Incarnation:      uint64(s.Incarnation),
		Revision:         uint64(s.Revision),
		NewestRevision:   uint64(s.NewestRevision),
		Platform:         platformStatus[s.PlatformReachable],
		Epoch:            uint64(s.Epoch),
		Unread:           s.Unread,
		Accounts:         s.Accounts,
		UnusableAccounts: s.UnusableAccounts,
		Draining:         s.Draining,
		InFlight:         s.InFlight,
		Services:         translateAll(s.Services, newService),
		Targets:          translateAll(s.Targets, newTarget),
		Quarantined:      translateAll(s.Quarantined, newQuarantined),
		RateLimits:       translateAll(s.RateLimits, newRateLimit),
		Waiting:          s.Waiting,
		Members:          translateAll(s.Members, newMember),
	}
}

func newService(s effect.ServiceStatus) service {
	return service{Service: s.Service, Pool: string(s.Pool), Floor: s.Floor, Known: s.Known, InService: s.InService}
}

func newTarget(t effect.TargetStatus) target {
	var cost *targetCost
	if t.MeanTime > 0 {
		cost = &targetCost{ExpectedWait: t.ExpectedWait.String(), MeanTime: t.MeanTime.String()}
	}
	return target{
		Target:   string(t.Target.ID),
		Pool:     string(t.Target.Pool),
		State:    t.Target.State.String(),
		Ejected:  t.Target.Ejected,
		InFlight: t.Load.InFlight,
		Queued:   t.Load.Queued,
		Slots:    t.Load.Slots,
		Evidence: evidence{Judged: t.Judged, Bad: t.Bad, Score: t.Score, Baseline: t.Baseline.String()},
		Cost:     cost,
	}
}

func newQuarantined(q effect.QuarantineStatus) quarantined {
	return quarantined{Fingerprint: uint64(q.Fingerprint), Until: q.Until}
}

func newRateLimit(r effect.RateLimitStatus) rateLimit {
	return rateLimit{Shard: r.Shard, Allocator: string(r.Allocator), Shares: r.Shares, Members: r.Members}
}

func newMember(m fleet.Member) member {
	return member{
		Node:             string(m.Node),
		AvailabilityZone: string(m.AvailabilityZone),
		PeerAddress:      m.PeerAddress,
		ForwardAddress:   m.ForwardAddress,
		Incarnation:      uint64(m.Incarnation),
		Sequence:         m.Sequence,
		Status:           m.Status.String(),
		Targets:          translateAll(m.Targets, newMemberTarget),
	}
}

func newMemberTarget(t fleet.Target) memberTarget {
	return memberTarget{
		Target:  string(t.ID),
		Pool:    string(t.Pool),
		State:   t.State.String(),
		Slots:   t.Slots,
		Ejected: t.Ejected,
	}
}

// translateAll translates every element. Without elements it returns an empty slice, whose JSON form is [] and not null, so that
// clients need no special case.
func translateAll[A, B any](from []A, translate func(A) B) []B {
	to := make([]B, 0, len(from))
	for _, a := range from {
		to = append(to, translate(a))
	}
	return to
}
