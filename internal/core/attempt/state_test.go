package attempt

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/fleet"
)

// harness is an ingress in zone z1 in front of a pool of six targets, two in each of three zones.
type harness struct {
	state    State
	ctx      Context
	random   randomSequence
	requests int
}

func newHarness() *harness {
	var directory fleet.Directory
	candidates := make([]fleet.Candidate, 0, 6)
	for i := range 6 {
		node := fleet.NodeID(fmt.Sprintf("n%d", i))
		candidates = append(candidates, fleet.Candidate{
			Target:           fleet.Target{ID: fleet.NewTargetID(node, "t"), Pool: "p", Slots: 4},
			Node:             node,
			AvailabilityZone: fleet.AvailabilityZone(fmt.Sprintf("z%d", i/2+1)),
		})
	}
	h := &harness{state: New("z1")}
	h.ctx = Context{Now: time.Unix(1000, 0), Directory: directory.WithPool("p", candidates)}
	return h
}

func (h *harness) nextRandom() { h.ctx.Random = h.random.next() }

// arrive sends a request to the ingress and returns the effects.
func (h *harness) arrive(idempotent bool, key fleet.IdempotencyKey) []effect.Effect {
	h.nextRandom()
	h.requests++
	route := fleet.Route{Pool: "p", Class: fleet.Lookup, Deadline: time.Second}
	if !idempotent {
		route.Class = fleet.Order
	}
	request := fleet.Request{ID: fleet.RequestID(fmt.Sprintf("r%d", h.requests)), Key: key}
	var effects []effect.Effect
	h.state, effects = h.state.RequestArrived(h.ctx, request, route, idempotent)
	return effects
}

func (h *harness) finish(a fleet.Attempt, outcome fleet.Outcome, report fleet.Option[fleet.TargetReport]) []effect.Effect {
	h.nextRandom()
	var effects []effect.Effect
	h.state, effects = h.state.AttemptFinished(h.ctx, a.ID, outcome, report)
	return effects
}

func (h *harness) tick(after time.Duration) []effect.Effect {
	h.nextRandom()
	h.ctx.Now = h.ctx.Now.Add(after)
	var effects []effect.Effect
	h.state, effects = h.state.Tick(h.ctx)
	return effects
}

func (h *harness) fail(a fleet.Attempt, cause fleet.Cause, verdict fleet.Verdict) []effect.Effect {
	return h.finish(a, failure(cause, verdict), fleet.Option[fleet.TargetReport]{})
}

// refuseAsFull makes a target refuse an attempt because it is full, with the given expected wait.
func (h *harness) refuseAsFull(a fleet.Attempt, wait time.Duration) []effect.Effect {
	busy := report(a.Target, 20*time.Millisecond)
	busy.ExpectedWait = wait
	return h.finish(a, failure(fleet.Overloaded, fleet.NotRun), fleet.Some(busy))
}

func (h *harness) succeed(a fleet.Attempt) []effect.Effect {
	return h.finish(a, fleet.Outcome{Status: 200}, fleet.Some(report(a.Target, 20*time.Millisecond)))
}

// learnBaseline lets the ingress learn a baseline of 20 ms for the pool.
func (h *harness) learnBaseline(t *testing.T) {
	for range 300 {
		h.ctx.Now = h.ctx.Now.Add(10 * time.Millisecond)
		h.succeed(assertForwarded(t, h.arrive(true, "")))
	}
	is.New(t).Equal(h.state.pool("p").baselines[fleet.Lookup].value, 20*time.Millisecond)
}

func failure(cause fleet.Cause, verdict fleet.Verdict) fleet.Outcome {
	return fleet.Outcome{Problem: fleet.Some(fleet.NewProblem(cause, verdict, "test"))}
}

func report(target fleet.TargetID, p95 time.Duration) fleet.TargetReport {
	return fleet.TargetReport{Target: target, Class: fleet.Lookup, P95: p95, Load: fleet.Load{Slots: 4}}
}

