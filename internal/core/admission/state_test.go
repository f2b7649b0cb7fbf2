package admission_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"jayfold.dev/jayfold/internal/core/admission"
	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/fleet"
)

const targetA = fleet.TargetID("n1/a")

// rig is a sidecar with a clock that the test sets.
type rig struct {
	state       admission.State
	now         time.Time
	gate        admission.Gate
	quarantined fleet.Set[fleet.Fingerprint]
	suspected   fleet.Set[fleet.Fingerprint]
	// targets is the size of the pool.
	targets int
	// health and mayTry are what the health part says of every target.
	health  fleet.Health
	mayTry  bool
	effects []effect.Effect
}

// testRetries allow each of two targets ten repeated attempts and a tenth of its requests within the window.
var testRetries = fleet.RetryBudget{Ratio: 0.1, Window: 10 * time.Second, Slack: 20}

// lookupRepeats of the ten are for lookups, and callRepeats for calls of repeated requests too.
const (
	lookupRepeats = 8
	callRepeats   = 9
)

var testSettings = fleet.Settings{RetryBudget: testRetries, HeartbeatInterval: time.Second}

func newRig() *rig {
	return &rig{state: admission.New("n1", testSettings), now: time.Unix(1000, 0), targets: 2}
}

// newWarmRig returns a sidecar whose target a has all of its slots.
func newWarmRig(slots int) *rig {
	r := newRig()
	r.announce("i1", slots)
	r.pass(9*time.Second, "i1", slots)
	r.pass(time.Second, "i1", slots)
	return r
}

func (r *rig) context() admission.Context {
	return admission.Context{
		Now:          r.now,
		Gate:         func(fleet.TargetID) admission.Gate { return r.gate },
		Quarantined:  r.quarantined.Has,
		Suspected:    r.suspected.Has,
		PoolSize:     func(fleet.PoolName) int { return r.targets },
		Health:       func(fleet.TargetID) fleet.Health { return r.health },
		TrialAllowed: func(fleet.TargetID) bool { return r.mayTry },
	}
}

func announcement(instance string, slots int) fleet.Heartbeat {
	return fleet.Heartbeat{
		Name: "a", Pool: "p", Address: "127.0.0.1:1", Slots: slots, Connections: 300, Instance: instance,
	}
}

func (r *rig) announce(instance string, slots int) admission.HeartbeatResult {
	return r.announceAs(announcement(instance, slots))
}

func (r *rig) announceAs(a fleet.Heartbeat) admission.HeartbeatResult {
	var change admission.HeartbeatResult
	r.state, r.effects, change = r.state.HeartbeatReceived(r.context(), a)
	return change
}

// pass lets time go by with ticks and heartbeats.
func (r *rig) pass(d time.Duration, instance string, slots int) {
	for end := r.now.Add(d); r.now.Before(end); {
		r.now = r.now.Add(500 * time.Millisecond)
		r.announce(instance, slots)
		r.tick()
	}
}

func (r *rig) tick() { r.state, r.effects = r.state.Tick(r.context()) }

// attempt returns an attempt with ten seconds left.
func (r *rig) attempt(id string, class fleet.Class) fleet.Attempt {
	return fleet.Attempt{
		ID: fleet.AttemptID(id), Target: targetA, Pool: "p", Class: class, Idempotent: class == fleet.Lookup,
		Deadline: r.now.Add(10 * time.Second), Fingerprint: fleet.Fingerprint(id[0]),
	}
}

func (r *rig) ask(id string, class fleet.Class) { r.askAs(r.attempt(id, class)) }

func (r *rig) askAs(attempt fleet.Attempt) {
	r.state, r.effects = r.state.AttemptArrived(r.context(), attempt)
}

func (r *rig) finish(id string, outcome fleet.Outcome) fleet.Option[admission.FinishedRun] {
	var finished fleet.Option[admission.FinishedRun]
	r.state, r.effects, finished = r.state.RunFinished(r.context(), fleet.AttemptID(id), outcome)
	return finished
}

