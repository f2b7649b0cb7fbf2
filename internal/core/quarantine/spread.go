package quarantine

import (
	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/fleet"
	"jayfold.dev/jayfold/internal/core/message"
)

const (
	// immediateSends is the number of members that receive a changed suspicion at once, since callers resend a request within
	// milliseconds after it has crashed a target. In a small fleet, three members are all of them.
	immediateSends = 3
	// spreadTicks is the number of ticks on which a changed suspicion is sent to one more member. With twelve sends per node, a
	// member misses the suspicion with a probability of about 6e-6.
	spreadTicks = 9
	// maxPerMessage is the maximum number of suspicions in a message.
	maxPerMessage = 16
	// maxOutgoing is the maximum number of changed suspicions that wait for the next ticks.
	maxOutgoing = 128
)

// SuspicionsReceived merges the crash suspicions of another node into the evidence and forwards those that are new.
func (s State) SuspicionsReceived(ctx Context, suspicions []fleet.CrashSuspicion) (State, []effect.Effect) {
	var changed []fleet.Fingerprint
	for _, received := range suspicions[:min(len(suspicions), maxPerMessage)] {
		var isNew bool
		if received.Cleared {
			s, isNew = s.withoutEvidence(ctx, received.Fingerprint)
		} else {
			s, isNew = s.withEvidence(ctx, received)
		}
		if isNew {
			changed = append(changed, received.Fingerprint)
		}
	}
	return s.spread(ctx, changed)
}

// withEvidence merges the evidence of another node. It reports whether the evidence is new and must be forwarded.
func (s State) withEvidence(ctx Context, received fleet.CrashSuspicion) (State, bool) {
	before := s.suspectFor(ctx.Now, received.Fingerprint)
	after := before
	after.targets = union(before.targets, received.Targets)
	if until := ctx.Now.Add(min(received.Remaining, expiry)); until.After(after.expires) {
		after.expires = until
	}
	if len(after.targets) == len(before.targets) {
		return s, false
	}
	return s.withSuspect(received.Fingerprint, after), after.suspected(ctx.Now)
}

// withoutEvidence clears a fingerprint whose requests have succeeded on another node. It reports whether the fingerprint was
// suspected here.
func (s State) withoutEvidence(ctx Context, f fleet.Fingerprint) (State, bool) {
	known, ok := s.suspects.Get(f)
	if !ok || !known.suspected(ctx.Now) {
		return s, false
	}
	known.successes = clearedSuccesses
	known.targets, known.reported = nil, false
	s.suspects = s.suspects.With(f, known)
	return s, true
}

// spread sends changed suspicions to immediateSends members at once and queues them for the next ticks.
func (s State) spread(ctx Context, changed []fleet.Fingerprint) (State, []effect.Effect) {
	if len(changed) == 0 {
		return s, nil
	}
	for _, f := range changed {
		s = s.enqueue(f)
	}
	return s, s.send(ctx, changed, immediateSends)
}

// enqueue queues a changed suspicion for the next ticks.
func (s State) enqueue(f fleet.Fingerprint) State {
	if s.outgoingTicks.Len() < maxOutgoing {
		s.outgoingTicks = s.outgoingTicks.With(f, spreadTicks)
	}
	return s
}

// Tick sends queued suspicions and drops expired evidence.
func (s State) Tick(ctx Context) (State, []effect.Effect) {
	for f, known := range s.suspects.All() {
		if !ctx.Now.Before(known.expires) {
			s.suspects = s.suspects.Without(f)
		}
	}
	var changed []fleet.Fingerprint
	for f, ticks := range s.outgoingTicks.All() {
		if len(changed) == maxPerMessage {
			break
		}
		changed = append(changed, f)
		s.outgoingTicks = s.outgoingTicks.With(f, ticks-1)
		if ticks == 1 {
			s.outgoingTicks = s.outgoingTicks.Without(f)
		}
	}
	if len(changed) == 0 {
		return s, nil
	}
	return s, s.send(ctx, changed, 1)
}

// send sends the changed suspicions to the given number of consecutive members, starting with a random one.
func (s State) send(ctx Context, changed []fleet.Fingerprint, members int) []effect.Effect {
	peers := ctx.Peers()
	suspicions := s.suspicions(ctx, changed)
	var effects []effect.Effect
	for i := range min(members, len(peers)) {
		peer := peers[(ctx.Random%uint64(len(peers))+uint64(i))%uint64(len(peers))]
		effects = append(effects, effect.SendMessage{
			To:      peer.Node,
			Address: peer.PeerAddress,
			Message: message.CrashSuspicions{Suspicions: suspicions},
		})
	}
	return effects
}

// suspicions returns the evidence on the fingerprints in the form in which it is sent.
func (s State) suspicions(ctx Context, changed []fleet.Fingerprint) []fleet.CrashSuspicion {
	var suspicions []fleet.CrashSuspicion
	for _, f := range changed[:min(len(changed), maxPerMessage)] {
		known, ok := s.suspects.Get(f)
		switch {
		case !ok:
			continue
		case !known.suspected(ctx.Now):
			suspicions = append(suspicions, fleet.CrashSuspicion{Fingerprint: f, Cleared: true})
		default:
			suspicions = append(suspicions, fleet.CrashSuspicion{
				Fingerprint: f,
				Targets:     known.targets,
				Remaining:   known.expires.Sub(ctx.Now),
			})
		}
	}
	return suspicions
}
