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

// rig is the admission state of a sidecar with a controllable clock. effects holds the effects of the last event.
type rig struct {
	state       admission.State
	now         time.Time
	service     admission.ServiceState
	quarantined fleet.Set[fleet.Fingerprint]
	suspected   fleet.Set[fleet.Fingerprint]
	poolSize    int
	// health and allowsTrial apply to every target.
	health      fleet.Health
	allowsTrial bool
	effects     []effect.Effect
}

// testRetryBudget allows each of two targets ten retries, plus a tenth of its requests, within the window.
var testRetryBudget = fleet.RetryBudget{Ratio: 0.1, Window: 10 * time.Second, Slack: 20}

// Of the ten retries, lookups may use maxLookupRetries and child requests of retried requests maxChildRequests.
const (
	maxLookupRetries = 8
	maxChildRequests = 9
)

var testSettings = fleet.Settings{RetryBudget: testRetryBudget, HeartbeatInterval: time.Second}

func newRig() *rig {
	return &rig{state: admission.New("n1", testSettings), now: time.Unix(1000, 0), poolSize: 2}
}

// newWarmRig returns a sidecar whose target a has reached its full number of slots.
func newWarmRig(slots int) *rig {
	r := newRig()
	r.heartbeat("i1", slots)
	r.advance(9*time.Second, "i1", slots)
	r.advance(time.Second, "i1", slots)
	return r
}

func (r *rig) context() admission.Context {
	return admission.Context{
		Now:          r.now,
		ServiceState: func(fleet.TargetID) admission.ServiceState { return r.service },
		Quarantined:  r.quarantined.Has,
		Suspected:    r.suspected.Has,
		PoolSize:     func(fleet.PoolName) int { return r.poolSize },
		Health:       func(fleet.TargetID) fleet.Health { return r.health },
		AllowsTrial:  func(fleet.TargetID) bool { return r.allowsTrial },
	}
}

func newHeartbeat(instance string, slots int) fleet.Heartbeat {
	return fleet.Heartbeat{
		Name: "a", Pool: "p", Address: "127.0.0.1:1", Slots: slots, Connections: 300, Instance: instance,
	}
}

func (r *rig) heartbeat(instance string, slots int) admission.HeartbeatResult {
	return r.receiveHeartbeat(newHeartbeat(instance, slots))
}

func (r *rig) receiveHeartbeat(h fleet.Heartbeat) admission.HeartbeatResult {
	var result admission.HeartbeatResult
	r.state, r.effects, result = r.state.HeartbeatReceived(r.context(), h)
	return result
}

// advance moves the clock forward by d, with ticks and heartbeats.
func (r *rig) advance(d time.Duration, instance string, slots int) {
	for end := r.now.Add(d); r.now.Before(end); {
		r.now = r.now.Add(500 * time.Millisecond)
		r.heartbeat(instance, slots)
		r.tick()
	}
}

func (r *rig) tick() { r.state, r.effects = r.state.Tick(r.context()) }

// attempt returns an attempt with a deadline in ten seconds.
func (r *rig) attempt(id string, class fleet.Class) fleet.Attempt {
	return fleet.Attempt{
		ID: fleet.AttemptID(id), Target: targetA, Pool: "p", Class: class, Idempotent: class == fleet.Lookup,
		Deadline: r.now.Add(10 * time.Second), Fingerprint: fleet.Fingerprint(id[0]),
	}
}

func (r *rig) submit(id string, class fleet.Class) { r.submitAttempt(r.attempt(id, class)) }

