package admission_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"jayfold.dev/jayfold/internal/core/admission"
	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/fleet"
)

// TestDuplicates guards against an order that runs twice because its attempt arrives twice, and against a verdict on the
// duplicate that lets the ingress retry the order elsewhere although the first attempt may still run.
func TestDuplicates(t *testing.T) {
	cancel := func(r *rig, id fleet.AttemptID) { r.state, r.effects = r.state.AttemptCanceled(r.context(), id) }
	cases := []struct {
		name    string
		first   func(*rig)
		verdict fleet.Verdict
	}{
		{"first attempt is running", func(r *rig) { r.submit("x", fleet.Order) }, fleet.MayHaveRun},
		{"first attempt has finished", func(r *rig) {
			r.submit("x", fleet.Order)
			r.finish("x", fleet.Outcome{})
		}, fleet.MayHaveRun},
		{"first attempt is queued", func(r *rig) {
			r.submit("0", fleet.Order)
			r.submit("x", fleet.Order)
		}, fleet.MayHaveRun},
		{"first attempt was refused", func(r *rig) {
			r.service = admission.OutOfService
			r.submit("x", fleet.Order)
			r.service = admission.InService
		}, fleet.NotRun},
		{"first attempt was canceled while queued", func(r *rig) {
			r.submit("0", fleet.Order)
			r.submit("x", fleet.Order)
			cancel(r, "x")
			r.finish("0", fleet.Outcome{})
		}, fleet.NotRun},
		{"cancellation arrives first", func(r *rig) { cancel(r, "x") }, fleet.NotRun},
		{"duplicate after two minutes", func(r *rig) {
			r.submit("x", fleet.Order)
			r.finish("x", fleet.Outcome{})
			r.now = r.now.Add(2 * time.Minute)
			r.submit("y", fleet.Order)
		}, fleet.MayHaveRun},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is, r := is.New(t), newWarmRig(1)
			c.first(r)
			r.submit("x", fleet.Order)
			r.assertRuns(is)
			r.assertRefused(is, "x", fleet.Duplicate, c.verdict)
		})
	}
}

// TestCancellation guards against telling an ingress that a canceled order has not run when it may have.
func TestCancellation(t *testing.T) {
	is, r := is.New(t), newWarmRig(1)
	r.submit("0", fleet.Order)
	r.submit("1", fleet.Order)
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

// TestCrashes guards against a crash that is attributed to only one of several requests in flight, reported as new more than
// once, or missed because the target's next process has already started.
func TestCrashes(t *testing.T) {
	crash := failed(fleet.Broken, fleet.MayHaveRun, true)
	broken := failed(fleet.Broken, fleet.MayHaveRun, false)
	finish := func(r *rig, id string, o fleet.Outcome) fleet.Option[admission.Crash] {
		finished, _ := r.finish(id, o).Get()
		return finished.Crash
	}
	t.Run("all requests in flight, reported once", func(t *testing.T) {
		is, r := is.New(t), newWarmRig(3)
		r.submit("a", fleet.Order)
		r.submit("b", fleet.Order)
		assertCrash(is, finish(r, "b", crash), true, 'a', 'b')
		assertCrash(is, finish(r, "a", crash), false, 'a', 'b')
	})
	t.Run("one connection broke before the dial failed", func(t *testing.T) {
		is, r := is.New(t), newWarmRig(3)
		r.submit("a", fleet.Order)
		r.submit("b", fleet.Order)
		finish(r, "b", broken)
		assertCrash(is, finish(r, "a", crash), true, 'b', 'a')
	})
	t.Run("heartbeat of the next process comes first", func(t *testing.T) {
		is, r := is.New(t), newWarmRig(3)
		r.submit("a", fleet.Order)
		assertCrash(is, r.heartbeat("i2", 3).Crash, true, 'a')
		is.Equal(r.state.Load(targetA).InFlight, 0) // the old run occupies no slot of the new process
		assertCrash(is, finish(r, "a", broken), false, 'a')
	})
	t.Run("next process takes the port before the dial", func(t *testing.T) {
		is, r := is.New(t), newWarmRig(3)
		r.submit("a", fleet.Order)
		finish(r, "a", broken)
		assertCrash(is, r.heartbeat("i2", 3).Crash, true, 'a')
	})
	t.Run("replacement of a draining process is no crash", func(t *testing.T) {
		is, r := is.New(t), newWarmRig(3)
		r.submit("a", fleet.Order)
		draining := newHeartbeat("i1", 3)
		draining.State = fleet.TargetDraining
		r.receiveHeartbeat(draining)
		_, crashed := r.heartbeat("i2", 3).Crash.Get()
		is.True(!crashed)
	})
	t.Run("failed dial is no crash", func(t *testing.T) {
		is, r := is.New(t), newWarmRig(3)
		r.submit("a", fleet.Order)
		_, crashed := finish(r, "a", failed(fleet.Unreachable, fleet.NotRun, true)).Get()
		is.True(!crashed)
	})
	t.Run("crashed target refuses attempts until its next heartbeat", func(t *testing.T) {
		is, r := is.New(t), newWarmRig(1)
		r.submit("a", fleet.Order)
		r.submit("b", fleet.Order)
		finish(r, "a", crash)
		r.assertRefused(is, "b", fleet.Unreachable, fleet.NotRun)
		is.Equal(len(r.state.Targets()), 0)
		r.heartbeat("i2", 1)
		r.submit("c", fleet.Order)
		r.assertRuns(is, "c")
	})
}

// TestSuspectsRunOneAtATime guards against quarantining a harmless request that was in flight at two crashes only because it ran
// beside the request that caused them.
func TestSuspectsRunOneAtATime(t *testing.T) {
	is, r := is.New(t), newWarmRig(3)
	r.suspected = fleet.NewSet[fleet.Fingerprint]('p', 'q')
	r.submit("p", fleet.Lookup)
	r.assertRuns(is, "p")
	r.submit("q", fleet.Lookup)
	r.assertRuns(is)
	r.submit("x", fleet.Lookup) // other requests do not wait behind a suspected one
	r.assertRuns(is, "x")
	r.finish("p", fleet.Outcome{})
	r.assertRuns(is, "q")
}