// assertForwarded checks that the last effect forwards an attempt, and returns that attempt.
func assertForwarded(t *testing.T, effects []effect.Effect) fleet.Attempt {
	t.Helper()
	is := is.New(t)
	is.True(len(effects) > 0)
	forward, ok := effects[len(effects)-1].(effect.ForwardAttempt)
	is.True(ok)
	return forward.Attempt
}

// assertRefused checks that the last effect refuses a request.
func assertRefused(t *testing.T, effects []effect.Effect, cause fleet.Cause, verdict fleet.Verdict) {
	t.Helper()
	is := is.New(t)
	is.True(len(effects) > 0)
	refusal, ok := effects[len(effects)-1].(effect.RefuseRequest)
	is.True(ok)
	is.Equal(refusal.Problem.Cause, cause)
	is.Equal(refusal.Problem.Verdict, verdict)
	is.True(refusal.Problem.RetryAfter > 0)
}

// assertRelayed checks that the last effect relays the response to an attempt.
func assertRelayed(t *testing.T, effects []effect.Effect, id fleet.AttemptID) {
	t.Helper()
	is := is.New(t)
	is.True(len(effects) > 0)
	response, ok := effects[len(effects)-1].(effect.RelayResponse)
	is.True(ok)
	is.Equal(response.Attempt, id)
}

// TestRetries guards against an order that runs twice, and against requests that fail although another target could serve them.
func TestRetries(t *testing.T) {
	for _, c := range []struct {
		idempotent bool
		cause      fleet.Cause
		verdict    fleet.Verdict
		retried    bool
	}{
		{false, fleet.Overloaded, fleet.NotRun, true},
		{false, fleet.Unreachable, fleet.NotRun, true},
		{false, fleet.Broken, fleet.MayHaveRun, false},
		{false, fleet.TargetFailed, fleet.Ran, false},
		{false, fleet.Duplicate, fleet.NotRun, false},
		{true, fleet.Broken, fleet.MayHaveRun, true},
		{true, fleet.TargetFailed, fleet.Ran, true},
		{true, fleet.Overloaded, fleet.NotRun, true},
		{true, fleet.Quarantined, fleet.NotRun, false},
		{true, fleet.DeadlinePassed, fleet.MayHaveRun, false},
	} {
		t.Run(fmt.Sprintf("idempotent %v, %s, %s", c.idempotent, c.cause, c.verdict), func(t *testing.T) {
			h := newHarness()
			first := assertForwarded(t, h.arrive(c.idempotent, ""))
			effects := h.fail(first, c.cause, c.verdict)
			if !c.retried {
				verdict := c.verdict
				if c.cause == fleet.Duplicate {
					verdict = fleet.MayHaveRun
				}
				assertRefused(t, effects, c.cause, verdict)
				return
			}
			is.New(t).True(assertForwarded(t, effects).Target != first.Target)
		})
	}
}

// TestServerErrorIsPassedOnWhenRetriesFail guards against a server error of a target that is replaced by a less useful refusal.
func TestServerErrorIsPassedOnWhenRetriesFail(t *testing.T) {
	h := newHarness()
	first := assertForwarded(t, h.arrive(true, ""))
	outcome := failure(fleet.TargetFailed, fleet.Ran)
	outcome.Status = 500
	second := assertForwarded(t, h.finish(first, outcome, fleet.Option[fleet.TargetReport]{}))
	assertRelayed(t, h.fail(second, fleet.Quarantined, fleet.NotRun), first.ID)
}

// TestIsRetry guards against retries that are not counted towards the retry budget, and against refusals that are.
func TestIsRetry(t *testing.T) {
	is := is.New(t)
	h := newHarness()
	first := assertForwarded(t, h.arrive(true, ""))
	second := assertForwarded(t, h.refuseAsFull(first, time.Minute))
	is.True(!first.IsRetry && !second.IsRetry) // no target has received the request yet
	third := assertForwarded(t, h.fail(second, fleet.Broken, fleet.MayHaveRun))
	is.True(third.IsRetry)
	fourth := assertForwarded(t, h.fail(third, fleet.RetryBudgetSpent, fleet.NotRun))
	is.True(fourth.IsRetry && fourth.Target != third.Target) // another target may have budget left
}