func failed(cause fleet.Cause, verdict fleet.Verdict, crashed bool) fleet.Outcome {
	return fleet.Outcome{Problem: fleet.Some(fleet.NewProblem(cause, verdict, "")), TargetCrashed: crashed}
}

// assertRuns checks which attempts the last event started.
func (r *rig) assertRuns(is *is.I, want ...fleet.AttemptID) {
	is.Helper()
	var got []fleet.AttemptID
	for _, e := range r.effects {
		if run, ok := e.(effect.StartRun); ok {
			got = append(got, run.Attempt.ID)
		}
	}
	is.Equal(got, want) // the attempts that start
}

// assertRefused checks that the last event refused exactly one attempt, and how.
func (r *rig) assertRefused(is *is.I, id fleet.AttemptID, cause fleet.Cause, verdict fleet.Verdict) effect.RefuseAttempt {
	is.Helper()
	var refusals []effect.RefuseAttempt
	for _, e := range r.effects {
		if refusal, ok := e.(effect.RefuseAttempt); ok {
			refusals = append(refusals, refusal)
		}
	}
	is.Equal(len(refusals), 1) // one attempt is refused
	is.Equal(refusals[0].Attempt, id)
	is.Equal(refusals[0].Problem.Cause, cause)
	is.Equal(refusals[0].Problem.Verdict, verdict)
	is.Equal(refusals[0].Report.Target, targetA) // the refusal carries the load
	return refusals[0]
}