func (r *rig) submitAttempt(attempt fleet.Attempt) {
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

// assertRuns checks which attempts the last event has started.
func (r *rig) assertRuns(is *is.I, want ...fleet.AttemptID) {
	is.Helper()
	var got []fleet.AttemptID
	for _, e := range r.effects {
		if run, ok := e.(effect.StartRun); ok {
			got = append(got, run.Attempt.ID)
		}
	}
	is.Equal(got, want) // the attempts that were started
}

// assertRefused checks that the last event refused exactly one attempt, with the given cause and verdict.
func (r *rig) assertRefused(is *is.I, id fleet.AttemptID, cause fleet.Cause, verdict fleet.Verdict) effect.RefuseAttempt {
	is.Helper()
	var refusals []effect.RefuseAttempt
	for _, e := range r.effects {
		if refusal, ok := e.(effect.RefuseAttempt); ok {
			refusals = append(refusals, refusal)
		}
	}
	is.Equal(len(refusals), 1) // exactly one attempt is refused
	is.Equal(refusals[0].Attempt, id)
	is.Equal(refusals[0].Problem.Cause, cause)
	is.Equal(refusals[0].Problem.Verdict, verdict)
	is.Equal(refusals[0].Report.Target, targetA) // the refusal has a report of the target's load
	return refusals[0]
}

// TestQueue guards against a target that runs more attempts than it has slots, and against a queue that is unbounded or
// unordered.
func TestQueue(t *testing.T) {
	t.Run("runs as many as there are slots and queues the others", func(t *testing.T) {
		is, r := is.New(t), newWarmRig(2)
		for _, id := range []string{"1", "2"} {
			r.submit(id, fleet.Lookup)
			r.assertRuns(is, fleet.AttemptID(id))
		}
		r.submit("3", fleet.Lookup)
		r.assertRuns(is)
		is.Equal(r.state.Load(targetA), fleet.Load{InFlight: 2, Queued: 1, Slots: 2})
		r.finish("1", fleet.Outcome{})
		r.assertRuns(is, "3")
	})
	t.Run("fewer connections than slots limit the runs", func(t *testing.T) {
		is, r := is.New(t), newWarmRig(2)
		h := newHeartbeat("i1", 2)
		h.Connections = 1
		r.receiveHeartbeat(h)
		is.Equal(r.state.Load(targetA).Slots, 1)
	})
	t.Run("orders before internal requests before lookups", func(t *testing.T) {
		is, r := is.New(t), newWarmRig(1)
		r.submit("0", fleet.Lookup)
		r.submit("1", fleet.Lookup)
		r.submit("2", fleet.Internal)
		r.submit("3", fleet.Order)
		r.submit("4", fleet.Order)
		for i, next := range []fleet.AttemptID{"3", "4", "2", "1"} {
			r.finish([]string{"0", "3", "4", "2"}[i], fleet.Outcome{})
			r.assertRuns(is, next)
		}
	})
	t.Run("by priority, then by deadline", func(t *testing.T) {
		is, r := is.New(t), newWarmRig(1)
		r.submit("0", fleet.Lookup)
		for _, w := range []struct {
			id       string
			priority int
			left     time.Duration
		}{{"1", 2, time.Second}, {"2", 1, 9 * time.Second}, {"3", 1, 5 * time.Second}, {"4", 1, 5 * time.Second}} {
			a := r.attempt(w.id, fleet.Lookup).WithDeadline(r.now.Add(w.left))
			a.Priority = w.priority
			r.submitAttempt(a)
		}
		for i, next := range []fleet.AttemptID{"3", "4", "2", "1"} {
			r.finish([]string{"0", "3", "4", "2"}[i], fleet.Outcome{})
			r.assertRuns(is, next)
		}
	})
	t.Run("attempts that can meet their goal before late ones", func(t *testing.T) {
		is, r := is.New(t), newWarmRig(1)
		r.submit("0", fleet.Lookup)
		r.finish("0", fleet.Outcome{Duration: time.Second})
		r.submit("0b", fleet.Lookup)
		for _, w := range []struct {
			id         string
			goal, left time.Duration
		}{{"1", 2 * time.Second, 20 * time.Second}, {"2", 3 * time.Second, 20 * time.Second}, {"3", 6 * time.Second, 30 * time.Second}} {
			a := r.attempt(w.id, fleet.Lookup).WithDeadline(r.now.Add(w.left))
			a.Goal = r.now.Add(w.goal)
			r.submitAttempt(a)
		}
		r.now = r.now.Add(2500 * time.Millisecond) // 1 and 2 can no longer meet their goals
		for i, next := range []fleet.AttemptID{"3", "1", "2"} {
			r.finish([]string{"0b", "3", "1"}[i], fleet.Outcome{Duration: time.Second})
			r.assertRuns(is, next)
		}
	})
	t.Run("refuses attempts that can no longer meet their deadline", func(t *testing.T) {
		is, r := is.New(t), newWarmRig(1)
		r.submit("0", fleet.Lookup)
		r.finish("0", fleet.Outcome{Duration: time.Second})
		r.submit("0b", fleet.Lookup)
		r.submitAttempt(r.attempt("1", fleet.Lookup).WithDeadline(r.now.Add(2500 * time.Millisecond)))
		r.now = r.now.Add(time.Second) // 1 needs a second of waiting and a second of service, and has 1.5 s left
		r.tick()
		r.assertRefused(is, "1", fleet.Overloaded, fleet.NotRun)
	})
	t.Run("probe does not wait", func(t *testing.T) {
		is, r := is.New(t), newWarmRig(1)
		r.submit("0", fleet.Lookup)
		r.finish("0", fleet.Outcome{Duration: time.Second})
		r.submit("1", fleet.Lookup)
		probe := r.attempt("2", fleet.Order)
		probe.Probe = true
		r.submitAttempt(probe)
		refusal := r.assertRefused(is, "2", fleet.Overloaded, fleet.NotRun)
		is.Equal(refusal.Report.ExpectedWait, time.Second)
	})
	t.Run("full queue refuses a lookup and drops one for an order", func(t *testing.T) {
		is, r := is.New(t), newWarmRig(1)
		for _, id := range []string{"0", "1", "2", "3", "4"} {
			r.submit(id, fleet.Lookup)
		}
		r.submit("5", fleet.Lookup)
		r.assertRefused(is, "5", fleet.Overloaded, fleet.NotRun)
		r.submit("6", fleet.Order)
		r.assertRefused(is, "4", fleet.Overloaded, fleet.NotRun)
		r.finish("0", fleet.Outcome{})
		r.assertRuns(is, "6")
	})
	t.Run("refuses at once if the wait would exceed the deadline", func(t *testing.T) {
		is, r := is.New(t), newWarmRig(1)
		r.submit("0", fleet.Lookup)
		r.finish("0", fleet.Outcome{Duration: 6 * time.Second})
		r.submit("1", fleet.Lookup)
		r.submit("2", fleet.Lookup) // 6 s of waiting and 6 s of service exceed 10 s
		refusal := r.assertRefused(is, "2", fleet.Overloaded, fleet.NotRun)
		is.Equal(refusal.Problem.RetryAfter, 6*time.Second)
	})
	goal := func(r *rig, id string, class fleet.Class, within time.Duration) fleet.Attempt {
		a := r.attempt(id, class)
		a.Goal = r.now.Add(within)
		return a
	}
	busy := func(r *rig) { // the only slot is expected to be busy for a second
		r.submit("0", fleet.Lookup)
		r.finish("0", fleet.Outcome{Duration: time.Second})
		r.submit("1", fleet.Lookup)
	}
	t.Run("refuses at once if the wait would exceed the goal", func(t *testing.T) {
		is, r := is.New(t), newWarmRig(1)
		busy(r)
		r.submitAttempt(goal(r, "2", fleet.Lookup, 1500*time.Millisecond))
		r.assertRefused(is, "2", fleet.Overloaded, fleet.NotRun)
	})
	t.Run("refuses a queued attempt that misses its goal because of others", func(t *testing.T) {
		is, r := is.New(t), newWarmRig(1)
		busy(r)
		r.submitAttempt(goal(r, "2", fleet.Lookup, 2500*time.Millisecond))
		is.Equal(len(r.effects), 0)
		r.submit("3", fleet.Order)
		r.tick()
		r.assertRefused(is, "2", fleet.Overloaded, fleet.NotRun)
	})
	t.Run("keeps an attempt that would miss its goal even without waiting", func(t *testing.T) {
		is, r := is.New(t), newWarmRig(1)
		busy(r)
		r.submitAttempt(goal(r, "2", fleet.Lookup, 500*time.Millisecond))
		is.Equal(len(r.effects), 0)
	})
	t.Run("keeps an internal request that would miss its goal", func(t *testing.T) {
		is, r := is.New(t), newWarmRig(1)
		r.submit("0", fleet.Internal)
		r.finish("0", fleet.Outcome{Duration: time.Second})
		r.submit("1", fleet.Internal)
		r.submitAttempt(goal(r, "2", fleet.Internal, 1500*time.Millisecond))
		is.Equal(len(r.effects), 0)
	})
	t.Run("late attempt waits for others of its priority", func(t *testing.T) {
		is, r := is.New(t), newWarmRig(1)
		busy(r)
		for range 20 {
			r.heartbeat("i1", 1)
			r.now = r.now.Add(100 * time.Millisecond)
			r.tick()
		}
		r.submit("2", fleet.Order)
		late, timely := goal(r, "3", fleet.Lookup, 500*time.Millisecond), goal(r, "4", fleet.Lookup, 9*time.Second)
		late.Probe, timely.Probe = true, true
		r.submitAttempt(timely)
		timelyWait := r.assertRefused(is, "4", fleet.Overloaded, fleet.NotRun).Report.ExpectedWait
		r.submitAttempt(late)
		is.True(r.assertRefused(is, "3", fleet.Overloaded, fleet.NotRun).Report.ExpectedWait > timelyWait)
	})
	t.Run("expected wait counts only slots left by more urgent attempts", func(t *testing.T) {
		is, r := is.New(t), newWarmRig(4)
		urgent := func(id string) fleet.Attempt {
			a := r.attempt(id, fleet.Internal)
			return a
		}
		for i := range 4 {
			r.submitAttempt(urgent(fmt.Sprint("u", i)))
		}
		r.finish("u0", fleet.Outcome{Duration: time.Second})
		r.finish("u1", fleet.Outcome{Duration: time.Second})
		r.submit("u4", fleet.Internal)
		r.submit("u5", fleet.Internal)
		for range 40 { // urgent attempts use all slots for four seconds
			r.heartbeat("i1", 4)
			r.now = r.now.Add(100 * time.Millisecond)
			r.tick()
		}
		a := r.attempt("x", fleet.Lookup)
		a.Priority = 1
		r.submitAttempt(a)
		a.ID, a.Probe = "y", true
		r.submitAttempt(a)
		refusal := r.assertRefused(is, "y", fleet.Overloaded, fleet.NotRun)
		is.True(refusal.Report.ExpectedWait >= 2*time.Second) // one second of work is queued, with less than half a slot to run it
	})
	t.Run("refuses a queued attempt whose deadline has passed", func(t *testing.T) {
		is, r := is.New(t), newWarmRig(1)
		r.submit("0", fleet.Lookup)
		short := r.attempt("1", fleet.Lookup)
		r.submitAttempt(short.WithDeadline(r.now.Add(100 * time.Millisecond)))
		r.now = r.now.Add(200 * time.Millisecond)
		r.tick()
		r.assertRefused(is, "1", fleet.DeadlinePassed, fleet.NotRun)
	})
}

// TestRetryBudget guards against retries that amplify an overload, and against a target with few requests that never gets a
// retry.
func TestRetryBudget(t *testing.T) {
	// retry submits a retry and reports whether it runs.
	retry := func(r *rig, id string) bool {
		a := r.attempt(id, fleet.Lookup)
		a.IsRetry = true
		r.submitAttempt(a)
		if _, refused := r.effects[0].(effect.RefuseAttempt); refused {
			return false
		}
		r.finish(id, fleet.Outcome{})
		return true
	}
	// childRequest submits a child request of a retried request and reports whether it runs.
	childRequest := func(r *rig, id string) bool {
		a := r.attempt(id, fleet.Internal)
		a.ParentRetried = true
		r.submitAttempt(a)
		if _, refused := r.effects[0].(effect.RefuseAttempt); refused {
			return false
		}
		r.finish(id, fleet.Outcome{})
		return true
	}
	// granted submits 20 attempts, twice as many as the window allows, and returns how many run.
	granted := func(r *rig, name string, attempt func(*rig, string) bool) int {
		count := 0
		for i := range 20 {
			if attempt(r, fmt.Sprint(name, i)) {
				count++
			}
		}
		return count
	}
	t.Run("few requests", func(t *testing.T) {
		is, r := is.New(t), newWarmRig(4)
		is.Equal(granted(r, "a", retry), maxLookupRetries)
		r.assertRefused(is, "a19", fleet.RetryBudgetSpent, fleet.NotRun)
		r.advance(11*time.Second, "i1", 4)
		is.True(retry(r, "c")) // the window no longer contains the first retries
	})
	t.Run("child requests of retried requests use the reserve", func(t *testing.T) {
		is, r := is.New(t), newWarmRig(4)
		is.Equal(granted(r, "a", retry), maxLookupRetries)
		is.Equal(granted(r, "b", childRequest), maxChildRequests-maxLookupRetries)
		r.assertRefused(is, "b19", fleet.RetryBudgetSpent, fleet.NotRun)
		is.True(!retry(r, "d"))
	})
	t.Run("lookups leave room for child requests to grow by half", func(t *testing.T) {
		is, r := is.New(t), newWarmRig(4)
		for i := range 4 {
			is.True(childRequest(r, fmt.Sprint("a", i)))
		}
		is.Equal(granted(r, "b", retry), maxLookupRetries-4-2)
		is.Equal(granted(r, "c", childRequest), maxChildRequests-4-2)
	})
	t.Run("window that begins within a step", func(t *testing.T) {
		is, r := is.New(t), newWarmRig(4)
		r.now = r.now.Add(900 * time.Millisecond)
		is.Equal(granted(r, "a", retry), maxLookupRetries)
		r.advance(9500*time.Millisecond, "i1", 4)
		is.True(!retry(r, "b"))
		r.assertRefused(is, "b", fleet.RetryBudgetSpent, fleet.NotRun)
	})
	t.Run("targets that have left keep their share of the slack for a window", func(t *testing.T) {
		is, r := is.New(t), newWarmRig(4)
		r.poolSize = 4
		is.Equal(granted(r, "a", retry), maxLookupRetries/2)
		r.poolSize = 2
		is.True(!retry(r, "c"))
		r.advance(11*time.Second, "i1", 4)
		is.Equal(granted(r, "d", retry), maxLookupRetries)
	})
	t.Run("pool size known to the ingress", func(t *testing.T) {
		is, r := is.New(t), newWarmRig(4)
		r.poolSize = 1
		count := 0
		for i := range 20 {
			a := r.attempt(fmt.Sprint("a", i), fleet.Lookup)
			a.IsRetry, a.PoolSize = true, 2
			r.submitAttempt(a)
			if _, refused := r.effects[0].(effect.RefuseAttempt); !refused {
				count++
				r.finish(string(a.ID), fleet.Outcome{})
			}
		}
		is.Equal(count, maxLookupRetries)
	})
	t.Run("new target has no slack at first", func(t *testing.T) {
		is, r := is.New(t), newRig()
		r.heartbeat("i1", 4)
		r.advance(time.Second, "i1", 4)
		is.True(!retry(r, "a"))
		r.assertRefused(is, "a", fleet.RetryBudgetSpent, fleet.NotRun)
		r.advance(9*time.Second, "i1", 4)
		is.True(retry(r, "b"))
	})
	t.Run("new process of a target inherits its slack", func(t *testing.T) {
		is, r := is.New(t), newWarmRig(4)
		r.heartbeat("i2", 4)
		is.True(retry(r, "a"))
	})
	t.Run("many requests", func(t *testing.T) {
		is, r := is.New(t), newWarmRig(4)
		retries := 0
		for i := range 1000 {
			if i%100 == 0 {
				r.heartbeat("i1", 4)
			}
			r.now = r.now.Add(10 * time.Millisecond)
			r.submit(fmt.Sprint("f", i), fleet.Lookup)
			r.finish(fmt.Sprint("f", i), fleet.Outcome{})
			if retry(r, fmt.Sprint("r", i)) {
				retries++
			}
		}
		is.True(retries <= 1000/10+8)
		is.True(retries >= 50) // most of the budget can be used
	})
}

// TestRefusals guards against starting attempts that a target must refuse.
func TestRefusals(t *testing.T) {
	cases := []struct {
		name  string
		setUp func(*rig)
		cause fleet.Cause
	}{
		{"unknown target", func(r *rig) { r.state = admission.New("n1", testSettings) }, fleet.UnknownTarget},
		{"target of another pool", func(r *rig) {
			h := newHeartbeat("i2", 4)
			h.Pool = "q"
			r.receiveHeartbeat(h)
		}, fleet.UnknownTarget},
		{"target drains", func(r *rig) {
			h := newHeartbeat("i1", 4)
			h.State = fleet.TargetDraining
			r.receiveHeartbeat(h)
		}, fleet.Draining},
		{"heartbeat that arrives after the drain", func(r *rig) {
			h := newHeartbeat("i1", 4)
			h.State = fleet.TargetDraining
			r.receiveHeartbeat(h)
			r.heartbeat("i1", 4)
		}, fleet.Draining},
		{"target withdrew", func(r *rig) {
			r.state, _ = r.state.TargetWithdrew(r.now, "a")
			r.heartbeat("i1", 4)
		}, fleet.UnknownTarget},
		{"node drains", func(r *rig) { r.state, _ = r.state.DrainStarted(r.now) }, fleet.Draining},
		{"target ejected", func(r *rig) { r.service = admission.OutOfService }, fleet.Ejected},
		{"request quarantined", func(r *rig) { r.quarantined = fleet.NewSet[fleet.Fingerprint]('x') }, fleet.Quarantined},
		{"connection refused", func(r *rig) {
			r.submit("0", fleet.Lookup)
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
			r.submit("x", fleet.Order)
			r.assertRuns(is)
			r.assertRefused(is, "x", c.cause, fleet.NotRun)
		})
	}
	order := func(a fleet.Attempt) fleet.Attempt { return a }
	trial := func(a fleet.Attempt) fleet.Attempt {
		a.Trial = true
		return a
	}
	forcedOrder := func(a fleet.Attempt) fleet.Attempt {
		a.Forced = true
		return a
	}
	forcedLookup := func(a fleet.Attempt) fleet.Attempt {
		a.Forced, a.Idempotent = true, true
		return a
	}
	for name, c := range map[string]struct {
		attempt     func(fleet.Attempt) fleet.Attempt
		health      fleet.Health
		allowsTrial bool
		runs        bool
	}{
		"order on a faulty target":                       {order, fleet.Faulty, true, false},
		"trial request on a faulty target":               {trial, fleet.Faulty, true, true},
		"trial request that is not allowed yet":          {trial, fleet.Faulty, false, false},
		"forced lookup on a faulty target":               {forcedLookup, fleet.Faulty, false, true},
		"forced order on a faulty target as a trial":     {forcedOrder, fleet.Faulty, true, true},
		"forced order on a faulty target between trials": {forcedOrder, fleet.Faulty, false, false},
		"order on a shedding target":                     {order, fleet.Shedding, true, false},
		"forced order on a shedding target":              {forcedOrder, fleet.Shedding, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			is, r := is.New(t), newWarmRig(4)
			r.health, r.allowsTrial = c.health, c.allowsTrial
			r.submitAttempt(c.attempt(r.attempt("1", fleet.Order)))
			if c.runs {
				r.assertRuns(is, "1")
				return
			}
			r.assertRefused(is, "1", fleet.Failing, fleet.NotRun)
		})
	}
	t.Run("a due trial allows one idempotent attempt", func(t *testing.T) {
		is, r := is.New(t), newWarmRig(4)
		r.service = admission.TrialDue
		r.submit("1", fleet.Order)
		r.assertRefused(is, "1", fleet.Ejected, fleet.NotRun)
		r.submit("2", fleet.Lookup)
		r.assertRuns(is, "2")
		r.submit("3", fleet.Lookup)
		r.assertRefused(is, "3", fleet.Ejected, fleet.NotRun)
	})
}