// TestHedge guards against a lookup that waits for a slow target, and against two responses to one request.
func TestHedge(t *testing.T) {
	is := is.New(t)
	h := newHarness()
	h.learnBaseline(t)
	first := assertForwarded(t, h.arrive(true, ""))
	is.Equal(len(h.tick(25*time.Millisecond)), 0)
	second := assertForwarded(t, h.tick(10*time.Millisecond))
	is.True(second.Target != first.Target)
	effects := h.succeed(second)
	assertRelayed(t, effects, second.ID)
	is.Equal(effects[0], effect.CancelAttempt{Attempt: first.ID})
	is.Equal(len(h.succeed(first)), 0) // A late response is dropped.
	is.Equal(h.state.InFlight(), 0)
	is.Equal(len(h.state.timers.expired(h.ctx.Now.Add(time.Hour))), 0)
}

// TestFrozenTargetsAreCanceled guards against frozen targets that use up the whole deadline of an idempotent request.
func TestFrozenTargetsAreCanceled(t *testing.T) {
	is := is.New(t)
	h := newHarness()
	h.learnBaseline(t)
	first := assertForwarded(t, h.arrive(true, ""))
	assertForwarded(t, h.tick(100*time.Millisecond))
	is.Equal(h.tick(100*time.Millisecond), []effect.Effect{effect.CancelAttempt{Attempt: first.ID}})
}

// TestSlowAttemptsAreKept guards against a running attempt that is canceled in favor of a hedged attempt that another target then
// refuses, and against hedged attempts that wait in a queue or are sent before the expected wait of a queued attempt is over.
func TestSlowAttemptsAreKept(t *testing.T) {
	t.Run("an attempt is kept while other targets refuse the hedged attempt", func(t *testing.T) {
		h := newHarness()
		first := assertForwarded(t, h.arrive(true, ""))
		effects := h.tick(500 * time.Millisecond) // Without a baseline a lookup is hedged after a quarter of its deadline.
		for len(effects) > 0 {
			effects = h.refuseAsFull(assertForwarded(t, effects), 2*time.Second)
		}
		assertRelayed(t, h.succeed(first), first.ID)
	})
	t.Run("the next target is tried when one refuses", func(t *testing.T) {
		h := newHarness()
		h.learnBaseline(t)
		first := assertForwarded(t, h.arrive(true, ""))
		second := assertForwarded(t, h.tick(40*time.Millisecond))
		third := assertForwarded(t, h.refuseAsFull(second, 2*time.Second))
		is.New(t).True(third.Target != first.Target && third.Target != second.Target)
	})
	t.Run("no hedged attempt waits in a queue", func(t *testing.T) {
		is := is.New(t)
		h := newHarness()
		h.learnBaseline(t)
		effects := h.refuseAsFull(assertForwarded(t, h.arrive(true, "")), 100*time.Millisecond)
		effects = h.refuseAsFull(assertForwarded(t, effects), 100*time.Millisecond)
		queued := assertForwarded(t, effects)
		is.True(!queued.Probe)
		for effects = h.tick(200 * time.Millisecond); len(effects) > 0; {
			hedged := assertForwarded(t, effects)
			is.True(hedged.Probe && hedged.Target != queued.Target)
			effects = h.refuseAsFull(hedged, 10*time.Millisecond)
		}
		assertRelayed(t, h.succeed(queued), queued.ID)
	})
	t.Run("a hedged attempt of a request that runs waits in a queue that is short enough", func(t *testing.T) {
		is := is.New(t)
		h := newHarness()
		h.learnBaseline(t)
		hung := assertForwarded(t, h.arrive(true, ""))
		effects := h.tick(40 * time.Millisecond)
		for assertForwarded(t, effects).Probe {
			effects = h.refuseAsFull(assertForwarded(t, effects), 100*time.Millisecond)
		}
		hedged := assertForwarded(t, effects)
		is.True(hedged.Target != hung.Target)
		is.True(hedged.IsRetry)
		assertRelayed(t, h.succeed(hedged), hedged.ID)
	})
	t.Run("a queued attempt is not hedged before its expected wait is over", func(t *testing.T) {
		is := is.New(t)
		h := newHarness()
		h.learnBaseline(t)
		effects := h.arrive(true, "")
		for assertForwarded(t, effects).Probe {
			effects = h.refuseAsFull(assertForwarded(t, effects), 100*time.Millisecond)
		}
		is.Equal(len(h.tick(100*time.Millisecond)), 0)
	})
}

