package ejection

import (
	"time"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/fleet"
	"jayfold.dev/jayfold/internal/core/message"
)

// spareLeases is how many leases a target holds beyond those it needs, so that one lost grantor does not end an ejection.
const spareLeases = 2

// minOpinions is the number of targets asked at least. Their answers show whether the pool fails as a whole: when half of a
// pool of 55 fails, 24 answers name fewer than a third of them suspect in 1.3% of cases, 8 answers in 15%.
const minOpinions = 24

// opinionWait is how long a target with enough grants waits for the other answers. A round trip takes a few milliseconds.
const opinionWait = 50 * time.Millisecond

// askWindow ends a round in which answers are missing.
const askWindow = 500 * time.Millisecond

// A round that failed for the floor is repeated after a wait between minBackoff and twice that, so that targets that asked
// at the same time and refused one another do not meet again.
const minBackoff = 300 * time.Millisecond

// correlatedBackoff replaces minBackoff when the pool fails as a whole: each round is another chance that the suspects look
// healthy for a moment.
const correlatedBackoff = 2 * time.Second

// retryTime is how long after a judgement a target keeps asking. It is longer than leaseDuration, so that a target that
// had granted a lease itself can ask when that lease has ended.
const retryTime = 8 * time.Second

// ask starts a round of lease requests when the target may ask now.
func (s State) ask(ctx Context, id fleet.TargetID) (State, []effect.Effect) {
	l, _ := s.targets.Get(id)
	if l.phase != serving || !l.retry || ctx.Now.Before(l.nextAsk) {
		return s, nil
	}
	pool, ok := ctx.Tables.Pool(l.pool)
	if !ok {
		return s, nil
	}
	l.floor = pool.Floor
	s.targets = s.targets.With(id, l)
	if ctx.Now.Sub(s.started) < leaseDuration {
		return s.hold(ctx, id, heldStarted)
	}
	if s.promised(ctx.Now, id) {
		return s.hold(ctx, id, heldPromised)
	}
	if len(ctx.Directory.Candidates(l.pool)) <= l.needed() {
		// Not even all other targets together could grant enough leases.
		return s.hold(ctx, id, heldFloor)
	}
	s, effects := s.request(ctx, id, max(l.needed()+spareLeases, minOpinions))
	// The phase changes after the requests, since targets on this host answer at once and the first answer must not decide.
	l, _ = s.targets.Get(id)
	l.phase = asking
	l.asked = ctx.Now
	s.targets = s.targets.With(id, l)
	s, decided := s.decide(ctx, id)
	return s, concat(effects, decided)
}

// request asks further targets of the pool until count leases are held or asked for. The random number decides where in
// the pool it starts.
func (s State) request(ctx Context, id fleet.TargetID, count int) (State, []effect.Effect) {
	l, _ := s.targets.Get(id)
	candidates := ctx.Directory.Candidates(l.pool)
	missing := count - l.leases.Len()
	var effects []effect.Effect
	for i := range candidates {
		if missing <= 0 {
			break
		}
		c := candidates[(i+int(ctx.Random%uint64(len(candidates))))%len(candidates)]
		_, held := l.leases.Get(c.Target.ID)
		// A first round also asks targets that records show as ejected: they answer whether they were ejected lately.
		useless := c.Target.Ejected && l.phase == ejected
		if held || useless || c.Target.ID == id {
			continue
		}
		missing--
		next, more := s.requestFrom(ctx, id, c.Target.ID)
		s = next
		effects = append(effects, more...)
	}
	return s, effects
}

// requestFrom sends one lease request. A lease that is being renewed stays valid until its own end.
func (s State) requestFrom(ctx Context, id, grantor fleet.TargetID) (State, []effect.Effect) {
	s.number++
	l, _ := s.targets.Get(id)
	held, _ := l.leases.Get(grantor)
	held.number = s.number
	held.sent = ctx.Now
	held.answer = pending
	l.leases = l.leases.With(grantor, held)
	s.targets = s.targets.With(id, l)
	return s.deliver(ctx, grantor.Node(), message.LeaseRequest{
		Number:    s.number,
		Requester: id,
		Grantor:   grantor,
		Pool:      l.pool,
		BadShare:  l.evidence.BadShare(),
	})
}