// TestLeavingRefusesTheQueue guards against attempts that stay in the queue of a target that leaves, and against runs that are
// ended because it leaves.
func TestLeavingRefusesTheQueue(t *testing.T) {
	draining := newHeartbeat("i1", 1)
	draining.State = fleet.TargetDraining
	cases := []struct {
		name  string
		leave func(*rig)
		cause fleet.Cause
	}{
		{"target drains", func(r *rig) { r.receiveHeartbeat(draining) }, fleet.Draining},
		{"target withdraws", func(r *rig) { r.state, r.effects = r.state.TargetWithdrew(r.now, "a") }, fleet.Draining},
		{"node drains", func(r *rig) { r.state, r.effects = r.state.DrainStarted(r.now) }, fleet.Draining},
		{"target is ejected", func(r *rig) {
			r.service = admission.OutOfService
			r.tick()
		}, fleet.Ejected},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is, r := is.New(t), newWarmRig(1)
			r.submit("0", fleet.Order)
			r.submit("1", fleet.Order)
			c.leave(r)
			r.assertRefused(is, "1", c.cause, fleet.NotRun)
			is.Equal(r.state.InFlight(), 1) // the running attempt continues
			_, ok := r.finish("0", fleet.Outcome{}).Get()
			is.True(ok)
			is.Equal(r.state.InFlight(), 0)
		})
	}
}