// TestDeadline guards against requests that never end, and against wrong verdicts at the deadline.
func TestDeadline(t *testing.T) {
	t.Run("idempotent", func(t *testing.T) {
		h := newHarness()
		assertForwarded(t, h.arrive(true, ""))
		assertRefused(t, h.tick(time.Second), fleet.DeadlinePassed, fleet.MayHaveRun)
	})
	for _, c := range []struct {
		name    string
		verdict fleet.Verdict
	}{{"canceled before its run", fleet.NotRun}, {"canceled during its run", fleet.MayHaveRun}} {
		t.Run("order "+c.name, func(t *testing.T) {
			h := newHarness()
			order := assertForwarded(t, h.arrive(false, ""))
			is.New(t).Equal(h.tick(time.Second), []effect.Effect{effect.CancelAttempt{Attempt: order.ID}})
			assertRefused(t, h.fail(order, fleet.Canceled, c.verdict), fleet.DeadlinePassed, c.verdict)
		})
	}
	t.Run("order whose cancellation is not confirmed", func(t *testing.T) {
		h := newHarness()
		assertForwarded(t, h.arrive(false, ""))
		h.tick(time.Second)
		is.New(t).Equal(len(h.tick(cancelConfirmTimeout-time.Millisecond)), 0)
		assertRefused(t, h.tick(time.Millisecond), fleet.DeadlinePassed, fleet.MayHaveRun)
	})
}

// TestChoiceByZoneAndLoad guards against unnecessary traffic between zones, and against a full own zone while another zone is
// idle.
func TestChoiceByZoneAndLoad(t *testing.T) {
	is := is.New(t)
	h := newHarness()
	ownZone := map[fleet.TargetID]int{}
	for range 4 {
		ownZone[assertForwarded(t, h.arrive(true, "")).Target]++
	}
	is.Equal(ownZone, map[fleet.TargetID]int{"n0/t": 2, "n1/t": 2})
	otherZones := 0
	for range 20 {
		if target := assertForwarded(t, h.arrive(true, "")).Target; target != "n0/t" && target != "n1/t" {
			otherZones++
		}
	}
	is.True(otherZones >= 10)
}

// TestRefusalsAreCached guards against requests to targets that have just refused one, and against targets that are avoided
// forever.
func TestRefusalsAreCached(t *testing.T) {
	is := is.New(t)
	h := newHarness()
	h.learnBaseline(t)
	refused := assertForwarded(t, h.arrive(true, "")).Target
	h.fail(fleet.Attempt{ID: fleet.NewAttemptID(fleet.RequestID(fmt.Sprintf("r%d", h.requests)), 1)}, fleet.Ejected, fleet.NotRun)
	for range 50 {
		is.True(assertForwarded(t, h.arrive(true, "")).Target != refused)
	}
	h.ctx.Now = h.ctx.Now.Add(refusalLifetime)
	again := false
	for range 50 {
		again = again || assertForwarded(t, h.arrive(true, "")).Target == refused
	}
	is.True(again)
}