// Guards against a target that runs more than its slots, and against a queue without bound or order.
func TestQueue(t *testing.T) {
	t.Run("runs up to the slots and queues beyond", func(t *testing.T) {
		is, r := is.New(t), newWarmRig(2)
		for _, id := range []string{"1", "2"} {
			r.ask(id, fleet.Lookup)
			r.assertRuns(is, fleet.AttemptID(id))
		}
		r.ask("3", fleet.Lookup)
		r.assertRuns(is)
		is.Equal(r.state.Load(targetA), fleet.Load{InFlight: 2, Queued: 1, Slots: 2})
		r.finish("1", fleet.Outcome{})
		r.assertRuns(is, "3")
	})
	t.Run("fewer connections than slots bound the runs", func(t *testing.T) {
		is, r := is.New(t), newWarmRig(2)
		a := announcement("i1", 2)
		a.Connections = 1
		r.announceAs(a)
		is.Equal(r.state.Load(targetA).Slots, 1)
	})
	t.Run("orders before internal requests before lookups", func(t *testing.T) {
		is, r := is.New(t), newWarmRig(1)
		r.ask("0", fleet.Lookup)
		r.ask("1", fleet.Lookup)
		r.ask("2", fleet.Internal)
		r.ask("3", fleet.Order)
		r.ask("4", fleet.Order)
		for i, next := range []fleet.AttemptID{"3", "4", "2", "1"} {
			r.finish([]string{"0", "3", "4", "2"}[i], fleet.Outcome{})
			r.assertRuns(is, next)
		}
	})
	t.Run("by priority, then by deadline", func(t *testing.T) {
		is, r := is.New(t), newWarmRig(1)
		r.ask("0", fleet.Lookup)
		for _, w := range []struct {
			id       string
			priority int
			left     time.Duration
		}{{"1", 2, time.Second}, {"2", 1, 9 * time.Second}, {"3", 1, 5 * time.Second}, {"4", 1, 5 * time.Second}} {
			a := r.attempt(w.id, fleet.Lookup).WithDeadline(r.now.Add(w.left))
			a.Priority = w.priority
			r.askAs(a)
		}
		for i, next := range []fleet.AttemptID{"3", "4", "2", "1"} {
			r.finish([]string{"0", "3", "4", "2"}[i], fleet.Outcome{})
			r.assertRuns(is, next)
		}
	})
	t.Run("what can meet its goal before what is late", func(t *testing.T) {
		is, r := is.New(t), newWarmRig(1)
		r.ask("0", fleet.Lookup)
		r.finish("0", fleet.Outcome{Duration: time.Second})
		r.ask("0b", fleet.Lookup)
		for _, w := range []struct {
			id         string
			goal, left time.Duration
		}{{"1", 2 * time.Second, 20 * time.Second}, {"2", 3 * time.Second, 20 * time.Second}, {"3", 6 * time.Second, 30 * time.Second}} {
			a := r.attempt(w.id, fleet.Lookup).WithDeadline(r.now.Add(w.left))
			a.Goal = r.now.Add(w.goal)
			r.askAs(a)
		}
		r.now = r.now.Add(2500 * time.Millisecond) // 1 and 2 cannot end within their goals any more
		for i, next := range []fleet.AttemptID{"3", "1", "2"} {
			r.finish([]string{"0b", "3", "1"}[i], fleet.Outcome{Duration: time.Second})
			r.assertRuns(is, next)
		}
	})
	t.Run("refuses what can no longer be answered", func(t *testing.T) {
		is, r := is.New(t), newWarmRig(1)
		r.ask("0", fleet.Lookup)
		r.finish("0", fleet.Outcome{Duration: time.Second})
		r.ask("0b", fleet.Lookup)
		r.askAs(r.attempt("1", fleet.Lookup).WithDeadline(r.now.Add(2500 * time.Millisecond)))
		r.now = r.now.Add(time.Second) // a second of waiting and a second of service are left before it, and half a second more
		r.tick()
		r.assertRefused(is, "1", fleet.Overloaded, fleet.NotRun)
	})
	t.Run("a probe does not wait", func(t *testing.T) {
		is, r := is.New(t), newWarmRig(1)
		r.ask("0", fleet.Lookup)
		r.finish("0", fleet.Outcome{Duration: time.Second})
		r.ask("1", fleet.Lookup)
		probe := r.attempt("2", fleet.Order)
		probe.Probe = true
		r.askAs(probe)
		refusal := r.assertRefused(is, "2", fleet.Overloaded, fleet.NotRun)
		is.Equal(refusal.Report.ExpectedWait, time.Second)
	})
	t.Run("full queue refuses a lookup and gives way to an order", func(t *testing.T) {
		is, r := is.New(t), newWarmRig(1)
		for _, id := range []string{"0", "1", "2", "3", "4"} {
			r.ask(id, fleet.Lookup)
		}
		r.ask("5", fleet.Lookup)
		r.assertRefused(is, "5", fleet.Overloaded, fleet.NotRun)
		r.ask("6", fleet.Order)
		r.assertRefused(is, "4", fleet.Overloaded, fleet.NotRun)
		r.finish("0", fleet.Outcome{})
		r.assertRuns(is, "6")
	})
	t.Run("refuses at once what would wait past its deadline", func(t *testing.T) {
		is, r := is.New(t), newWarmRig(1)
		r.ask("0", fleet.Lookup)
		r.finish("0", fleet.Outcome{Duration: 6 * time.Second})
		r.ask("1", fleet.Lookup)
		r.ask("2", fleet.Lookup) // 6 s of waiting and 6 s of service exceed 10 s
		refusal := r.assertRefused(is, "2", fleet.Overloaded, fleet.NotRun)
		is.Equal(refusal.Problem.RetryAfter, 6*time.Second)
	})
	goal := func(r *rig, id string, class fleet.Class, within time.Duration) fleet.Attempt {
		a := r.attempt(id, class)
		a.Goal = r.now.Add(within)
		return a
	}
	busy := func(r *rig) { // for a second more
		r.ask("0", fleet.Lookup)
		r.finish("0", fleet.Outcome{Duration: time.Second})
		r.ask("1", fleet.Lookup)
	}
	t.Run("refuses at once what would miss its goal by waiting", func(t *testing.T) {
		is, r := is.New(t), newWarmRig(1)
		busy(r)
		r.askAs(goal(r, "2", fleet.Lookup, 1500*time.Millisecond))
		r.assertRefused(is, "2", fleet.Overloaded, fleet.NotRun)
	})
	t.Run("refuses what misses its goal because others went first", func(t *testing.T) {
		is, r := is.New(t), newWarmRig(1)
		busy(r)
		r.askAs(goal(r, "2", fleet.Lookup, 2500*time.Millisecond))
		is.Equal(len(r.effects), 0)
		r.ask("3", fleet.Order)
		r.tick()
		r.assertRefused(is, "2", fleet.Overloaded, fleet.NotRun)
	})
	t.Run("keeps what would miss its goal without waiting", func(t *testing.T) {
		is, r := is.New(t), newWarmRig(1)
		busy(r)
		r.askAs(goal(r, "2", fleet.Lookup, 500*time.Millisecond))
		is.Equal(len(r.effects), 0)
	})
	t.Run("keeps a call that would miss its goal", func(t *testing.T) {
		is, r := is.New(t), newWarmRig(1)
		r.ask("0", fleet.Internal)
		r.finish("0", fleet.Outcome{Duration: time.Second})
		r.ask("1", fleet.Internal)
		r.askAs(goal(r, "2", fleet.Internal, 1500*time.Millisecond))
		is.Equal(len(r.effects), 0)
	})
	t.Run("a late attempt waits for those of its priority that are not", func(t *testing.T) {
		is, r := is.New(t), newWarmRig(1)
		busy(r)
		for range 20 {
			r.announce("i1", 1)
			r.now = r.now.Add(100 * time.Millisecond)
			r.tick()
		}
		r.ask("2", fleet.Order)
		late, timely := goal(r, "3", fleet.Lookup, 500*time.Millisecond), goal(r, "4", fleet.Lookup, 9*time.Second)
		late.Probe, timely.Probe = true, true
		r.askAs(timely)
		timelyWait := r.assertRefused(is, "4", fleet.Overloaded, fleet.NotRun).Report.ExpectedWait
		r.askAs(late)
		is.True(r.assertRefused(is, "3", fleet.Overloaded, fleet.NotRun).Report.ExpectedWait > timelyWait)
	})
	t.Run("counts on the slots that more urgent work leaves over", func(t *testing.T) {
		is, r := is.New(t), newWarmRig(4)
		urgent := func(id string) fleet.Attempt {
			a := r.attempt(id, fleet.Internal)
			return a
		}
		for i := range 4 {
			r.askAs(urgent(fmt.Sprint("u", i)))
		}
		r.finish("u0", fleet.Outcome{Duration: time.Second})
		r.finish("u1", fleet.Outcome{Duration: time.Second})
		r.ask("u4", fleet.Internal)
		r.ask("u5", fleet.Internal)
		for range 40 { // urgent work takes all slots for four seconds
			r.announce("i1", 4)
			r.now = r.now.Add(100 * time.Millisecond)
			r.tick()
		}
		a := r.attempt("x", fleet.Lookup)
		a.Priority = 1
		r.askAs(a)
		a.ID, a.Probe = "y", true
		r.askAs(a)
		refusal := r.assertRefused(is, "y", fleet.Overloaded, fleet.NotRun)
		is.True(refusal.Report.ExpectedWait >= 2*time.Second) // one second of work before it has less than half a slot
	})
	t.Run("refuses what has waited past its deadline", func(t *testing.T) {
		is, r := is.New(t), newWarmRig(1)
		r.ask("0", fleet.Lookup)
		short := r.attempt("1", fleet.Lookup)
		r.askAs(short.WithDeadline(r.now.Add(100 * time.Millisecond)))
		r.now = r.now.Add(200 * time.Millisecond)
		r.tick()
		r.assertRefused(is, "1", fleet.DeadlinePassed, fleet.NotRun)
	})
}

