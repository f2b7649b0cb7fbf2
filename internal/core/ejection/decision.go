package ejection

import (
	"time"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/fleet"
)

// The pool fails as a whole when at least minSuspects other targets, and one in suspectDivisor of those that replied, are
// suspect themselves. One availability zone of three, or a rack, stays below this fraction and can be ejected.
const (
	minSuspects    = 2
	suspectDivisor = 3
)

// confirmDelay is the delay between an inconclusive round and the one that decides. A burst of failures affects the targets of
// a pool at once, but the first of them is judged before the others have had more than a few requests: at 10 req/s, each receives
// five in half a second. Only ejections from a pool in which another target has just failed a request are delayed.
const confirmDelay = 800 * time.Millisecond

// holdReason is the reason why a failing target is kept in service.
type holdReason string

const (
	holdFloor        holdReason = "too few healthy targets granted a lease"
	holdCorrelated   holdReason = "the pool fails as a whole"
	holdLeaseGranted holdReason = "the target has granted a lease"
	holdNodeStarted  holdReason = "the node has just started"
	holdInconclusive holdReason = "other targets may be failing too"
)

// round summarizes the replies to a round of lease requests.
type round struct {
	requested, replied, suspects int
	// recentFailure is true if a target that replied had just failed a request or is suspect.
	recentFailure bool
}

func (l localTarget) round() round {
	r := round{requested: l.leases.Len()}
	for _, held := range l.leases.All() {
		r.recentFailure = r.recentFailure || held.recentlyFailed
		switch held.reply {
		case replySuspect:
			r.suspects++
			r.replied++
		case replyGranted, replyRefused:
			r.replied++
		}
	}
	return r
}

func (r round) isCorrelated() bool {
	return r.suspects >= minSuspects && r.suspects*suspectDivisor >= r.replied
}

// isConfirmation reports whether the current round follows an inconclusive one, so that it decides although other targets may
// be failing too.
func (l localTarget) isConfirmation() bool {
	return !l.inconclusiveAt.IsZero() && l.roundStarted.Sub(l.inconclusiveAt) < retryWindow
}

// decideRound ends a round of lease requests once the replies suffice for a decision or the round has timed out.
func (s State) decideRound(ctx Context, id fleet.TargetID) (State, []effect.Effect) {
	l, _ := s.targets.Get(id)
	if l.phase != requesting {
		return s, nil
	}
	r := l.round()
	complete := r.replied == r.requested
	waited := ctx.Now.Sub(l.roundStarted)
	switch {
	case !complete && waited < replyWait:
		return s, nil
	case r.isCorrelated():
		return s.keepInService(ctx, id, holdCorrelated)
	case l.validLeases(ctx.Now) < l.neededLeases() && !complete && waited < roundTimeout:
		return s, nil
	case l.validLeases(ctx.Now) < l.neededLeases():
		return s.keepInService(ctx, id, holdFloor)
	case r.recentFailure && !l.isConfirmation():
		return s.keepInService(ctx, id, holdInconclusive)
	default:
		return s.eject(ctx, id)
	}
}

// eject takes the target out of service and releases all leases but those that it needs and the spare ones.
func (s State) eject(ctx Context, id fleet.TargetID) (State, []effect.Effect) {
	l, _ := s.targets.Get(id)
	l.phase = ejected
	l.retrying = false
	l.loggedHolds = fleet.Set[holdReason]{}
	l.recovery = l.recovery.afterEjection(ctx.Now)
	s.targets = s.targets.With(id, l)
	kept := 0
	var effects []effect.Effect
	for grantor, held := range l.leases.All() {
		if held.isValid(ctx.Now) && kept < l.neededLeases()+spareLeases {
			kept++
			continue
		}
		next, more := s.releaseLease(ctx, id, grantor)
		s = next
		effects = append(effects, more...)
	}
	return s, append(effects,
		decisionLog(effect.Warn, "target set out of service", id, l,
			effect.LogField{Name: "Leases", Value: kept},
			effect.LogField{Name: "TrialsAfter", Value: l.recovery.delay}),
		countDecision("ejections", l, "failing"))
}

// keepInService ends a round without an ejection. Each reason is logged once until the target is ejected or has been healthy
// for healthyDuration. If the pool fails as a whole, the target requests leases again only after the detector has found it
// failing once more.
func (s State) keepInService(ctx Context, id fleet.TargetID, reason holdReason) (State, []effect.Effect) {
	s, effects := s.releaseLeases(ctx, id)
	l, _ := s.targets.Get(id)
	logged := l.loggedHolds.Has(reason)
	l.phase = inService
	l.loggedHolds = l.loggedHolds.With(reason)
	l.retrying = reason != holdCorrelated
	l.nextRound = ctx.Now.Add(backoff(reason, ctx.Random))
	if reason == holdInconclusive {
		l.inconclusiveAt = ctx.Now
	}
	s.targets = s.targets.With(id, l)
	if logged {
		return s, effects
	}
	return s, append(effects,
		decisionLog(effect.Warn, "failing target kept in service", id, l, effect.LogField{Name: "Reason", Value: string(reason)}),
		countDecision("ejections_held", l, string(reason)))
}

func backoff(reason holdReason, random uint64) time.Duration {
	shortest := minBackoff
	switch reason {
	case holdInconclusive:
		return confirmDelay
	case holdCorrelated:
		shortest = correlatedBackoff
	}
	return shortest + time.Duration(random%uint64(shortest))
}

// returnToService ends an ejection and releases the leases.
func (s State) returnToService(ctx Context, id fleet.TargetID, reason string) (State, []effect.Effect) {
	s, effects := s.releaseLeases(ctx, id)
	l, _ := s.targets.Get(id)
	l.phase = inService
	l.recovery = l.recovery.afterReturn(ctx.Now)
	s.targets = s.targets.With(id, l)
	return s, append(effects,
		decisionLog(effect.Info, "target returned to service", id, l, effect.LogField{Name: "Reason", Value: reason}),
		countDecision("returns", l, reason))
}

// decisionLog returns the log line of a decision with the evidence behind it.
func decisionLog(level effect.Level, text string, id fleet.TargetID, l localTarget, more ...effect.LogField) effect.Effect {
	fields := []effect.LogField{
		{Name: "Target", Value: id},
		{Name: "Pool", Value: l.pool},
		{Name: "Floor", Value: l.floor},
		{Name: "Judged", Value: l.evidence.Samples},
		{Name: "Bad", Value: l.evidence.BadSamples},
		{Name: "Threshold", Value: l.evidence.Threshold},
		{Name: "Baseline", Value: l.evidence.Baseline},
	}
	return effect.WriteLog{Level: level, Component: "ejection", Message: text, Fields: append(fields, more...)}
}

func countDecision(name string, l localTarget, reason string) effect.Effect {
	labels := []effect.Label{{Name: "pool", Value: string(l.pool)}, {Name: "reason", Value: reason}}
	return effect.AddToCounter{Name: name, Labels: labels, Delta: 1}
}