// TestUnreachableNodesAreAvoided guards against requests that each spend an attempt on an unreachable node, and against a node
// that is never tried again.
func TestUnreachableNodesAreAvoided(t *testing.T) {
	is := is.New(t)
	h := newHarness()
	tries := 0
	for range 6000 {
		h.ctx.Now = h.ctx.Now.Add(10 * time.Millisecond)
		a := assertForwarded(t, h.arrive(true, ""))
		if a.Node != "n0" {
			h.succeed(a)
			continue
		}
		tries++
		assertForwarded(t, h.fail(a, fleet.Unreachable, fleet.NotRun))
	}
	is.True(tries >= 5 && tries <= 12) // About eight backoffs, doubled from 250 ms, fit into 60 s.
}

// TestOrdersTestUnreachableNodes guards against a node that is avoided for minutes after one failure, because its service has only
// orders, and against orders that each spend an attempt on it.
func TestOrdersTestUnreachableNodes(t *testing.T) {
	is := is.New(t)
	h := newHarness()
	down := h.ctx.Now.Add(3 * time.Second)
	tries, servedAt := 0, time.Time{}
	for range 1000 {
		h.ctx.Now = h.ctx.Now.Add(10 * time.Millisecond)
		a := assertForwarded(t, h.arrive(false, ""))
		switch {
		case a.Node != "n0":
			h.succeed(a)
		case h.ctx.Now.Before(down):
			tries++
			assertForwarded(t, h.fail(a, fleet.Unreachable, fleet.NotRun))
		case servedAt.IsZero():
			servedAt = h.ctx.Now
			h.succeed(a)
		default:
			h.succeed(a)
		}
	}
	is.True(tries >= 2 && tries <= 4) // at 0, 1.25 and 2.75 s, with some jitter
	is.True(!servedAt.IsZero() && servedAt.Before(down.Add(3*time.Second)))
}

// TestHomeTarget guards against requests with the same idempotency key that reach different targets, and against a request with a
// key that is sent to another target because its home target is full.
func TestHomeTarget(t *testing.T) {
	is := is.New(t)
	h := newHarness()
	homes := map[fleet.TargetID]bool{}
	for i := range 50 {
		key := fleet.IdempotencyKey(fmt.Sprintf("k%d", i))
		first := assertForwarded(t, h.arrive(false, key))
		is.Equal(assertForwarded(t, h.arrive(false, key)).Target, first.Target)
		homes[first.Target] = true
	}
	is.Equal(len(homes), 6)
	order := assertForwarded(t, h.arrive(false, "k"))
	assertRefused(t, h.fail(order, fleet.Overloaded, fleet.NotRun), fleet.Overloaded, fleet.NotRun)
}