// Guards against repeated attempts that amplify an overload, and against a quiet target that may never get one.
func TestRetryBudget(t *testing.T) {
	// repeat asks for a run of a repeated attempt and reports whether it got one.
	repeat := func(r *rig, id string) bool {
		a := r.attempt(id, fleet.Lookup)
		a.IsRetry = true
		r.askAs(a)
		if _, refused := r.effects[0].(effect.RefuseAttempt); refused {
			return false
		}
		r.finish(id, fleet.Outcome{})
		return true
	}
	call := func(r *rig, id string) bool {
		a := r.attempt(id, fleet.Internal)
		a.ParentRetried = true
		r.askAs(a)
		if _, refused := r.effects[0].(effect.RefuseAttempt); refused {
			return false
		}
		r.finish(id, fleet.Outcome{})
		return true
	}
	// granted counts how many of twice as many attempts as the window allows in all get a run.
	granted := func(r *rig, name string, ask func(*rig, string) bool) int {
		count := 0
		for i := range 20 {
			if ask(r, fmt.Sprint(name, i)) {
				count++
			}
		}
		return count
	}
	t.Run("quiet", func(t *testing.T) {
		is, r := is.New(t), newWarmRig(4)
		is.Equal(granted(r, "a", repeat), lookupRepeats)
		r.assertRefused(is, "a19", fleet.RetryBudgetSpent, fleet.NotRun)
		r.pass(11*time.Second, "i1", 4)
		is.True(repeat(r, "c")) // every window that holds the first ones has passed
	})
	t.Run("calls of repeated requests use up what others leave, and no more", func(t *testing.T) {
		is, r := is.New(t), newWarmRig(4)
		is.Equal(granted(r, "a", repeat), lookupRepeats)
		is.Equal(granted(r, "b", call), callRepeats-lookupRepeats)
		r.assertRefused(is, "b19", fleet.RetryBudgetSpent, fleet.NotRun)
		is.True(!repeat(r, "d"))
	})
	t.Run("others leave room for half as many calls again as there were", func(t *testing.T) {
		is, r := is.New(t), newWarmRig(4)
		for i := range 4 {
			is.True(call(r, fmt.Sprint("a", i)))
		}
		is.Equal(granted(r, "b", repeat), lookupRepeats-4-2)
		is.Equal(granted(r, "c", call), callRepeats-4-2)
	})
	t.Run("a window that begins within a step", func(t *testing.T) {
		is, r := is.New(t), newWarmRig(4)
		r.now = r.now.Add(900 * time.Millisecond)
		is.Equal(granted(r, "a", repeat), lookupRepeats)
		r.pass(9500*time.Millisecond, "i1", 4)
		is.True(!repeat(r, "b"))
		r.assertRefused(is, "b", fleet.RetryBudgetSpent, fleet.NotRun)
	})
	t.Run("targets that have gone keep their share until the window has passed", func(t *testing.T) {
		is, r := is.New(t), newWarmRig(4)
		r.targets = 4
		is.Equal(granted(r, "a", repeat), lookupRepeats/2)
		r.targets = 2
		is.True(!repeat(r, "c"))
		r.pass(11*time.Second, "i1", 4)
		is.Equal(granted(r, "d", repeat), lookupRepeats)
	})
	t.Run("a node that knows no other target takes the size of the pool from the ingress", func(t *testing.T) {
		is, r := is.New(t), newWarmRig(4)
		r.targets = 1
		count := 0
		for i := range 20 {
			a := r.attempt(fmt.Sprint("a", i), fleet.Lookup)
			a.IsRetry, a.PoolSize = true, 2
			r.askAs(a)
			if _, refused := r.effects[0].(effect.RefuseAttempt); !refused {
				count++
				r.finish(string(a.ID), fleet.Outcome{})
			}
		}
		is.Equal(count, lookupRepeats)
	})
	t.Run("a target that has just started has no slack", func(t *testing.T) {
		is, r := is.New(t), newRig()
		r.announce("i1", 4)
		r.pass(time.Second, "i1", 4)
		is.True(!repeat(r, "a"))
		r.assertRefused(is, "a", fleet.RetryBudgetSpent, fleet.NotRun)
		r.pass(9*time.Second, "i1", 4)
		is.True(repeat(r, "b"))
	})
	t.Run("a target's new process goes on with its slack", func(t *testing.T) {
		is, r := is.New(t), newWarmRig(4)
		r.announce("i2", 4)
		is.True(repeat(r, "a"))
	})
	t.Run("busy", func(t *testing.T) {
		is, r := is.New(t), newWarmRig(4)
		repeats := 0
		for i := range 1000 {
			if i%100 == 0 {
				r.announce("i1", 4)
			}
			r.now = r.now.Add(10 * time.Millisecond)
			r.ask(fmt.Sprint("f", i), fleet.Lookup)
			r.finish(fmt.Sprint("f", i), fleet.Outcome{})
			if repeat(r, fmt.Sprint("r", i)) {
				repeats++
			}
		}
		is.True(repeats <= 1000/10+8)
		is.True(repeats >= 50) // the budget is there to be used
	})
}

