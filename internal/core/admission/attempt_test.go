package admission_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"jayfold.dev/jayfold/internal/core/admission"
	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/fleet"
)

// Guards against an order that runs twice because its attempt arrives twice, and against a verdict on the duplicate that
// lets the order run elsewhere while the first is still to run.
func TestDuplicates(t *testing.T) {
	cancel := func(r *rig, id fleet.AttemptID) { r.state, r.effects = r.state.AttemptCanceled(r.context(), id) }
	cases := []struct {
		name    string
		first   func(*rig)
		verdict fleet.Verdict
	}{
		{"the first runs", func(r *rig) { r.ask("x", fleet.Order) }, fleet.MayHaveRun},
		{"the first has run", func(r *rig) {
			r.ask("x", fleet.Order)
			r.finish("x", fleet.Outcome{})
		}, fleet.MayHaveRun},
		{"the first waits", func(r *rig) {
			r.ask("0", fleet.Order)
			r.ask("x", fleet.Order)
		}, fleet.MayHaveRun},
		{"the first was refused", func(r *rig) {
			r.gate = admission.GateClosed
			r.ask("x", fleet.Order)
			r.gate = admission.GateOpen
		}, fleet.NotRun},
		{"the first was canceled while it waited", func(r *rig) {
			r.ask("0", fleet.Order)
			r.ask("x", fleet.Order)
			cancel(r, "x")
			r.finish("0", fleet.Outcome{})
		}, fleet.NotRun},
		{"the cancellation came first", func(r *rig) { cancel(r, "x") }, fleet.NotRun},
		{"two minutes later", func(r *rig) {
			r.ask("x", fleet.Order)
			r.finish("x", fleet.Outcome{})
			r.now = r.now.Add(2 * time.Minute)
			r.ask("y", fleet.Order)
		}, fleet.MayHaveRun},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is, r := is.New(t), newWarmRig(1)
			c.first(r)
			r.ask("x", fleet.Order)
			r.assertRuns(is)
			r.assertRefused(is, "x", fleet.Duplicate, c.verdict)
		})
	}
}

// Guards against telling an ingress that a canceled order did not run when it may have.
func TestCancellation(t *testing.T) {
	is, r := is.New(t), newWarmRig(1)
	r.ask("0", fleet.Order)
	r.ask("1", fleet.Order)
	r.state, r.effects = r.state.AttemptCanceled(r.context(), "1")
	r.assertRefused(is, "1", fleet.Canceled, fleet.NotRun)
	r.state, r.effects = r.state.AttemptCanceled(r.context(), "0")
	is.Equal(r.effects, []effect.Effect{effect.CancelRun{Attempt: "0"}})
	r.finish("0", failed(fleet.Canceled, fleet.MayHaveRun, false))
	r.assertRuns(is) // the canceled attempt does not start
}

func assertCrash(is *is.I, crash fleet.Option[admission.Crash], first bool, inFlight ...fleet.Fingerprint) {
	is.Helper()
	c, ok := crash.Get()
	is.True(ok) // the crash is reported
	is.Equal(c.Target, targetA)
	is.Equal(c.First, first)
	is.Equal(c.InFlight, inFlight)
}

// Guards against a crash that is attributed to one of several requests in flight, counted more than once, or missed because
// the target's next process is already there.
func TestCrashes(t *testing.T) {
	crash := failed(fleet.Broken, fleet.MayHaveRun, true)
	broken := failed(fleet.Broken, fleet.MayHaveRun, false)
	finish := func(r *rig, id string, o fleet.Outcome) fleet.Option[admission.Crash] {
		finished, _ := r.finish(id, o).Get()
		return finished.Crash
	}
	t.Run("all in flight, once", func(t *testing.T) {
		is, r := is.New(t), newWarmRig(3)
		r.ask("a", fleet.Order)
		r.ask("b", fleet.Order)
		assertCrash(is, finish(r, "b", crash), true, 'a', 'b')
		assertCrash(is, finish(r, "a", crash), false, 'a', 'b')
	})
	t.Run("one broke off before the dial failed", func(t *testing.T) {
		is, r := is.New(t), newWarmRig(3)
		r.ask("a", fleet.Order)
		r.ask("b", fleet.Order)
		finish(r, "b", broken)
		assertCrash(is, finish(r, "a", crash), true, 'b', 'a')
	})
	t.Run("the next process announces itself first", func(t *testing.T) {
		is, r := is.New(t), newWarmRig(3)
		r.ask("a", fleet.Order)
		assertCrash(is, r.announce("i2", 3).Crash, true, 'a')
		is.Equal(r.state.Load(targetA).InFlight, 0) // the old run takes no slot of the new process
		assertCrash(is, finish(r, "a", broken), false, 'a')
	})
	t.Run("the next process took the port before the dial", func(t *testing.T) {
		is, r := is.New(t), newWarmRig(3)
		r.ask("a", fleet.Order)
		finish(r, "a", broken)
		assertCrash(is, r.announce("i2", 3).Crash, true, 'a')
	})
	t.Run("a drained process is replaced", func(t *testing.T) {
		is, r := is.New(t), newWarmRig(3)
		r.ask("a", fleet.Order)
		draining := announcement("i1", 3)
		draining.State = fleet.TargetDraining
		r.announceAs(draining)
		_, crashed := r.announce("i2", 3).Crash.Get()
		is.True(!crashed)
	})
	t.Run("a dial that fails is no evidence", func(t *testing.T) {
		is, r := is.New(t), newWarmRig(3)
		r.ask("a", fleet.Order)
		_, crashed := finish(r, "a", failed(fleet.Unreachable, fleet.NotRun, true)).Get()
		is.True(!crashed)
	})
	t.Run("the dead target takes no work until its next heartbeat", func(t *testing.T) {
		is, r := is.New(t), newWarmRig(1)
		r.ask("a", fleet.Order)
		r.ask("b", fleet.Order)
		finish(r, "a", crash)
		r.assertRefused(is, "b", fleet.Unreachable, fleet.NotRun)
		is.Equal(len(r.state.Targets()), 0)
		r.announce("i2", 1)
		r.ask("c", fleet.Order)
		r.assertRuns(is, "c")
	})
}

// Guards against a harmless request that is in flight at two crashes because it runs on a target with the cause twice.
func TestSuspectsRunOneAtATime(t *testing.T) {
	is, r := is.New(t), newWarmRig(3)
	r.suspected = fleet.NewSet[fleet.Fingerprint]('p', 'q')
	r.ask("p", fleet.Lookup)
	r.assertRuns(is, "p")
	r.ask("q", fleet.Lookup)
	r.assertRuns(is)
	r.ask("x", fleet.Lookup) // others do not wait behind a suspect
	r.assertRuns(is, "x")
	r.finish("p", fleet.Outcome{})
	r.assertRuns(is, "q")
}