// answered returns the asker's lease that an answer belongs to. Only the answer to the last request counts.
func (s State) answered(asker, grantor fleet.TargetID, number uint64) (lease, bool) {
	l, _ := s.targets.Get(asker)
	held, ok := l.leases.Get(grantor)
	return held, ok && held.number == number
}

func (s State) withLease(asker, grantor fleet.TargetID, held lease) State {
	l, _ := s.targets.Get(asker)
	l.leases = l.leases.With(grantor, held)
	s.targets = s.targets.With(asker, l)
	return s
}

func (s State) granted(ctx Context, m message.LeaseGrant) (State, []effect.Effect) {
	held, ok := s.answered(m.Requester, m.Grantor, m.Number)
	if !ok {
		return s, nil
	}
	held.answer, held.doubtful = granted, m.RecentlyFailed
	held.until = held.sent.Add(usable(m.Duration))
	return s.withLease(m.Requester, m.Grantor, held).decide(ctx, m.Requester)
}

func (s State) refused(ctx Context, m message.LeaseRefusal) (State, []effect.Effect) {
	held, ok := s.answered(m.Requester, m.Grantor, m.Number)
	if !ok {
		return s, nil
	}
	held.answer, held.doubtful = refused, m.Suspect
	if m.Suspect {
		held.answer = suspect
	}
	return s.withLease(m.Requester, m.Grantor, held).decide(ctx, m.Requester)
}

// recalled gives up a lease that its grantor recalled.
func (s State) recalled(ctx Context, m message.LeaseRecall) (State, []effect.Effect) {
	s, effects := s.release(ctx, m.Requester, m.Grantor)
	l, _ := s.targets.Get(m.Requester)
	if l.phase != ejected || l.ejected(ctx.Now) {
		return s, effects
	}
	s, more := s.returned(ctx, m.Requester, "lease recalled")
	return s, concat(effects, more)
}

// renew keeps the leases of an ejected target: old ones are asked for again, dead ones are replaced.
func (s State) renew(ctx Context, id fleet.TargetID) (State, []effect.Effect) {
	l, _ := s.targets.Get(id)
	var effects, more []effect.Effect
	useful := 0
	for grantor, held := range l.leases.All() {
		due := ctx.Now.Sub(held.sent) >= renewInterval
		switch {
		case due && !held.fresh(ctx.Now):
			s, more = s.release(ctx, id, grantor)
		case due:
			s, more = s.requestFrom(ctx, id, grantor)
			useful++
		default:
			more = nil
			if held.answer != refused && held.answer != suspect {
				useful++
			}
		}
		effects = append(effects, more...)
	}
	l, _ = s.targets.Get(id)
	unhelpful := l.leases.Len() - useful
	s, more = s.request(ctx, id, l.needed()+spareLeases+unhelpful)
	return s, append(effects, more...)
}

// release gives up one lease and tells its grantor.
func (s State) release(ctx Context, id, grantor fleet.TargetID) (State, []effect.Effect) {
	l, _ := s.targets.Get(id)
	held, ok := l.leases.Get(grantor)
	if !ok {
		return s, nil
	}
	l.leases = l.leases.Without(grantor)
	s.targets = s.targets.With(id, l)
	return s.deliver(ctx, grantor.Node(), message.LeaseRelease{Number: held.number, Requester: id, Grantor: grantor})
}

func (s State) releaseAll(ctx Context, id fleet.TargetID) (State, []effect.Effect) {
	l, _ := s.targets.Get(id)
	var effects []effect.Effect
	for grantor := range l.leases.All() {
		next, more := s.release(ctx, id, grantor)
		s = next
		effects = append(effects, more...)
	}
	return s, effects
}