// Guards against work for targets that must not get any.
func TestRefusals(t *testing.T) {
	cases := []struct {
		name  string
		setUp func(*rig)
		cause fleet.Cause
	}{
		{"unknown target", func(r *rig) { r.state = admission.New("n1", testSettings) }, fleet.UnknownTarget},
		{"target of another pool", func(r *rig) {
			a := announcement("i2", 4)
			a.Pool = "q"
			r.announceAs(a)
		}, fleet.UnknownTarget},
		{"target drains", func(r *rig) {
			a := announcement("i1", 4)
			a.State = fleet.TargetDraining
			r.announceAs(a)
		}, fleet.Draining},
		{"heartbeat overtaken by the drain", func(r *rig) {
			a := announcement("i1", 4)
			a.State = fleet.TargetDraining
			r.announceAs(a)
			r.announce("i1", 4)
		}, fleet.Draining},
		{"target withdrew", func(r *rig) {
			r.state, _ = r.state.TargetWithdrew(r.now, "a")
			r.announce("i1", 4)
		}, fleet.UnknownTarget},
		{"node drains", func(r *rig) { r.state, _ = r.state.DrainStarted(r.now) }, fleet.Draining},
		{"target ejected", func(r *rig) { r.gate = admission.GateClosed }, fleet.Ejected},
		{"request quarantined", func(r *rig) { r.quarantined = fleet.NewSet[fleet.Fingerprint]('x') }, fleet.Quarantined},
		{"no connection", func(r *rig) {
			r.ask("0", fleet.Lookup)
			r.finish("0", failed(fleet.Unreachable, fleet.NotRun, false))
		}, fleet.Unreachable},
		{"three heartbeats missed", func(r *rig) {
			for range 7 {
				r.now = r.now.Add(500 * time.Millisecond)
				r.tick()
			}
		}, fleet.UnknownTarget},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is, r := is.New(t), newWarmRig(4)
			c.setUp(r)
			r.ask("x", fleet.Order)
			r.assertRuns(is)
			r.assertRefused(is, "x", c.cause, fleet.NotRun)
		})
	}
	for name, c := range map[string]struct {
		attempt func(fleet.Attempt) fleet.Attempt
		health  fleet.Health
		mayTry  bool
		runs    bool
	}{
		"an order on a faulty target":               {func(a fleet.Attempt) fleet.Attempt { return a }, fleet.Faulty, true, false},
		"a trial on a faulty target":                {func(a fleet.Attempt) fleet.Attempt { a.Trial = true; return a }, fleet.Faulty, true, true},
		"a trial too soon":                          {func(a fleet.Attempt) fleet.Attempt { a.Trial = true; return a }, fleet.Faulty, false, false},
		"a lookup when no healthy target is left":   {func(a fleet.Attempt) fleet.Attempt { a.Forced, a.Idempotent = true, true; return a }, fleet.Faulty, false, true},
		"an order when no healthy target is left":   {func(a fleet.Attempt) fleet.Attempt { a.Forced = true; return a }, fleet.Faulty, true, true},
		"an order between two trials":               {func(a fleet.Attempt) fleet.Attempt { a.Forced = true; return a }, fleet.Faulty, false, false},
		"an order on a shedding target":             {func(a fleet.Attempt) fleet.Attempt { return a }, fleet.Shedding, true, false},
		"an order when only shedding ones are left": {func(a fleet.Attempt) fleet.Attempt { a.Forced = true; return a }, fleet.Shedding, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			is, r := is.New(t), newWarmRig(4)
			r.health, r.mayTry = c.health, c.mayTry
			r.askAs(c.attempt(r.attempt("1", fleet.Order)))
			if c.runs {
				r.assertRuns(is, "1")
				return
			}
			r.assertRefused(is, "1", fleet.Failing, fleet.NotRun)
		})
	}
	t.Run("trial takes one idempotent attempt", func(t *testing.T) {
		is, r := is.New(t), newWarmRig(4)
		r.gate = admission.GateTrial
		r.ask("1", fleet.Order)
		r.assertRefused(is, "1", fleet.Ejected, fleet.NotRun)
		r.ask("2", fleet.Lookup)
		r.assertRuns(is, "2")
		r.ask("3", fleet.Lookup)
		r.assertRefused(is, "3", fleet.Ejected, fleet.NotRun)
	})
}

