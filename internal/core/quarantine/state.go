// Package quarantine finds the requests that crash targets and refuses them.
//
// A fingerprint becomes suspected when a target's process dies while a request with it is in flight. It is quarantined
// when it was in flight at crashes of two different targets with almost no successes, and until ten minutes after the
// second. Successes count from before the first crash; each further crash halves them, so that a request which turns bad is
// found as well, and a popular lookup that merely was in flight is not.
//
// The second crash often happens on another host than the first. Suspicions therefore spread from node to node: each
// node sends what is new to it to spreadAtOnce random members, and on each of the next spreadTicks ticks to one more. What a
// node knows is the union of what it saw and received, so the order of the messages does not matter.
//
// # Usage
//
//	state := quarantine.New()
//	state = state.Succeeded(now, fingerprint)
//	state, effects := state.Crashed(ctx, target, inFlight)
//	state, effects = state.Received(ctx, suspicions)
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
	// expiry is how long the evidence of a crash counts, and how long a quarantine lasts.
	expiry = 10 * time.Minute
	// crashesNeeded is the number of different targets whose crashes quarantine a fingerprint.
	crashesNeeded = 2
	// maxCulpritCredit is the credit up to which a fingerprint can be the cause of a crash: almost no successes.
	maxCulpritCredit = 1
	// clearedCredit is the credit of a fingerprint that another node cleared. It outlasts the halving by one crash, before
	// which old evidence may arrive late.
	clearedCredit = 2*maxCulpritCredit + 1
	// maxSuspects bounds the fingerprints that are remembered; the ones that expire first make room.
	maxSuspects = 512
	// maxPerCrash bounds the fingerprints that one crash makes suspected.
	maxPerCrash = 64
	// reportDuration is how long a node's own decisions go with its replies.
	reportDuration = time.Minute
	// maxPerReport bounds the fingerprints that go with one reply.
	maxPerReport = 16
)

// State holds the suspected and the quarantined fingerprints.
type State struct {
	suspects  fleet.Map[fleet.Fingerprint, suspect]
	successes successCounts
	// outgoingTicks gives the ticks on which news is still to be sent.
	outgoingTicks fleet.Map[fleet.Fingerprint, int]
}

// Context is what the quarantine part is given with an event that may make it send messages.
type Context struct {
	Now    time.Time
	Random uint64
	// Peers lists the other members that are alive.
	Peers func() []fleet.Member
}

// suspect is what is known of one fingerprint.
type suspect struct {
	// targets are those that crashed while a request with the fingerprint was in flight, in id order.
	targets []fleet.TargetID
	// credit counts successes, halved by each crash.
	credit  float64
	expires time.Time
	// reported means that another node has quarantined the fingerprint.
	reported bool
	// quarantinedAt is when this node saw the crash that made the evidence sufficient.
	quarantinedAt time.Time
}

// quarantined reports whether the evidence suffices for a quarantine.
func (s suspect) quarantined(now time.Time) bool {
	return s.suspected(now) && (s.reported || len(s.targets) >= crashesNeeded)
}

// suspected reports whether the fingerprint can be the cause of a crash.
func (s suspect) suspected(now time.Time) bool {
	return s.credit <= maxCulpritCredit && now.Before(s.expires)
}

// New returns the state without any fingerprint.
func New() State { return State{} }

// TargetCrashed records that a local target died while requests with these fingerprints were in flight.
func (s State) TargetCrashed(
	ctx Context, target fleet.TargetID, inFlight []fleet.Fingerprint,
) (State, []effect.Effect) {
	inFlight = distinct(inFlight)
	var effects []effect.Effect
	var news []fleet.Fingerprint
	for _, f := range inFlight[:min(len(inFlight), maxPerCrash)] {
		before := s.suspectFor(ctx.Now, f)
		after := before.withCrash(ctx.Now, target)
		if after.quarantined(ctx.Now) && !before.quarantined(ctx.Now) {
			after.quarantinedAt = ctx.Now
			effects = append(effects, quarantineLog(f, after))
		}
		s = s.withSuspect(f, after)
		if after.suspected(ctx.Now) {
			news = append(news, f)
		}
	}
	s, sent := s.spread(ctx, news)
	return s, append(effects, sent...)
}

// withCrash returns the suspect after one more crash with it in flight.
func (s suspect) withCrash(now time.Time, target fleet.TargetID) suspect {
	s.targets = union(s.targets, []fleet.TargetID{target})
	s.credit /= 2
	s.expires = now.Add(expiry)
	return s
}

// suspectFor returns what is known of a fingerprint. One that is new, or whose evidence has expired, starts with its successes.
func (s State) suspectFor(now time.Time, f fleet.Fingerprint) suspect {
	known, ok := s.suspects.Get(f)
	if !ok || !now.Before(known.expires) {
		return suspect{credit: s.successes.of(f)}
	}
	return known
}

// withSuspect remembers a suspect, in place of the one that expires first when there are too many.
func (s State) withSuspect(f fleet.Fingerprint, changed suspect) State {
	if _, known := s.suspects.Get(f); !known && s.suspects.Len() >= maxSuspects {
		s.suspects = s.suspects.Without(s.firstToExpire())
	}
	s.suspects = s.suspects.With(f, changed)
	return s
}

func (s State) firstToExpire() fleet.Fingerprint {
	var soonest fleet.Fingerprint
	var until time.Time
	for f, known := range s.suspects.All() {
		if until.IsZero() || known.expires.Before(until) {
			soonest, until = f, known.expires
		}
	}
	return soonest
}

// RequestSucceeded records that a request with this fingerprint was answered by a target.
func (s State) RequestSucceeded(now time.Time, f fleet.Fingerprint) State {
	s.successes = s.successes.with(now, f)
	before, ok := s.suspects.Get(f)
	if !ok {
		return s
	}
	after := before
	after.credit++
	if before.suspected(now) && !after.suspected(now) {
		after.targets, after.reported = nil, false
		s = s.enqueue(f)
	}
	s.suspects = s.suspects.With(f, after)
	return s
}

// QuarantinesReported records the fingerprints that another node quarantined, as its replies say.
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

// RecentQuarantines lists the fingerprints that this node quarantined lately, to pass on with replies. Those that other nodes
// reported are left out, so that no quarantine is extended from node to node.
func (s State) RecentQuarantines(now time.Time) []fleet.Fingerprint {
	var recent []fleet.Fingerprint
	for f, known := range s.suspects.All() {
		if known.quarantined(now) && now.Sub(known.quarantinedAt) < reportDuration && len(recent) < maxPerReport {
			recent = append(recent, f)
		}
	}
	return recent
}

// Status lists the quarantined fingerprints in order.
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

// union returns the targets of both lists in order, up to as many as a quarantine needs.
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
