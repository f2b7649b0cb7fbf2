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

// harness is the admission state of a sidecar with a controllable clock. effects holds the effects of the last event.
type harness struct {
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

func newHarness() *harness {
	return &harness{state: admission.New("n1", testSettings), now: time.Unix(1000, 0), poolSize: 2}
}

// newWarmHarness returns a sidecar whose target a has reached its full number of slots.
func newWarmHarness(slots int) *harness {
	h := newHarness()
	h.heartbeat("i1", slots)
	h.advance(9*time.Second, "i1", slots)
	h.advance(time.Second, "i1", slots)
	return h
}

func (h *harness) context() admission.Context {
	return admission.Context{
		Now:          h.now,
		ServiceState: func(fleet.TargetID) admission.ServiceState { return h.service },
		Quarantined:  h.quarantined.Has,
		Suspected:    h.suspected.Has,
		PoolSize:     func(fleet.PoolName) int { return h.poolSize },
		Health:       func(fleet.TargetID) fleet.Health { return h.health },
		AllowsTrial:  func(fleet.TargetID) bool { return h.allowsTrial },
	}
}

func newHeartbeat(instance string, slots int) fleet.Heartbeat {
	return fleet.Heartbeat{
		Name: "a", Pool: "p", Address: "127.0.0.1:1", Slots: slots, Connections: 300, Instance: instance,
	}
}

func (h *harness) heartbeat(instance string, slots int) admission.HeartbeatResult {
	return h.receiveHeartbeat(newHeartbeat(instance, slots))
}

func (h *harness) receiveHeartbeat(heartbeat fleet.Heartbeat) admission.HeartbeatResult {
	var result admission.HeartbeatResult
	h.state, h.effects, result = h.state.HeartbeatReceived(h.context(), heartbeat)
	return result
}

// advance moves the clock forward by d, with ticks and heartbeats.
func (h *harness) advance(d time.Duration, instance string, slots int) {
	for end := h.now.Add(d); h.now.Before(end); {
		h.now = h.now.Add(500 * time.Millisecond)
		h.heartbeat(instance, slots)
		h.tick()
	}
}

func (h *harness) tick() { h.state, h.effects = h.state.Tick(h.context()) }

// attempt returns an attempt with a deadline in ten seconds.
func (h *harness) attempt(id string, class fleet.Class) fleet.Attempt {
	return fleet.Attempt{
		ID: fleet.AttemptID(id), Target: targetA, Pool: "p", Class: class, Idempotent: class == fleet.Lookup,
		Deadline: h.now.Add(10 * time.Second), Fingerprint: fleet.Fingerprint(id[0]),
	}
}

func (h *harness) submit(id string, class fleet.Class) { h.submitAttempt(h.attempt(id, class)) }

func (h *harness) submitAttempt(attempt fleet.Attempt) {
	h.state, h.effects = h.state.AttemptArrived(h.context(), attempt)
}

func (h *harness) finish(id string, outcome fleet.Outcome) fleet.Option[admission.FinishedRun] {
	var finished fleet.Option[admission.FinishedRun]
	h.state, h.effects, finished = h.state.RunFinished(h.context(), fleet.AttemptID(id), outcome)
	return finished
}

func failed(cause fleet.Cause, verdict fleet.Verdict, crashed bool) fleet.Outcome {
	return fleet.Outcome{Problem: fleet.Some(fleet.NewProblem(cause, verdict, "")), TargetCrashed: crashed}
}

// assertRuns checks which attempts the last event has started.
func (h *harness) assertRuns(is *is.I, want ...fleet.AttemptID) {
	is.Helper()
	var got []fleet.AttemptID
	for _, e := range h.effects {
		if run, ok := e.(effect.StartRun); ok {
			got = append(got, run.Attempt.ID)
		}
	}
	is.Equal(got, want) // the attempts that were started
}

// assertRefused checks that the last event refused exactly one attempt, with the given cause and verdict.
func (h *harness) assertRefused(is *is.I, id fleet.AttemptID, cause fleet.Cause, verdict fleet.Verdict) effect.RefuseAttempt {
	is.Helper()
	var refusals []effect.RefuseAttempt
	for _, e := range h.effects {
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
		is, h := is.New(t), newWarmHarness(2)
		for _, id := range []string{"1", "2"} {
			h.submit(id, fleet.Lookup)
			h.assertRuns(is, fleet.AttemptID(id))
		}
		h.submit("3", fleet.Lookup)
		h.assertRuns(is)
		is.Equal(h.state.Load(targetA), fleet.Load{InFlight: 2, Queued: 1, Slots: 2})
		h.finish("1", fleet.Outcome{})
		h.assertRuns(is, "3")
	})
	t.Run("fewer connections than slots limit the runs", func(t *testing.T) {
		is, h := is.New(t), newWarmHarness(2)
		heartbeat := newHeartbeat("i1", 2)
		heartbeat.Connections = 1
		h.receiveHeartbeat(heartbeat)
		is.Equal(h.state.Load(targetA).Slots, 1)
	})
	t.Run("orders before internal requests before lookups", func(t *testing.T) {
		is, h := is.New(t), newWarmHarness(1)
		h.submit("0", fleet.Lookup)
		h.submit("1", fleet.Lookup)
		h.submit("2", fleet.Internal)
		h.submit("3", fleet.Order)
		h.submit("4", fleet.Order)
		for i, next := range []fleet.AttemptID{"3", "4", "2", "1"} {
			h.finish([]string{"0", "3", "4", "2"}[i], fleet.Outcome{})
			h.assertRuns(is, next)
		}
	})
	t.Run("by priority, then by deadline", func(t *testing.T) {
		is, h := is.New(t), newWarmHarness(1)
		h.submit("0", fleet.Lookup)
		for _, w := range []struct {
			id       string
			priority int
			left     time.Duration
		}{{"1", 2, time.Second}, {"2", 1, 9 * time.Second}, {"3", 1, 5 * time.Second}, {"4", 1, 5 * time.Second}} {
			a := h.attempt(w.id, fleet.Lookup).WithDeadline(h.now.Add(w.left))
			a.Priority = w.priority
			h.submitAttempt(a)
		}
		for i, next := range []fleet.AttemptID{"3", "4", "2", "1"} {
			h.finish([]string{"0", "3", "4", "2"}[i], fleet.Outcome{})
			h.assertRuns(is, next)
		}
	})
	t.Run("attempts that can meet their goal before late ones", func(t *testing.T) {
		is, h := is.New(t), newWarmHarness(1)
		h.submit("0", fleet.Lookup)
		h.finish("0", fleet.Outcome{Duration: time.Second})
		h.submit("0b", fleet.Lookup)
		for _, w := range []struct {
			id         string
			goal, left time.Duration
		}{{"1", 2 * time.Second, 20 * time.Second}, {"2", 3 * time.Second, 20 * time.Second}, {"3", 6 * time.Second, 30 * time.Second}} {
			a := h.attempt(w.id, fleet.Lookup).WithDeadline(h.now.Add(w.left))
			a.Goal = h.now.Add(w.goal)
			h.submitAttempt(a)
		}
		h.now = h.now.Add(2500 * time.Millisecond) // 1 and 2 can no longer meet their goals
		for i, next := range []fleet.AttemptID{"3", "1", "2"} {
			h.finish([]string{"0b", "3", "1"}[i], fleet.Outcome{Duration: time.Second})
			h.assertRuns(is, next)
		}
	})
	t.Run("refuses attempts that can no longer meet their deadline", func(t *testing.T) {
		is, h := is.New(t), newWarmHarness(1)
		h.submit("0", fleet.Lookup)
		h.finish("0", fleet.Outcome{Duration: time.Second})
		h.submit("0b", fleet.Lookup)
		h.submitAttempt(h.attempt("1", fleet.Lookup).WithDeadline(h.now.Add(2500 * time.Millisecond)))
		h.now = h.now.Add(time.Second) // 1 needs a second of waiting and a second of service, and has 1.5 s left
		h.tick()
		h.assertRefused(is, "1", fleet.Overloaded, fleet.NotRun)
	})
	t.Run("probe does not wait", func(t *testing.T) {
		is, h := is.New(t), newWarmHarness(1)
		h.submit("0", fleet.Lookup)
		h.finish("0", fleet.Outcome{Duration: time.Second})
		h.submit("1", fleet.Lookup)
		probe := h.attempt("2", fleet.Order)
		probe.Probe = true
		h.submitAttempt(probe)
		refusal := h.assertRefused(is, "2", fleet.Overloaded, fleet.NotRun)
		is.Equal(refusal.Report.ExpectedWait, time.Second)
	})
	t.Run("full queue refuses a lookup and drops one for an order", func(t *testing.T) {
		is, h := is.New(t), newWarmHarness(1)
		for _, id := range []string{"0", "1", "2", "3", "4"} {
			h.submit(id, fleet.Lookup)
		}
		h.submit("5", fleet.Lookup)
		h.assertRefused(is, "5", fleet.Overloaded, fleet.NotRun)
		h.submit("6", fleet.Order)
		h.assertRefused(is, "4", fleet.Overloaded, fleet.NotRun)
		h.finish("0", fleet.Outcome{})
		h.assertRuns(is, "6")
	})
	t.Run("refuses at once if the wait would exceed the deadline", func(t *testing.T) {
		is, h := is.New(t), newWarmHarness(1)
		h.submit("0", fleet.Lookup)
		h.finish("0", fleet.Outcome{Duration: 6 * time.Second})
		h.submit("1", fleet.Lookup)
		h.submit("2", fleet.Lookup) // 6 s of waiting and 6 s of service exceed 10 s
		refusal := h.assertRefused(is, "2", fleet.Overloaded, fleet.NotRun)
		is.Equal(refusal.Problem.RetryAfter, 6*time.Second)
	})
	goal := func(h *harness, id string, class fleet.Class, within time.Duration) fleet.Attempt {
		a := h.attempt(id, class)
		a.Goal = h.now.Add(within)
		return a
	}
	busy := func(h *harness) { // the only slot is expected to be busy for a second
		h.submit("0", fleet.Lookup)
		h.finish("0", fleet.Outcome{Duration: time.Second})
		h.submit("1", fleet.Lookup)
	}
	t.Run("refuses at once if the wait would exceed the goal", func(t *testing.T) {
		is, h := is.New(t), newWarmHarness(1)
		busy(h)
		h.submitAttempt(goal(h, "2", fleet.Lookup, 1500*time.Millisecond))
		h.assertRefused(is, "2", fleet.Overloaded, fleet.NotRun)
	})
	t.Run("refuses a queued attempt that misses its goal because of others", func(t *testing.T) {
		is, h := is.New(t), newWarmHarness(1)
		busy(h)
		h.submitAttempt(goal(h, "2", fleet.Lookup, 2500*time.Millisecond))
		is.Equal(len(h.effects), 0)
		h.submit("3", fleet.Order)
		h.tick()
		h.assertRefused(is, "2", fleet.Overloaded, fleet.NotRun)
	})
	t.Run("keeps an attempt that would miss its goal even without waiting", func(t *testing.T) {
		is, h := is.New(t), newWarmHarness(1)
		busy(h)
		h.submitAttempt(goal(h, "2", fleet.Lookup, 500*time.Millisecond))
		is.Equal(len(h.effects), 0)
	})
	t.Run("keeps an internal request that would miss its goal", func(t *testing.T) {
		is, h := is.New(t), newWarmHarness(1)
		h.submit("0", fleet.Internal)
		h.finish("0", fleet.Outcome{Duration: time.Second})
		h.submit("1", fleet.Internal)
		h.submitAttempt(goal(h, "2", fleet.Internal, 1500*time.Millisecond))
		is.Equal(len(h.effects), 0)
	})
	t.Run("late attempt waits for others of its priority", func(t *testing.T) {
		is, h := is.New(t), newWarmHarness(1)
		busy(h)
		for range 20 {
			h.heartbeat("i1", 1)
			h.now = h.now.Add(100 * time.Millisecond)
			h.tick()
		}
		h.submit("2", fleet.Order)
		late, timely := goal(h, "3", fleet.Lookup, 500*time.Millisecond), goal(h, "4", fleet.Lookup, 9*time.Second)
		late.Probe, timely.Probe = true, true
		h.submitAttempt(timely)
		timelyWait := h.assertRefused(is, "4", fleet.Overloaded, fleet.NotRun).Report.ExpectedWait
		h.submitAttempt(late)
		is.True(h.assertRefused(is, "3", fleet.Overloaded, fleet.NotRun).Report.ExpectedWait > timelyWait)
	})
	t.Run("expected wait counts only slots left by more urgent attempts", func(t *testing.T) {
		is, h := is.New(t), newWarmHarness(4)
		urgent := func(id string) fleet.Attempt {
			a := h.attempt(id, fleet.Internal)
			return a
		}
		for i := range 4 {
			h.submitAttempt(urgent(fmt.Sprint("u", i)))
		}
		h.finish("u0", fleet.Outcome{Duration: time.Second})
		h.finish("u1", fleet.Outcome{Duration: time.Second})
		h.submit("u4", fleet.Internal)
		h.submit("u5", fleet.Internal)
		for range 40 { // urgent attempts use all slots for four seconds
			h.heartbeat("i1", 4)
			h.now = h.now.Add(100 * time.Millisecond)
			h.tick()
		}
		a := h.attempt("x", fleet.Lookup)
		a.Priority = 1
		h.submitAttempt(a)
		a.ID, a.Probe = "y", true
		h.submitAttempt(a)
		refusal := h.assertRefused(is, "y", fleet.Overloaded, fleet.NotRun)
		is.True(refusal.Report.ExpectedWait >= 2*time.Second) // one second of work is queued, with less than half a slot to run it
	})
	t.Run("refuses a queued attempt whose deadline has passed", func(t *testing.T) {
		is, h := is.New(t), newWarmHarness(1)
		h.submit("0", fleet.Lookup)
		short := h.attempt("1", fleet.Lookup)
		h.submitAttempt(short.WithDeadline(h.now.Add(100 * time.Millisecond)))
		h.now = h.now.Add(200 * time.Millisecond)
		h.tick()
		h.assertRefused(is, "1", fleet.DeadlinePassed, fleet.NotRun)
	})
}