// Guards against attempts that are forgotten in the queue of a target that leaves, and against cutting off what runs.
func TestLeavingRefusesTheQueue(t *testing.T) {
	draining := announcement("i1", 1)
	draining.State = fleet.TargetDraining
	cases := []struct {
		name  string
		leave func(*rig)
		cause fleet.Cause
	}{
		{"target drains", func(r *rig) { r.announceAs(draining) }, fleet.Draining},
		{"target withdraws", func(r *rig) { r.state, r.effects = r.state.TargetWithdrew(r.now, "a") }, fleet.Draining},
		{"node drains", func(r *rig) { r.state, r.effects = r.state.DrainStarted(r.now) }, fleet.Draining},
		{"target is ejected", func(r *rig) {
			r.gate = admission.GateClosed
			r.tick()
		}, fleet.Ejected},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is, r := is.New(t), newWarmRig(1)
			r.ask("0", fleet.Order)
			r.ask("1", fleet.Order)
			c.leave(r)
			r.assertRefused(is, "1", c.cause, fleet.NotRun)
			is.Equal(r.state.InFlight(), 1) // the running attempt goes on
			_, ok := r.finish("0", fleet.Outcome{}).Get()
			is.True(ok)
			is.Equal(r.state.InFlight(), 0)
		})
	}
}

