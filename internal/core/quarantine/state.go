// Package quarantine detects requests that crash targets, so that they can be refused.
//
// A fingerprint becomes suspected when a target's process dies while a request with that fingerprint is in flight. It is
// quarantined when such requests were in flight at crashes of two different targets and almost none of them have succeeded. The
// quarantine ends ten minutes after the last of these crashes. Successes before the first crash count as well, and each crash
// halves the count. Requests that begin to crash targets after many successes are thus detected, while a popular lookup that
// was merely in flight is not quarantined.
//
// The second crash often happens on another host than the first. Crash suspicions therefore spread by gossip: each node sends
// new suspicions to immediateSends random members at once, and to one more member on each of the next spreadTicks ticks. The
// evidence of a node is the union of what it has observed and received, so the order of the messages does not matter.
//
// # Usage
//
//	state := quarantine.New()
//	state = state.RequestSucceeded(now, fingerprint)
//	state, effects := state.TargetCrashed(ctx, target, inFlight)
//	state, effects = state.SuspicionsReceived(ctx, suspicions)
//	if state.Suspects().Quarantined(now, fingerprint) { ... }
package quarantine

import (
	"fmt"
	"slices"
	"time"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/fleet"
)

const (
	// expiry is the time for which the evidence of a crash counts and for which a quarantine lasts.
	expiry = 10 * time.Minute
	// crashesNeeded is the number of different targets that must crash before a fingerprint is quarantined.
	crashesNeeded = 2
	// maxSuspectSuccesses is the highest number of successes with which a fingerprint can be suspected: almost none.
	maxSuspectSuccesses = 1
	// clearedSuccesses is the number of successes assumed for a fingerprint that another node has cleared. It stays above
	// maxSuspectSuccesses after one more crash, since older evidence may arrive late.
	clearedSuccesses = 2*maxSuspectSuccesses + 1
	// maxSuspects is the maximum number of fingerprints kept. Beyond it, the one that expires first is dropped.
	maxSuspects = 512
	// maxPerCrash is the maximum number of fingerprints that one crash makes suspected.
	maxPerCrash = 64
	// reportDuration is the time for which a node reports its own quarantines with its responses.
	reportDuration = time.Minute
	// maxPerReport is the maximum number of fingerprints reported with one response.
	maxPerReport = 16
)

// State holds the evidence on suspected and quarantined fingerprints.
type State struct {
	suspects  fleet.Map[fleet.Fingerprint, suspect]
	successes successCounts
	// outgoingTicks holds the number of ticks on which each changed suspicion is still to be sent.
	outgoingTicks fleet.Map[fleet.Fingerprint, int]
}

// Context provides the time, a random number and the peers for events that may cause messages.
type Context struct {
	Now    time.Time
	Random uint64
	// Peers returns the other members that are alive.
	Peers func() []fleet.Member
}

// suspect is the evidence on a fingerprint.
type suspect struct {
	// targets lists, in id order, the targets that crashed while a request with the fingerprint was in flight.
	targets []fleet.TargetID
	// successes is the number of successes. Each crash halves it.
	successes float64
	expires   time.Time
	// reported is true if another node has reported the quarantine of the fingerprint.
	reported bool
	// quarantinedAt is the time of the crash on this node's host that made the evidence sufficient.
	quarantinedAt time.Time
}

// quarantined reports whether the evidence is sufficient for a quarantine.
func (s suspect) quarantined(now time.Time) bool {
	return s.suspected(now) && (s.reported || len(s.targets) >= crashesNeeded)
}

// suspected reports whether requests with the fingerprint may have caused a crash.
func (s suspect) suspected(now time.Time) bool {
	return s.successes <= maxSuspectSuccesses && now.Before(s.expires)
}

// New returns the state without any evidence.
func New() State { return State{} }

// TargetCrashed records the crash of a target on this host while requests with the given fingerprints were in flight.
func (s State) TargetCrashed(
	ctx Context, target fleet.TargetID, inFlight []fleet.Fingerprint,
) (State, []effect.Effect) {
	inFlight = distinct(inFlight)
	var effects []effect.Effect
	var changed []fleet.Fingerprint
	for _, f := range inFlight[:min(len(inFlight), maxPerCrash)] {
		before := s.suspectFor(ctx.Now, f)
		after := before.withCrash(ctx.Now, target)
		if after.quarantined(ctx.Now) && !before.quarantined(ctx.Now) {
			after.quarantinedAt = ctx.Now
			effects = append(effects, quarantineLog(f, after))
		}
		s = s.withSuspect(f, after)
		if after.suspected(ctx.Now) {
			changed = append(changed, f)
		}
	}
	s, sent := s.spread(ctx, changed)
	return s, append(effects, sent...)
}

