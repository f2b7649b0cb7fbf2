package admission_test

import (
	"testing"

	"github.com/matryer/is"

	"jayfold.dev/jayfold/internal/core/fleet"
)

// TestStalledIngressLosesItsQueuePlaces guards against a suspended ingress whose queued attempts hold the slots of a target one after
// the other, each until its body stalls.
func TestStalledIngressLosesItsQueuePlaces(t *testing.T) {
	is, h := is.New(t), newWarmHarness(1)
	h.submitAttempt(h.attempt("0", fleet.Order).WithIngress("suspended"))
	h.submitAttempt(h.attempt("1", fleet.Order).WithIngress("suspended"))
	h.submitAttempt(h.attempt("2", fleet.Order).WithIngress("other"))
	h.finish("0", failed(fleet.BodyStalled, fleet.NotRun, false))
	h.assertRefused(is, "1", fleet.BodyStalled, fleet.NotRun)
	h.assertRuns(is, "2")
}