// TestForcedAttempts guards against orders that are lost on a target that has just failed although healthy ones are only full,
// and against requests that are refused without a forced attempt when the whole pool fails.
func TestForcedAttempts(t *testing.T) {
	t.Run("no attempt is forced while a healthy target is full", func(t *testing.T) {
		h := newHarness()
		effects := h.refuseAsFull(assertForwarded(t, h.arrive(false, "")), time.Minute)
		for {
			forward, ok := effects[len(effects)-1].(effect.ForwardAttempt)
			if !ok {
				break
			}
			is.New(t).True(!forward.Attempt.Forced)
			effects = h.fail(forward.Attempt, fleet.Failing, fleet.NotRun)
		}
		assertRefused(t, effects, fleet.Overloaded, fleet.NotRun)
	})
	// refuse makes every target refuse because it has recently failed.
	refuse := func(h *harness, effects []effect.Effect) []effect.Effect {
		for range 6 {
			effects = h.fail(assertForwarded(t, effects), fleet.Failing, fleet.NotRun)
		}
		return effects
	}
	t.Run("no attempt is forced on a target without a free queue position", func(t *testing.T) {
		is, h := is.New(t), newHarness()
		effects := h.arrive(true, "")
		var full fleet.TargetID
		for range 7 {
			a := assertForwarded(t, effects)
			switch {
			case full == "" && a.Probe:
				full = a.Target
				effects = h.refuseAsFull(a, 100*time.Millisecond)
			case a.Target == full:
				is.True(!a.Probe)
				effects = h.refuseAsFull(a, 100*time.Millisecond) // it lost its queue position to a more urgent request
			default:
				effects = h.fail(a, fleet.Failing, fleet.NotRun)
			}
		}
		for range 5 {
			a := assertForwarded(t, effects)
			is.True(a.Forced)
			is.True(a.Target != full)
			effects = h.fail(a, fleet.Failing, fleet.NotRun)
		}
		assertRefused(t, effects, fleet.Overloaded, fleet.NotRun)
	})
	t.Run("a lookup is forced when every target is suspect", func(t *testing.T) {
		h := newHarness()
		is.New(t).True(assertForwarded(t, refuse(h, h.arrive(true, ""))).Forced)
	})
	t.Run("an order is forced when no target has recovered in time", func(t *testing.T) {
		h := newHarness()
		effects := refuse(h, h.arrive(false, ""))
		for range 9 {
			is.New(t).Equal(len(effects), 0)
			h.ctx.Now = h.ctx.Now.Add(suspectLifetime) // all targets can be tried again
			effects = refuse(h, h.tick(deferInterval-suspectLifetime))
			if len(effects) > 0 {
				break
			}
		}
		is.New(t).True(assertForwarded(t, effects).Forced)
	})
	// shed makes a target refuse an attempt because it has recently shed others.
	shed := func(h *harness, a fleet.Attempt) []effect.Effect {
		r := report(a.Target, 20*time.Millisecond)
		r.Health = fleet.Shedding
		return h.finish(a, failure(fleet.Failing, fleet.NotRun), fleet.Some(r))
	}
	t.Run("any request is forced on a target of a pool that sheds as a whole", func(t *testing.T) {
		is, h := is.New(t), newHarness()
		effects := h.fail(assertForwarded(t, h.arrive(true, "")), fleet.Failing, fleet.NotRun) // a target that breaks requests
		for range minShedRefusals {
			a := assertForwarded(t, effects)
			is.True(!a.Forced)
			effects = shed(h, a)
		}
		is.True(assertForwarded(t, effects).Forced)
	})
	t.Run("no attempt is forced while a target is only full", func(t *testing.T) {
		is, h := is.New(t), newHarness()
		effects := h.refuseAsFull(assertForwarded(t, h.arrive(true, "")), 100*time.Millisecond)
		for range minShedRefusals {
			effects = shed(h, assertForwarded(t, effects))
		}
		is.True(!assertForwarded(t, effects).Forced)
	})
	t.Run("an order goes to a shedding target at once", func(t *testing.T) {
		is, h := is.New(t), newHarness()
		first := assertForwarded(t, h.arrive(false, ""))
		effects := shed(h, first)
		for range 5 {
			effects = h.fail(assertForwarded(t, effects), fleet.Failing, fleet.NotRun)
		}
		order := assertForwarded(t, effects)
		is.True(order.Forced)
		is.Equal(order.Target, first.Target)
	})
	t.Run("a silent target gets lookups and no orders", func(t *testing.T) {
		is, h := is.New(t), newHarness()
		first := assertForwarded(t, h.arrive(true, ""))
		silent := report(first.Target, 20*time.Millisecond)
		silent.Health = fleet.Silent
		h.finish(first, fleet.Outcome{Status: 200}, fleet.Some(silent))
		lookups, orders := 0, 0
		for range 40 {
			if a := assertForwarded(t, h.arrive(true, "")); a.Target == first.Target {
				lookups++
			}
			if a := assertForwarded(t, h.arrive(false, "")); a.Target == first.Target {
				orders++
			}
		}
		is.True(lookups > 0)
		is.Equal(orders, 0)
	})
	t.Run("an order goes to a shedding target also while healthy ones are full", func(t *testing.T) {
		is, h := is.New(t), newHarness()
		effects := h.refuseAsFull(assertForwarded(t, h.arrive(false, "")), time.Minute)
		first := assertForwarded(t, effects)
		effects = shed(h, first)
		for range 4 {
			effects = h.fail(assertForwarded(t, effects), fleet.Failing, fleet.NotRun)
		}
		order := assertForwarded(t, effects)
		is.True(order.Forced)
		is.Equal(order.Target, first.Target)
		assertRefused(t, h.fail(order, fleet.Shed, fleet.NotRun), fleet.Overloaded, fleet.NotRun)
	})
	t.Run("an order goes to the first target that recovers", func(t *testing.T) {
		h := newHarness()
		refuse(h, h.arrive(false, ""))
		order := assertForwarded(t, h.tick(deferInterval))
		is.New(t).True(!order.Forced)
		assertRelayed(t, h.succeed(order), order.ID)
	})
}

