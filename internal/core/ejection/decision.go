package ejection

import (
	"time"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/fleet"
)

// The pool fails as a whole when at least minSuspects other targets, and one in suspectShare of those that answered, are
// suspect themselves. An availability zone of three, or a rack, stays below the share and can be ejected.
const (
	minSuspects  = 2
	suspectShare = 3
)

// confirmWait is the time between a round that left doubt and the one that decides. A burst reaches the targets of a pool at
// once, but the first of them is judged before the others have had a handful of requests: half a second brings each five at
// 10 req/s. It delays only ejections from a pool in which another target has just failed a request.
const confirmWait = 800 * time.Millisecond

// hold is a reason for which a failing target is not ejected.
type hold string

const (
	heldFloor      hold = "too few healthy targets granted a lease"
	heldCorrelated hold = "the pool fails as a whole"
	heldPromised   hold = "the target has granted a lease"
	heldStarted    hold = "the node has just started"
	heldDoubted    hold = "other targets may be failing too"
)

// round sums up the answers to a round of requests.
type round struct {
	asked, answered, suspects int
	// doubted means that a target had just failed a request.
	doubted bool
}

func (l local) round() round {
	r := round{asked: l.leases.Len()}
	for _, held := range l.leases.All() {
		r.doubted = r.doubted || held.doubtful
		switch held.answer {
		case suspect:
			r.suspects++
			r.answered++
		case granted, refused:
			r.answered++
		}
	}
	return r
}

func (r round) correlated() bool {
	return r.suspects >= minSuspects && r.suspects*suspectShare >= r.answered
}

// confirms reports whether a round may decide although other targets may be failing too, as it follows one with that result.
func (l local) confirms() bool {
	return !l.doubted.IsZero() && l.asked.Sub(l.doubted) < retryTime
}

// decide ends a target's round of requests when enough is known.
func (s State) decide(ctx Context, id fleet.TargetID) (State, []effect.Effect) {
	l, _ := s.targets.Get(id)
	if l.phase != asking {
		return s, nil
	}
	r := l.round()
	complete := r.answered == r.asked
	waited := ctx.Now.Sub(l.asked)
	switch {
	case !complete && waited < opinionWait:
		return s, nil
	case r.correlated():
		return s.hold(ctx, id, heldCorrelated)
	case l.fresh(ctx.Now) < l.needed() && !complete && waited < askWindow:
		return s, nil
	case l.fresh(ctx.Now) < l.needed():
		return s.hold(ctx, id, heldFloor)
	case r.doubted && !l.confirms():
		return s.hold(ctx, id, heldDoubted)
	default:
		return s.eject(ctx, id)
	}
}

// eject takes the target out of service and releases the leases beyond the spare ones.
func (s State) eject(ctx Context, id fleet.TargetID) (State, []effect.Effect) {
	l, _ := s.targets.Get(id)
	l.phase = ejected
	l.retry = false
	l.held = fleet.Set[hold]{}
	l.recovery = l.recovery.ejected(ctx.Now)
	s.targets = s.targets.With(id, l)
	kept := 0
	var effects []effect.Effect
	for grantor, held := range l.leases.All() {
		if held.fresh(ctx.Now) && kept < l.needed()+spareLeases {
			kept++
			continue
		}
		next, more := s.release(ctx, id, grantor)
		s = next
		effects = append(effects, more...)
	}
	return s, append(effects,
		decision(effect.Warn, "target set out of service", id, l,
			effect.LogField{Name: "Leases", Value: kept},
			effect.LogField{Name: "TrialsAfter", Value: l.recovery.wait}),
		count("ejections", l, "failing"))
}

// hold keeps a failing target in service. Each reason is logged once until the target is ejected or has been healthy for
// long. A target of a pool that fails as a whole asks again only after another judgement.
func (s State) hold(ctx Context, id fleet.TargetID, reason hold) (State, []effect.Effect) {
	s, effects := s.releaseAll(ctx, id)
	l, _ := s.targets.Get(id)
	logged := l.held.Has(reason)
	l.phase = serving
	l.held = l.held.With(reason)
	l.retry = reason != heldCorrelated
	l.nextAsk = ctx.Now.Add(backoff(reason, ctx.Random))
	if reason == heldDoubted {
		l.doubted = ctx.Now
	}
	s.targets = s.targets.With(id, l)
	if logged {
		return s, effects
	}
	return s, append(effects,
		decision(effect.Warn, "failing target kept in service", id, l, effect.LogField{Name: "Reason", Value: string(reason)}),
		count("ejections_held", l, string(reason)))
}

func backoff(reason hold, random uint64) time.Duration {
	shortest := minBackoff
	switch reason {
	case heldDoubted:
		return confirmWait
	case heldCorrelated:
		shortest = correlatedBackoff
	}
	return shortest + time.Duration(random%uint64(shortest))
}

// returned puts an ejected target back into service.
func (s State) returned(ctx Context, id fleet.TargetID, reason string) (State, []effect.Effect) {
	s, effects := s.releaseAll(ctx, id)
	l, _ := s.targets.Get(id)
	l.phase = serving
	l.recovery = l.recovery.inService(ctx.Now)
	s.targets = s.targets.With(id, l)
	return s, append(effects,
		decision(effect.Info, "target returned to service", id, l, effect.LogField{Name: "Reason", Value: reason}),
		count("returns", l, reason))
}

// decision returns the log line of a decision with the evidence for it.
func decision(level effect.Level, text string, id fleet.TargetID, l local, more ...effect.LogField) effect.Effect {
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

func count(name string, l local, reason string) effect.Effect {
	tags := []effect.Label{{Name: "pool", Value: string(l.pool)}, {Name: "reason", Value: reason}}
	return effect.AddToCounter{Name: name, Labels: tags, Delta: 1}
}
