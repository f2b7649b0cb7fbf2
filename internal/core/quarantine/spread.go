package quarantine

import (
	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/fleet"
	"jayfold.dev/jayfold/internal/core/message"
)

const (
	// immediateSends is the number of members that get news at once: a caller sends a request that crashed a target again
	// within milliseconds, and in a small fleet three members are all.
	immediateSends = 3
	// spreadTicks is the number of ticks on which news goes to one more member each. With twelve sends per node, a member
	// misses the news with a probability of about 6e-6.
	spreadTicks = 9
	// maxPerMessage bounds the suspicions in one message.
	maxPerMessage = 16
	// maxOutgoing bounds the news that waits for the next ticks.
	maxOutgoing = 128
)

// SuspicionsReceived merges the suspicions of another node and passes on what is new.
func (s State) SuspicionsReceived(ctx Context, suspicions []fleet.CrashSuspicion) (State, []effect.Effect) {
	var news []fleet.Fingerprint
	for _, received := range suspicions[:min(len(suspicions), maxPerMessage)] {
		var isNew bool
		if received.Cleared {
			s, isNew = s.withoutEvidence(ctx, received.Fingerprint)
		} else {
			s, isNew = s.withEvidence(ctx, received)
		}
		if isNew {
			news = append(news, received.Fingerprint)
		}
	}
	return s.spread(ctx, news)
}

// withEvidence joins the evidence of another node with this node's own. It reports whether that is new and to be passed on.
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

// withoutEvidence drops the evidence against a fingerprint that was answered elsewhere since.
func (s State) withoutEvidence(ctx Context, f fleet.Fingerprint) (State, bool) {
	known, ok := s.suspects.Get(f)
	if !ok || !known.suspected(ctx.Now) {
		return s, false
	}
	known.credit = clearedCredit
	known.targets, known.reported = nil, false
	s.suspects = s.suspects.With(f, known)
	return s, true
}

// spread sends news to the first members and keeps it for the next ticks.
func (s State) spread(ctx Context, news []fleet.Fingerprint) (State, []effect.Effect) {
	if len(news) == 0 {
		return s, nil
	}
	for _, f := range news {
		s = s.enqueue(f)
	}
	return s, s.send(ctx, news, immediateSends)
}

// enqueue keeps news for the next ticks.
func (s State) enqueue(f fleet.Fingerprint) State {
	if s.outgoingTicks.Len() < maxOutgoing {
		s.outgoingTicks = s.outgoingTicks.With(f, spreadTicks)
	}
	return s
}

// Tick sends news on and drops the evidence that has expired.
func (s State) Tick(ctx Context) (State, []effect.Effect) {
	for f, known := range s.suspects.All() {
		if !ctx.Now.Before(known.expires) {
			s.suspects = s.suspects.Without(f)
		}
	}
	var news []fleet.Fingerprint
	for f, ticks := range s.outgoingTicks.All() {
		if len(news) == maxPerMessage {
			break
		}
		news = append(news, f)
		s.outgoingTicks = s.outgoingTicks.With(f, ticks-1)
		if ticks == 1 {
			s.outgoingTicks = s.outgoingTicks.Without(f)
		}
	}
	if len(news) == 0 {
		return s, nil
	}
	return s, s.send(ctx, news, 1)
}

// send gives the news to as many members, from a random one on.
func (s State) send(ctx Context, news []fleet.Fingerprint, members int) []effect.Effect {
	peers := ctx.Peers()
	suspicions := s.suspicions(ctx, news)
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

// suspicions returns what is known of the fingerprints, as it is sent.
func (s State) suspicions(ctx Context, news []fleet.Fingerprint) []fleet.CrashSuspicion {
	var suspicions []fleet.CrashSuspicion
	for _, f := range news[:min(len(news), maxPerMessage)] {
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