// TestDrainDeadline guards against requests that have no response yet when their draining node is killed.
func TestDrainDeadline(t *testing.T) {
	for name, start := range map[string]func(*harness) fleet.Attempt{
		"in flight": func(h *harness) fleet.Attempt {
			first := assertForwarded(t, h.arrive(true, ""))
			h.state = h.state.WithDrainDeadline(h.ctx.Now.Add(200 * time.Millisecond))
			return first
		},
		"arriving": func(h *harness) fleet.Attempt {
			h.state = h.state.WithDrainDeadline(h.ctx.Now.Add(200 * time.Millisecond))
			return assertForwarded(t, h.arrive(true, ""))
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness()
			start(h)
			assertRefused(t, h.tick(200*time.Millisecond), fleet.DeadlinePassed, fleet.MayHaveRun)
		})
	}
}

// TestJustStarted guards against requests that a node refuses shortly after its start because it does not know the targets yet,
// and against requests that wait without end for a pool without targets.
func TestJustStarted(t *testing.T) {
	none, targets := fleet.Directory{}, newHarness().ctx.Directory
	t.Run("targets become known", func(t *testing.T) {
		h := newHarness()
		h.ctx.JustStarted, h.ctx.Directory = true, none
		is.New(t).Equal(len(h.arrive(true, "")), 0)
		h.ctx.Directory = targets
		first := assertForwarded(t, h.tick(deferInterval))
		assertRelayed(t, h.succeed(first), first.ID)
	})
	t.Run("no target becomes known", func(t *testing.T) {
		h := newHarness()
		h.ctx.JustStarted, h.ctx.Directory = true, none
		var effects []effect.Effect
		for h.arrive(true, ""); len(effects) == 0; {
			effects = h.tick(deferInterval)
		}
		assertRefused(t, effects, fleet.NoTarget, fleet.NotRun)
	})
	t.Run("a node that has run for a while refuses at once", func(t *testing.T) {
		h := newHarness()
		h.ctx.Directory = none
		assertRefused(t, h.arrive(true, ""), fleet.NoTarget, fleet.NotRun)
	})
}

// TestBaseline guards against a baseline that one slow target changes, or that a slow pool does not change.
func TestBaseline(t *testing.T) {
	is := is.New(t)
	var b baseline
	now := time.Unix(1000, 0)
	for i, p95 := range []time.Duration{10, 11, 12, 500, 9} {
		now = now.Add(baselineInterval)
		b = b.withReport(now, fleet.TargetID(fmt.Sprint(i)), p95*time.Millisecond)
	}
	is.Equal(b.value, 11*time.Millisecond)
	b = b.withReport(now, "0", 100*time.Millisecond)
	is.Equal(b.value, 11*time.Millisecond) // At most one computation per second.
	b = b.withReport(now.Add(baselineInterval), "1", 100*time.Millisecond)
	is.Equal(b.value, 100*time.Millisecond)
}

// TestStateIsBounded guards against a state that grows with the number of requests ever made.
func TestStateIsBounded(t *testing.T) {
	is := is.New(t)
	h := newHarness()
	h.learnBaseline(t)
	for range 100 {
		assertForwarded(t, h.arrive(true, ""))
	}
	h.tick(2 * time.Second)
	h.tick(viewLifetime)
	h.tick(time.Second)
	is.Equal(h.state.InFlight(), 0)
	is.Equal(h.state.pools.Len(), 0)
	is.Equal(h.state.timers.entries.Len(), 0)
}
