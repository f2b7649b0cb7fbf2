package node

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/event"
	"jayfold.dev/jayfold/internal/core/fleet"
)

// hangingLoad is the load of the tests below: orders arrive every 100 ms at a target that serves them in 200 ms until it starts to
// hang.
const (
	arrivalInterval = 100 * time.Millisecond
	serviceTime     = 200 * time.Millisecond
)

// orderArrives submits an order to the target and reports whether it runs.
func (r *runner) orderArrives(id string) bool {
	effects := r.reduce(event.AdmissionRequested{Attempt: fleet.Attempt{
		ID: fleet.NewAttemptID(fleet.RequestID(id), 1), Target: "n1/t", Pool: "shop", Class: fleet.Order,
		Baseline: 2 * serviceTime, Deadline: r.now.Add(3 * time.Second),
	}})
	for _, e := range effects {
		if _, ok := e.(effect.StartRun); ok {
			return true
		}
	}
	return false
}

// elapse advances the time in ticks of 100 ms.
func (r *runner) elapse(d time.Duration) {
	for end := r.now.Add(d); r.now.Before(end); {
		r.now = r.now.Add(arrivalInterval)
		r.heartbeat()
		r.reduce(event.Tick{})
	}
}

// TestHangingTargetGetsNoOrders guards against orders that are sent to a target which hangs, until their deadlines show it. The load
// is a pool of which a third of the targets hangs most requests for a few seconds: an order that one of them has accepted fails.
func TestHangingTargetGetsNoOrders(t *testing.T) {
	is, r := is.New(t), newParentNode()
	for i := range 10 {
		is.True(r.orderArrives(fmt.Sprint("good", i)))
		r.elapse(serviceTime)
		r.reduce(event.RunFinished{
			Attempt: fleet.NewAttemptID(fleet.RequestID(fmt.Sprint("good", i)), 1),
			Outcome: fleet.Outcome{Status: 200, Duration: serviceTime},
		})
	}
	lost := 0
	for i := range 25 {
		if r.orderArrives(fmt.Sprint("hung", i)) {
			lost++
		}
		r.elapse(arrivalInterval)
	}
	is.Equal(r.state.health.Health("n1/t"), fleet.Silent)
	is.True(lost <= 4) // the slots; from then on the target is silent
	r.reduce(event.RunFinished{
		Attempt: fleet.NewAttemptID("hung0", 1),
		Outcome: fleet.Outcome{Problem: fleet.Some(fleet.NewProblem(fleet.Canceled, fleet.MayHaveRun, "canceled"))},
	})
	is.True(!r.orderArrives("next")) // a free slot of a silent target is not used for an order
}

// TestWaitForChildIsNoSilence guards against targets that are avoided because a service that they call is slow.
func TestWaitForChildIsNoSilence(t *testing.T) {
	is, r := is.New(t), newParentNode()
	is.True(r.orderArrives("a"))
	is.True(r.orderArrives("b"))
	r.elapse(arrivalInterval)
	first, second := r.childRequest("a"), r.childRequest("b")
	r.elapse(8 * arrivalInterval)
	is.Equal(r.state.health.Health("n1/t"), fleet.Healthy)
	r.finishChild(first, "")
	r.finishChild(second, "")
	r.elapse(2 * arrivalInterval)
	is.Equal(r.state.health.Health("n1/t"), fleet.Healthy) // the target may work on the responses
	r.elapse(8 * arrivalInterval)
	is.Equal(r.state.health.Health("n1/t"), fleet.Silent)
}