// withCrash returns the evidence after one more crash.
func (s suspect) withCrash(now time.Time, target fleet.TargetID) suspect {
	s.targets = union(s.targets, []fleet.TargetID{target})
	s.successes /= 2
	s.expires = now.Add(expiry)
	return s
}

// suspectFor returns the evidence on a fingerprint. If there is none or it has expired, it contains only the number of earlier
// successes.
func (s State) suspectFor(now time.Time, f fleet.Fingerprint) suspect {
	known, ok := s.suspects.Get(f)
	if !ok || !now.Before(known.expires) {
		return suspect{successes: s.successes.of(f)}
	}
	return known
}

// withSuspect returns the state with the evidence on a fingerprint. If there are too many, it drops the one that expires first.
func (s State) withSuspect(f fleet.Fingerprint, evidence suspect) State {
	if _, known := s.suspects.Get(f); !known && s.suspects.Len() >= maxSuspects {
		s.suspects = s.suspects.Without(s.firstToExpire())
	}
	s.suspects = s.suspects.With(f, evidence)
	return s
}

func (s State) firstToExpire() fleet.Fingerprint {
	var first fleet.Fingerprint
	var expires time.Time
	for f, known := range s.suspects.All() {
		if expires.IsZero() || known.expires.Before(expires) {
			first, expires = f, known.expires
		}
	}
	return first
}

// RequestSucceeded records that a target has responded to a request with the fingerprint.
func (s State) RequestSucceeded(now time.Time, f fleet.Fingerprint) State {
	s.successes = s.successes.with(now, f)
	before, ok := s.suspects.Get(f)
	if !ok {
		return s
	}
	after := before
	after.successes++
	if before.suspected(now) && !after.suspected(now) {
		after.targets, after.reported = nil, false
		s = s.enqueue(f)
	}
	s.suspects = s.suspects.With(f, after)
	return s
}

// QuarantinesReported records the fingerprints that another node has reported as quarantined with a response.
func (s State) QuarantinesReported(now time.Time, fingerprints []fleet.Fingerprint) State {
	for _, f := range fingerprints {
		known := s.suspectFor(now, f)
		if known.quarantined(now) {
			continue
		}
		known.reported = true
		known.expires = now.Add(expiry)
		s = s.withSuspect(f, known)
	}
	return s
}

// RecentQuarantines returns the fingerprints that this node has recently quarantined, to be reported with responses. Quarantines
// reported by other nodes are left out, since passing them on would extend them from node to node.
func (s State) RecentQuarantines(now time.Time) []fleet.Fingerprint {
	var recent []fleet.Fingerprint
	for f, known := range s.suspects.All() {
		if known.quarantined(now) && now.Sub(known.quarantinedAt) < reportDuration && len(recent) < maxPerReport {
			recent = append(recent, f)
		}
	}
	return recent
}

// Status returns the quarantined fingerprints in order.
func (s State) Status(now time.Time) []effect.QuarantineStatus {
	var status []effect.QuarantineStatus
	for f, known := range s.suspects.All() {
		if known.quarantined(now) {
			status = append(status, effect.QuarantineStatus{Fingerprint: f, Until: known.expires})
		}
	}
	return status
}

func distinct(fingerprints []fleet.Fingerprint) []fleet.Fingerprint {
	sorted := slices.Clone(fingerprints)
	slices.Sort(sorted)
	return slices.Compact(sorted)
}

// union returns the targets of both lists in id order, limited to crashesNeeded.
func union(a, b []fleet.TargetID) []fleet.TargetID {
	joined := slices.Concat(a, b)
	slices.Sort(joined)
	joined = slices.Compact(joined)
	return joined[:min(len(joined), crashesNeeded)]
}

func quarantineLog(f fleet.Fingerprint, known suspect) effect.Effect {
	return effect.WriteLog{
		Level:     effect.Warn,
		Component: "quarantine",
		Message:   "request quarantined",
		Fields: []effect.LogField{
			{Name: "Fingerprint", Value: fmt.Sprintf("%016x", uint64(f))},
			{Name: "Targets", Value: known.targets},
		},
	}
}