// TestSlowStart guards against overloading a process that has just started.
func TestSlowStart(t *testing.T) {
	is, r := is.New(t), newRig()
	is.True(r.heartbeat("i1", 11).NewProcess)
	is.Equal(r.state.Load(targetA).Slots, 1)
	r.advance(5*time.Second, "i1", 11)
	is.Equal(r.state.Load(targetA).Slots, 6)
	r.advance(5*time.Second, "i1", 11)
	is.Equal(r.state.Load(targetA).Slots, 11)
	is.True(!r.heartbeat("i1", 11).NewProcess)
	is.True(r.heartbeat("i2", 11).NewProcess) // a new process starts slowly again
	is.Equal(r.state.Load(targetA).Slots, 1)
}

// TestNoSlowStartWithStartTime guards against a service that is limited to a fraction of its slots after all of its targets have
// restarted together, although the targets report their start times.
func TestNoSlowStartWithStartTime(t *testing.T) {
	r := newRig()
	h := newHeartbeat("i1", 4)
	h.Started = r.now.Add(-time.Second)
	r.receiveHeartbeat(h)
	is.New(t).Equal(r.state.Load(targetA).Slots, 4)
}

// TestPausedNode guards against a paused node that counts its own pause as missed heartbeats of its targets.
func TestPausedNode(t *testing.T) {
	is, r := is.New(t), newWarmRig(2)
	r.now = r.now.Add(time.Minute)
	r.tick()
	is.True(r.state.HasTarget(targetA))
}