// Guards against flooding a process that has just started.
func TestSlowStart(t *testing.T) {
	is, r := is.New(t), newRig()
	is.True(r.announce("i1", 11).NewProcess)
	is.Equal(r.state.Load(targetA).Slots, 1)
	r.pass(5*time.Second, "i1", 11)
	is.Equal(r.state.Load(targetA).Slots, 6)
	r.pass(5*time.Second, "i1", 11)
	is.Equal(r.state.Load(targetA).Slots, 11)
	is.True(!r.announce("i1", 11).NewProcess)
	is.True(r.announce("i2", 11).NewProcess) // a new process starts anew
	is.Equal(r.state.Load(targetA).Slots, 1)
}

// Guards against a service that stays at a fraction of its slots after all of its targets restarted together, where the
// targets tell by themselves that they are slow.
func TestTargetsThatTellTheirStart(t *testing.T) {
	r := newRig()
	a := announcement("i1", 4)
	a.Started = r.now.Add(-time.Second)
	r.announceAs(a)
	is.New(t).Equal(r.state.Load(targetA).Slots, 4)
}

// Guards against a node that was paused taking its own silence for that of its targets.
func TestPauseOfTheNode(t *testing.T) {
	is, r := is.New(t), newWarmRig(2)
	r.now = r.now.Add(time.Minute)
	r.tick()
	is.True(r.state.HasTarget(targetA))
}