// TestRetryBudget guards against retries that amplify an overload, and against a target with few requests that never gets a
// retry.
func TestRetryBudget(t *testing.T) {
	// retry submits a retry and reports whether it runs.
	retry := func(h *harness, id string) bool {
		a := h.attempt(id, fleet.Lookup)
		a.IsRetry = true
		h.submitAttempt(a)
		if _, refused := h.effects[0].(effect.RefuseAttempt); refused {
			return false
		}
		h.finish(id, fleet.Outcome{})
		return true
	}
	// childRequest submits a child request of a retried request and reports whether it runs.
	childRequest := func(h *harness, id string) bool {
		a := h.attempt(id, fleet.Internal)
		a.ParentRetried = true
		h.submitAttempt(a)
		if _, refused := h.effects[0].(effect.RefuseAttempt); refused {
			return false
		}
		h.finish(id, fleet.Outcome{})
		return true
	}
	// granted submits 20 attempts, twice as many as the window allows, and returns how many run.
	granted := func(h *harness, name string, attempt func(*harness, string) bool) int {
		count := 0
		for i := range 20 {
			if attempt(h, fmt.Sprint(name, i)) {
				count++
			}
		}
		return count
	}
	t.Run("few requests", func(t *testing.T) {
		is, h := is.New(t), newWarmHarness(4)
		is.Equal(granted(h, "a", retry), maxLookupRetries)
		h.assertRefused(is, "a19", fleet.RetryBudgetSpent, fleet.NotRun)
		h.advance(11*time.Second, "i1", 4)
		is.True(retry(h, "c")) // the window no longer contains the first retries
	})
	t.Run("child requests of retried requests use the reserve", func(t *testing.T) {
		is, h := is.New(t), newWarmHarness(4)
		is.Equal(granted(h, "a", retry), maxLookupRetries)
		is.Equal(granted(h, "b", childRequest), maxChildRequests-maxLookupRetries)
		h.assertRefused(is, "b19", fleet.RetryBudgetSpent, fleet.NotRun)
		is.True(!retry(h, "d"))
	})
	t.Run("lookups leave room for child requests to grow by half", func(t *testing.T) {
		is, h := is.New(t), newWarmHarness(4)
		for i := range 4 {
			is.True(childRequest(h, fmt.Sprint("a", i)))
		}
		is.Equal(granted(h, "b", retry), maxLookupRetries-4-2)
		is.Equal(granted(h, "c", childRequest), maxChildRequests-4-2)
	})
	t.Run("window that begins within a step", func(t *testing.T) {
		is, h := is.New(t), newWarmHarness(4)
		h.now = h.now.Add(900 * time.Millisecond)
		is.Equal(granted(h, "a", retry), maxLookupRetries)
		h.advance(9500*time.Millisecond, "i1", 4)
		is.True(!retry(h, "b"))
		h.assertRefused(is, "b", fleet.RetryBudgetSpent, fleet.NotRun)
	})
	t.Run("targets that have left keep their share of the slack for a window", func(t *testing.T) {
		is, h := is.New(t), newWarmHarness(4)
		h.poolSize = 4
		is.Equal(granted(h, "a", retry), maxLookupRetries/2)
		h.poolSize = 2
		is.True(!retry(h, "c"))
		h.advance(11*time.Second, "i1", 4)
		is.Equal(granted(h, "d", retry), maxLookupRetries)
	})
	t.Run("pool size known to the ingress", func(t *testing.T) {
		is, h := is.New(t), newWarmHarness(4)
		h.poolSize = 1
		count := 0
		for i := range 20 {
			a := h.attempt(fmt.Sprint("a", i), fleet.Lookup)
			a.IsRetry, a.PoolSize = true, 2
			h.submitAttempt(a)
			if _, refused := h.effects[0].(effect.RefuseAttempt); !refused {
				count++
				h.finish(string(a.ID), fleet.Outcome{})
			}
		}
		is.Equal(count, maxLookupRetries)
	})
	t.Run("new target has no slack at first", func(t *testing.T) {
		is, h := is.New(t), newHarness()
		h.heartbeat("i1", 4)
		h.advance(time.Second, "i1", 4)
		is.True(!retry(h, "a"))
		h.assertRefused(is, "a", fleet.RetryBudgetSpent, fleet.NotRun)
		h.advance(9*time.Second, "i1", 4)
		is.True(retry(h, "b"))
	})
	t.Run("new process of a target inherits its slack", func(t *testing.T) {
		is, h := is.New(t), newWarmHarness(4)
		h.heartbeat("i2", 4)
		is.True(retry(h, "a"))
	})
	t.Run("many requests", func(t *testing.T) {
		is, h := is.New(t), newWarmHarness(4)
		retries := 0
		for i := range 1000 {
			if i%100 == 0 {
				h.heartbeat("i1", 4)
			}
			h.now = h.now.Add(10 * time.Millisecond)
			h.submit(fmt.Sprint("f", i), fleet.Lookup)
			h.finish(fmt.Sprint("f", i), fleet.Outcome{})
			if retry(h, fmt.Sprint("r", i)) {
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
		setUp func(*harness)
		cause fleet.Cause
	}{
		{"unknown target", func(h *harness) { h.state = admission.New("n1", testSettings) }, fleet.UnknownTarget},
		{"target of another pool", func(h *harness) {
			heartbeat := newHeartbeat("i2", 4)
			heartbeat.Pool = "q"
			h.receiveHeartbeat(heartbeat)
		}, fleet.UnknownTarget},
		{"target drains", func(h *harness) {
			heartbeat := newHeartbeat("i1", 4)
			heartbeat.State = fleet.TargetDraining
			h.receiveHeartbeat(heartbeat)
		}, fleet.Draining},
		{"heartbeat that arrives after the drain", func(h *harness) {
			heartbeat := newHeartbeat("i1", 4)
			heartbeat.State = fleet.TargetDraining
			h.receiveHeartbeat(heartbeat)
			h.heartbeat("i1", 4)
		}, fleet.Draining},
		{"target withdrew", func(h *harness) {
			h.state, _ = h.state.TargetWithdrew(h.now, "a")
			h.heartbeat("i1", 4)
		}, fleet.UnknownTarget},
		{"node drains", func(h *harness) { h.state, _ = h.state.DrainStarted(h.now) }, fleet.Draining},
		{"target ejected", func(h *harness) { h.service = admission.OutOfService }, fleet.Ejected},
		{"request quarantined", func(h *harness) { h.quarantined = fleet.NewSet[fleet.Fingerprint]('x') }, fleet.Quarantined},
		{"connection refused", func(h *harness) {
			h.submit("0", fleet.Lookup)
			h.finish("0", failed(fleet.Unreachable, fleet.NotRun, false))
		}, fleet.Unreachable},
		{"three heartbeats missed", func(h *harness) {
			for range 7 {
				h.now = h.now.Add(500 * time.Millisecond)
				h.tick()
			}
		}, fleet.UnknownTarget},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is, h := is.New(t), newWarmHarness(4)
			c.setUp(h)
			h.submit("x", fleet.Order)
			h.assertRuns(is)
			h.assertRefused(is, "x", c.cause, fleet.NotRun)
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
	lookup := func(a fleet.Attempt) fleet.Attempt {
		a.Idempotent = true
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
		"order on a silent target":                       {order, fleet.Silent, true, false},
		"forced order on a silent target":                {forcedOrder, fleet.Silent, false, true},
		"lookup on a silent target":                      {lookup, fleet.Silent, false, true},
		"forced order on a shedding target":              {forcedOrder, fleet.Shedding, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			is, h := is.New(t), newWarmHarness(4)
			h.health, h.allowsTrial = c.health, c.allowsTrial
			h.submitAttempt(c.attempt(h.attempt("1", fleet.Order)))
			if c.runs {
				h.assertRuns(is, "1")
				return
			}
			h.assertRefused(is, "1", fleet.Failing, fleet.NotRun)
		})
	}
	t.Run("a due trial allows one idempotent attempt", func(t *testing.T) {
		is, h := is.New(t), newWarmHarness(4)
		h.service = admission.TrialDue
		h.submit("1", fleet.Order)
		h.assertRefused(is, "1", fleet.Ejected, fleet.NotRun)
		h.submit("2", fleet.Lookup)
		h.assertRuns(is, "2")
		h.submit("3", fleet.Lookup)
		h.assertRefused(is, "3", fleet.Ejected, fleet.NotRun)
	})
}

// TestLeavingRefusesTheQueue guards against attempts that stay in the queue of a target that leaves, and against runs that are
// ended because it leaves.
func TestLeavingRefusesTheQueue(t *testing.T) {
	draining := newHeartbeat("i1", 1)
	draining.State = fleet.TargetDraining
	cases := []struct {
		name  string
		leave func(*harness)
		cause fleet.Cause
	}{
		{"target drains", func(h *harness) { h.receiveHeartbeat(draining) }, fleet.Draining},
		{"target withdraws", func(h *harness) { h.state, h.effects = h.state.TargetWithdrew(h.now, "a") }, fleet.Draining},
		{"node drains", func(h *harness) { h.state, h.effects = h.state.DrainStarted(h.now) }, fleet.Draining},
		{"target is ejected", func(h *harness) {
			h.service = admission.OutOfService
			h.tick()
		}, fleet.Ejected},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is, h := is.New(t), newWarmHarness(1)
			h.submit("0", fleet.Order)
			h.submit("1", fleet.Order)
			c.leave(h)
			h.assertRefused(is, "1", c.cause, fleet.NotRun)
			is.Equal(h.state.InFlight(), 1) // the running attempt continues
			_, ok := h.finish("0", fleet.Outcome{}).Get()
			is.True(ok)
			is.Equal(h.state.InFlight(), 0)
		})
	}
}

// TestSlowStart guards against overloading a process that has just started.
func TestSlowStart(t *testing.T) {
	is, h := is.New(t), newHarness()
	is.True(h.heartbeat("i1", 11).NewProcess)
	is.Equal(h.state.Load(targetA).Slots, 1)
	h.advance(5*time.Second, "i1", 11)
	is.Equal(h.state.Load(targetA).Slots, 6)
	h.advance(5*time.Second, "i1", 11)
	is.Equal(h.state.Load(targetA).Slots, 11)
	is.True(!h.heartbeat("i1", 11).NewProcess)
	is.True(h.heartbeat("i2", 11).NewProcess) // a new process starts slowly again
	is.Equal(h.state.Load(targetA).Slots, 1)
}

// TestNoSlowStartWithStartTime guards against a service that is limited to a fraction of its slots after all of its targets have
// restarted together, although the targets report their start times.
func TestNoSlowStartWithStartTime(t *testing.T) {
	h := newHarness()
	heartbeat := newHeartbeat("i1", 4)
	heartbeat.Started = h.now.Add(-time.Second)
	h.receiveHeartbeat(heartbeat)
	is.New(t).Equal(h.state.Load(targetA).Slots, 4)
}

// TestPausedNode guards against a paused node that counts its own pause as missed heartbeats of its targets.
func TestPausedNode(t *testing.T) {
	is, h := is.New(t), newWarmHarness(2)
	h.now = h.now.Add(time.Minute)
	h.tick()
	is.True(h.state.HasTarget(targetA))
}
